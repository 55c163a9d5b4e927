#include "ferryroad/router/backends/backend_directory.hpp"

#include <algorithm>
#include <set>
#include <utility>

namespace ferryroad::router::backends {

namespace {

member_health to_member_health(backend_health health) {
    switch (health) {
        case backend_health::live:
            return member_health::alive;
        case backend_health::leaving:
            return member_health::leaving;
        case backend_health::missing:
            return member_health::dead;
        case backend_health::unconfirmed:
        case backend_health::suspected:
            break;
    }
    return member_health::suspect;
}

}  // namespace

backend_directory::backend_directory(const base::clock& clock,
                                     const configuration_view& configuration, tunables limits)
    : clock_(clock), configuration_(configuration), limits_(limits) {}

backend_record* backend_directory::find_record(const base::engine_name& engine) {
    const auto found = records_.find(engine);
    return found == records_.end() ? nullptr : &found->second;
}

bool backend_directory::is_drained(const backend_record& record) const {
    const auto configuration = configuration_.current();
    const auto pool = configuration->pools.find(base::pool_name(record.machine().pool));
    if (pool == configuration->pools.end()) {
        return false;
    }
    const std::vector<base::engine_name>& drained = pool->second.drained;
    return std::find(drained.begin(), drained.end(), record.name()) != drained.end();
}

bool backend_directory::is_available(const backend_record& record, base::monotonic_time now) const {
    return record.health(now) == backend_health::live && !is_drained(record);
}

std::vector<engine_view> backend_directory::available(const base::pool_name& pool) const {
    const base::monotonic_time now = clock_.now();
    std::vector<engine_view> found;
    for (const auto& [name, record] : records_) {
        if (record.machine().pool == pool.value && is_available(record, now)) {
            found.push_back(record.view());
        }
    }
    return found;
}

std::optional<engine_view> backend_directory::find(const base::engine_name& engine) const {
    const auto found = records_.find(engine);
    if (found == records_.end() || !is_available(found->second, clock_.now())) {
        return std::nullopt;
    }
    return found->second.view();
}

bool backend_directory::suspected(const base::engine_name& engine) const {
    const auto found = records_.find(engine);
    return found != records_.end() &&
           found->second.health(clock_.now()) == backend_health::suspected;
}

void backend_directory::record_dispatch(const base::engine_name& engine,
                                        std::uint64_t prefill_tokens) {
    if (backend_record* record = find_record(engine)) {
        record->record_dispatch(prefill_tokens, clock_.now());
    }
}

void backend_directory::record_end(const base::engine_name& engine) {
    if (backend_record* record = find_record(engine)) {
        record->record_end();
    }
}

void backend_directory::record_load(const base::engine_name& engine,
                                    const engine::load_report& load) {
    if (backend_record* record = find_record(engine)) {
        notify_leaving(*record, record->record_load(load, clock_.now()));
    }
}

void backend_directory::record_failure(const base::engine_name& engine, engine::error_code code) {
    if (backend_record* record = find_record(engine)) {
        record->record_failure(code, clock_.now());
        notify_poll_due();
    }
}

void backend_directory::record_leaving(const base::engine_name& engine, base::incarnation process) {
    if (backend_record* record = find_record(engine)) {
        notify_leaving(*record, record->record_leaving(process, clock_.now()));
    }
}

void backend_directory::apply_machine_list(const std::vector<platform::machine>& machines) {
    const base::monotonic_time now = clock_.now();
    std::set<base::engine_name> listed;
    for (const platform::machine& machine : machines) {
        if (machine.kind != platform::machine_kind::engine) {
            continue;
        }
        const base::engine_name name(machine.name);
        listed.insert(name);
        records_.try_emplace(name, limits_, name).first->second.record_listed(machine, now);
    }
    for (auto& [name, record] : records_) {
        if (!listed.contains(name)) {
            record.record_unlisted(now);
        }
    }
    std::erase_if(records_, [now](const auto& entry) { return entry.second.can_be_removed(now); });
    notify_poll_due();
}

std::vector<poll_request> backend_directory::begin_polls(std::size_t limit) {
    const base::monotonic_time now = clock_.now();
    std::vector<std::pair<base::monotonic_time, backend_record*>> due;
    for (auto& [name, record] : records_) {
        const std::optional<base::monotonic_time> next = record.next_poll();
        if (next && *next <= now && record.health(now) != backend_health::missing) {
            due.emplace_back(*next, &record);
        }
    }
    std::stable_sort(due.begin(), due.end(),
                     [](const auto& left, const auto& right) { return left.first < right.first; });
    due.resize(std::min(due.size(), limit));
    std::vector<poll_request> requests;
    for (const auto& [when, record] : due) {
        record->begin_poll();
        requests.push_back({record->name(), record->machine().address});
    }
    return requests;
}

void backend_directory::record_poll(const base::engine_name& engine, const poll_answer& answer) {
    if (backend_record* record = find_record(engine)) {
        notify_leaving(*record, record->record_poll(answer, clock_.now()));
    }
}

void backend_directory::record_poll_failure(const base::engine_name& engine) {
    if (backend_record* record = find_record(engine)) {
        record->record_poll_failure(clock_.now());
    }
}

std::optional<base::monotonic_time> backend_directory::next_poll() const {
    const base::monotonic_time now = clock_.now();
    std::optional<base::monotonic_time> soonest;
    for (const auto& [name, record] : records_) {
        const std::optional<base::monotonic_time> next = record.next_poll();
        const bool pollable = next && record.health(now) != backend_health::missing;
        if (pollable && (!soonest || *next < *soonest)) {
            soonest = next;
        }
    }
    return soonest;
}

bool backend_directory::is_event_source(const backend_record& record,
                                        base::monotonic_time now) const {
    return record.kind() == engine::engine_kind::model &&
           record.health(now) == backend_health::live;
}

std::vector<base::engine_name> backend_directory::event_sources() const {
    const base::monotonic_time now = clock_.now();
    std::vector<base::engine_name> sources;
    for (const auto& [name, record] : records_) {
        if (is_event_source(record, now)) {
            sources.push_back(name);
        }
    }
    return sources;
}

std::optional<engine::engine_target> backend_directory::find_event_source(
    const base::engine_name& engine) const {
    const auto found = records_.find(engine);
    if (found == records_.end() || !is_event_source(found->second, clock_.now())) {
        return std::nullopt;
    }
    return found->second.view().target;
}

std::vector<engine_status> backend_directory::status() const {
    const base::monotonic_time now = clock_.now();
    std::vector<engine_status> all;
    for (const auto& [name, record] : records_) {
        engine_status one;
        one.name = name;
        one.address = record.machine().address;
        one.pool = base::pool_name(record.machine().pool);
        one.zone = record.machine().zone;
        one.health = to_member_health(record.health(now));
        if (one.health == member_health::alive && is_drained(record)) {
            one.health = member_health::drained;
        }
        one.load = record.view().load;
        all.push_back(std::move(one));
    }
    return all;
}

void backend_directory::notify_leaving(const backend_record& record, bool is_first_report) {
    if (is_first_report && leaving_listener_) {
        leaving_listener_(record.name(), record.process());
    }
}

void backend_directory::notify_poll_due() {
    if (poll_due_listener_) {
        poll_due_listener_();
    }
}

}  // namespace ferryroad::router::backends
