#include "ferryroad/router/claims/table_claim_registry.hpp"

#include "ferryroad/router/claims/claim_rows.hpp"
#include "ferryroad/runtime/log.hpp"

#include <utility>
#include <vector>

namespace ferryroad::router {

namespace claims = coordination::claim;

namespace {

constexpr const char* component = "router.claims";

base::duration delay_of(const claims::action& next_action) {
    if (const auto* write = std::get_if<claims::write_row>(&next_action)) {
        return write->delay;
    }
    return std::get<claims::read_row>(next_action).delay;
}

}  // namespace

table_claim_registry::table_claim_registry(runtime::scheduler& scheduler, platform::table& table,
                                           const process_liveness& liveness,
                                           claim_identity identity, claim_tunables limits)
    : scheduler_(scheduler),
      table_(table),
      liveness_(liveness),
      identity_(std::move(identity)),
      limits_(limits),
      known_dead_([this](const claims::holder& owner) {
          const base::router_name router(owner.name.value);
          const bool is_own_predecessor =
              router == identity_.router && owner.incarnation < identity_.process;
          return is_own_predecessor || liveness_.known_dead(router, owner.incarnation);
      }) {}

runtime::task<runtime::result<claim_result, platform::error>> table_claim_registry::claim(
    claim_request request) {
    const platform::row_key key = row_key_of(request);
    const std::int64_t claimed_at = scheduler_.unix_milliseconds();
    claims::claim_opening opening(terms_of(request), limits_.claim);
    claims::action next_action = opening.begin(circumstances());
    while (!std::holds_alternative<claims::ended>(next_action)) {
        claims::event table_event = co_await execute(key, std::move(next_action));
        next_action = opening.handle(table_event, circumstances());
    }
    const auto& end = std::get<claims::ended>(next_action);
    if (end.result == claims::claim_outcome::granted) {
        granted_claims_[request.attempt] = {end.version, claimed_at};
    }
    co_return to_claim_result(end, limits_);
}

runtime::task<runtime::result<void, platform::error>> table_claim_registry::finish(
    claim_request request, recorded_outcome outcome) {
    claims::closing_kind kind = claims::close_unknown{};
    if (outcome.execution == core::execution::execution_report::complete) {
        kind = claims::close_finished{to_stored_outcome(outcome)};
    }
    return close(std::move(request), std::move(kind));
}

runtime::task<runtime::result<void, platform::error>> table_claim_registry::release(
    claim_request request) {
    return close(std::move(request), claims::close_released{});
}

runtime::task<runtime::result<void, platform::error>> table_claim_registry::close(
    claim_request request, claims::closing_kind kind) {
    const platform::row_key key = row_key_of(request);
    std::optional<claims::row_version> version;
    std::int64_t claimed_at = scheduler_.unix_milliseconds();
    if (const auto granted = granted_claims_.extract(request.attempt)) {
        version = granted.mapped().version;
        claimed_at = granted.mapped().claimed_at_ms;
    }
    claims::claim_closing closing(terms_of(request), claimed_at, std::move(kind), version,
                                  limits_.claim);
    claims::action next_action = closing.begin(circumstances());
    while (!std::holds_alternative<claims::ended>(next_action)) {
        claims::event table_event = co_await execute(key, std::move(next_action));
        next_action = closing.handle(table_event, circumstances());
    }
    if (std::get<claims::ended>(next_action).result == claims::claim_outcome::unavailable) {
        co_return platform::error{platform::error_code::unavailable,
                                  "the claim's end could not be recorded", std::nullopt};
    }
    co_return runtime::result<void, platform::error>();
}

runtime::task<claims::event> table_claim_registry::execute(platform::row_key key,
                                                           claims::action next_action) {
    const base::duration delay = delay_of(next_action);
    if (delay > base::duration::zero()) {
        co_await scheduler_.sleep_for(delay);
    }
    if (const auto* write = std::get_if<claims::write_row>(&next_action)) {
        std::vector<platform::transaction> transactions{to_transaction(key, *write)};
        const auto written = co_await table_.transact(std::move(transactions));
        co_return to_event(written);
    }
    std::vector<platform::row_key> keys{std::move(key)};
    const auto rows = co_await table_.read(std::move(keys));
    co_return to_event(rows);
}

claims::claim_terms table_claim_registry::terms_of(const claim_request& request) const {
    return {request.attempt,
            {claims::holder_name(identity_.router.value), identity_.process},
            request.content_sha256};
}

claims::circumstances table_claim_registry::circumstances() const {
    return {scheduler_.unix_milliseconds(), known_dead_};
}

runtime::task<void> table_claim_registry::run_sweep_loop() {
    for (;;) {
        // The random factor keeps routers that started together from sweeping at the same time;
        // scaling by the number of routers keeps the total load constant.
        const double share = 0.5 + scheduler_.random().unit();
        const auto routers = static_cast<double>(liveness_.live_routers());
        const double seconds = base::to_seconds(limits_.sweep_interval) * routers * share;
        co_await scheduler_.sleep_for(base::from_seconds(seconds));
        const std::size_t written = co_await sweep_page();
        if (written > 0) {
            runtime::log(runtime::log_level::info, component, "swept expired and abandoned claims",
                         {{"claims", std::to_string(written)}});
        }
    }
}

runtime::task<std::size_t> table_claim_registry::sweep_page() {
    const std::string prefix = claim_key_prefix;
    platform::row_key after = sweep_after_;
    const auto page = co_await table_.scan(prefix, after, limits_.sweep_rows);
    if (page.has_error()) {
        co_return 0;
    }
    const bool last = page->size() < limits_.sweep_rows;
    sweep_after_ = last ? platform::row_key() : page->back().key;
    std::vector<platform::transaction> writes;
    for (const platform::row& row : *page) {
        if (auto write = sweep(row)) {
            writes.push_back(std::move(*write));
        }
    }
    const std::size_t count = writes.size();
    if (count == 0) {
        co_return 0;
    }
    const auto written = co_await table_.transact(std::move(writes));
    co_return written.has_error() ? 0 : count;
}

std::optional<platform::transaction> table_claim_registry::sweep(const platform::row& row) const {
    auto claimed = claims::try_decode(row.value);
    if (!claimed) {
        return std::nullopt;
    }
    const claims::circumstances at = circumstances();
    const claims::row_version version(row.version.value);
    if (claims::is_expired(*claimed, at.unix_ms, limits_.claim)) {
        return to_transaction(row.key, {version, std::nullopt, {}});
    }
    if (claims::is_abandoned(*claimed, at, limits_.claim)) {
        claimed->state = claims::record_state::unknown;
        claimed->ended_at_ms = at.unix_ms;
        return to_transaction(row.key, {version, claims::encode(*claimed), {}});
    }
    return std::nullopt;
}

}  // namespace ferryroad::router
