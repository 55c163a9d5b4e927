#include "ferryroad/leases/lease_service.hpp"

#include "ferryroad/runtime/log.hpp"

#include <algorithm>
#include <utility>
#include <variant>

namespace ferryroad::leases {

namespace {

namespace lease = coordination::lease;

constexpr std::string_view component = "leases";

lease::stored_row to_stored_row(const platform::row& row) {
    return {lease::row_version(row.version.value), row.value};
}

/// Only these two errors prove that the write had no effect; after any other one its outcome is
/// unknown.
lease::event to_failure_event(const platform::error& failure) {
    const bool had_no_effect = failure.code == platform::error_code::unavailable ||
                               failure.code == platform::error_code::rate_limited;
    if (had_no_effect) {
        return lease::refused{failure.retry_after};
    }
    return lease::write_lost{};
}

void log_change(const lease_name& name, const std::optional<base::fencing_token>& token) {
    runtime::log(runtime::log_level::info, component,
                 token ? "lease acquired" : "lease released or expired",
                 {{"lease", name.value}, {"token", token ? std::to_string(token->value) : ""}});
}

}  // namespace

lease_service::lease_service(runtime::scheduler& scheduler, platform::table& table,
                             lease::lease_identity self, lease_service_settings settings)
    : scheduler_(scheduler), table_(table), self_(std::move(self)), settings_(settings) {}

void lease_service::contend(lease_name name, std::function<bool()> wanted,
                            std::function<std::uint64_t()> note) {
    contended_lease entry{
        {self_, settings_.lease, scheduler_.random()}, std::move(wanted), std::move(note)};
    const auto [position, added] = leases_.emplace(name, std::move(entry));
    if (added) {
        scheduler_.spawn(component, run(std::move(name), position->second));
    }
}

std::optional<base::fencing_token> lease_service::token(const lease_name& name) const {
    const auto found = leases_.find(name);
    const bool held = found != leases_.end() && found->second.wanted() && !stopped_;
    return held ? found->second.holder.token(scheduler_.now()) : std::nullopt;
}

bool lease_service::holds(const lease_name& name) const {
    const auto found = leases_.find(name);
    return found != leases_.end() && found->second.holder.token(scheduler_.now()).has_value();
}

std::optional<base::fencing_token> lease_service::hold_token(const lease_name& name) const {
    const auto found = leases_.find(name);
    return found == leases_.end() ? std::nullopt : found->second.holder.hold_token();
}

std::optional<std::uint64_t> lease_service::stored_note(const lease_name& name) const {
    const auto found = leases_.find(name);
    return found == leases_.end() ? std::nullopt
                                  : found->second.holder.stored_note(scheduler_.now());
}

std::uint64_t lease_service::predecessor_note(const lease_name& name) const {
    const auto found = leases_.find(name);
    return found == leases_.end() ? 0 : found->second.holder.predecessor_note();
}

base::monotonic_time lease_service::predecessor_end(const lease_name& name) const {
    const auto found = leases_.find(name);
    return found == leases_.end() ? base::monotonic_time{} : found->second.holder.predecessor_end();
}

runtime::task<void> lease_service::run(lease_name name, contended_lease& lease) {
    const platform::row_key key("lease/" + name.value);
    std::optional<base::fencing_token> last_token;
    while (true) {
        lease.holder.want(!stopped_ && lease.wanted());
        const auto token = lease.holder.token(scheduler_.now());
        if (token != last_token) {
            log_change(name, token);
            last_token = token;
        }
        if (lease.note && lease.holder.hold_token()) {
            lease.holder.set_note(lease.note());
        }
        lease::action action = lease.holder.next(scheduler_.now());
        if (const auto* wait = std::get_if<lease::wait_until>(&action)) {
            if (stopped_ && wait->when == base::monotonic_time::max()) {
                co_return;
            }
            const base::monotonic_time next_check = scheduler_.now() + settings_.check_period;
            co_await scheduler_.sleep_until(std::min(wait->when, next_check));
            continue;
        }
        const lease::event result = co_await perform(key, std::move(action));
        lease.holder.handle(result, scheduler_.now());
    }
}

runtime::task<lease::event> lease_service::perform(platform::row_key key, lease::action action) {
    ++table_calls_;
    if (auto* update = std::get_if<lease::write_row>(&action)) {
        return write(std::move(key), std::move(*update));
    }
    return read(std::move(key));
}

runtime::task<lease::event> lease_service::read(platform::row_key key) {
    std::vector<platform::row_key> keys{std::move(key)};
    const auto rows = co_await table_.read(std::move(keys));
    if (!rows) {
        co_return lease::refused{rows.error().retry_after};
    }
    co_return lease::row_read{rows->empty() ? lease::stored_row{} : to_stored_row(rows->front())};
}

runtime::task<lease::event> lease_service::write(platform::row_key key, lease::write_row update) {
    platform::transaction change;
    change.conditions.push_back({key, platform::row_version(update.expected.value)});
    change.writes.push_back({key, std::move(update.value)});
    std::vector<platform::transaction> changes;
    changes.push_back(std::move(change));
    const auto outcomes = co_await table_.transact(std::move(changes));
    if (!outcomes) {
        co_return to_failure_event(outcomes.error());
    }
    if (outcomes->size() != 1) {
        co_return lease::write_lost{};
    }
    const platform::transaction_outcome& outcome = outcomes->front();
    if (outcome.committed) {
        co_return lease::write_committed{lease::row_version(outcome.version.value)};
    }
    const platform::row row = outcome.conflicting.value_or(platform::row{});
    co_return lease::write_conflicted{to_stored_row(row)};
}

}  // namespace ferryroad::leases
