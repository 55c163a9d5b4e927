#include "ferryroad/router/backends/backend_service.hpp"

#include "ferryroad/runtime/log.hpp"

#include <algorithm>
#include <utility>

namespace ferryroad::router::backends {

namespace {

constexpr std::string_view log_component = "router.backends";
/// Limits the exponent of the backoff while reading the machine list fails.
constexpr std::uint32_t max_backoff_doublings = 8;

}  // namespace

backend_service::backend_service(backend_service_collaborators collaborators,
                                 ownership_predicate is_owned, tunables limits)
    : collaborators_(collaborators), is_owned_(std::move(is_owned)), limits_(limits) {}

void backend_service::start() {
    budget_at_ = collaborators_.scheduler.now();
    poll_budget_ = limits_.max_polls_in_flight;  // At startup every engine has to be polled.
    collaborators_.directory.on_poll_due([this] { send_due_polls(); });
    collaborators_.scheduler.spawn("router.backends.list", read_lists());
    collaborators_.scheduler.spawn("router.backends.poll", poll_engines());
    collaborators_.scheduler.spawn("router.backends.events", read_owned_events());
}

void backend_service::stop() {
    stopping_ = true;
    collaborators_.directory.on_poll_due({});
}

runtime::task<void> backend_service::read_lists() {
    while (!stopping_) {
        const auto listed = co_await collaborators_.machines.list();
        std::optional<base::duration> retry_after;
        if (listed.has_value()) {
            ++counters_.lists_read;
            consecutive_list_failures_ = 0;
            collaborators_.directory.apply_machine_list(*listed);
        } else {
            ++counters_.lists_failed;
            ++consecutive_list_failures_;
            retry_after = listed.error().retry_after;
            runtime::log(runtime::log_level::warning, log_component,
                         "could not read the machine list; will retry",
                         {{"error", listed.error().message}});
        }
        const base::duration pause = next_list_pause(retry_after);
        co_await collaborators_.scheduler.sleep_for(pause);
    }
}

base::duration backend_service::next_list_pause(const std::optional<base::duration>& retry_after) {
    const std::uint32_t doublings = std::min(consecutive_list_failures_, max_backoff_doublings);
    base::duration pause = limits_.list_interval * (std::int64_t{1} << doublings);
    pause = std::min(pause, std::max(limits_.list_backoff_limit, limits_.list_interval));
    pause = std::max(pause, retry_after.value_or(base::duration::zero()));
    const double jitter = limits_.list_jitter * (2 * collaborators_.scheduler.random().unit() - 1);
    return pause + base::from_seconds(base::to_seconds(pause) * jitter);
}

runtime::task<void> backend_service::poll_engines() {
    while (!stopping_) {
        send_due_polls();
        const base::monotonic_time next = next_poll_time();
        co_await collaborators_.scheduler.sleep_until(next);
    }
}

base::monotonic_time backend_service::next_poll_time() const {
    const base::monotonic_time now = collaborators_.scheduler.now();
    const base::monotonic_time soonest = now + base::from_seconds(1 / limits_.polls_per_second);
    const base::monotonic_time latest = now + std::min(limits_.poll_interval, limits_.poll_backoff);
    return std::clamp(collaborators_.directory.next_poll().value_or(latest), soonest,
                      std::max(soonest, latest));
}

void backend_service::send_due_polls() {
    const std::size_t limit = take_poll_budget();
    std::vector<poll_request> requests = collaborators_.directory.begin_polls(limit);
    poll_budget_ -= static_cast<double>(requests.size());
    for (poll_request& request : requests) {
        ++polls_in_flight_;
        collaborators_.scheduler.spawn("router.backends.poll", poll(std::move(request)));
    }
}

std::size_t backend_service::take_poll_budget() {
    const base::monotonic_time now = collaborators_.scheduler.now();
    const double earned = base::to_seconds(now - budget_at_) * limits_.polls_per_second;
    poll_budget_ = std::min<double>(poll_budget_ + earned, limits_.max_polls_in_flight);
    budget_at_ = now;
    const std::uint32_t room = limits_.max_polls_in_flight - polls_in_flight_;
    return std::min<std::size_t>(room, static_cast<std::size_t>(std::max(0.0, poll_budget_)));
}

runtime::task<void> backend_service::poll(poll_request request) {
    ++counters_.polls_sent;
    const base::monotonic_time asked_at = collaborators_.scheduler.now();
    const auto load = co_await collaborators_.engines.read_load(request.address);
    --polls_in_flight_;
    if (load.has_value()) {
        const poll_answer answer{request.address, asked_at, *load};
        collaborators_.directory.record_poll(request.engine, answer);
    } else {
        ++counters_.polls_failed;
        collaborators_.directory.record_poll_failure(request.engine);
    }
}

runtime::task<void> backend_service::read_owned_events() {
    while (!stopping_) {
        drop_unowned_positions();
        for (const base::engine_name& engine : collaborators_.directory.event_sources()) {
            if (is_owned_(engine) && event_readers_.insert(engine).second) {
                collaborators_.scheduler.spawn("router.backends.events", read_events(engine));
            }
        }
        co_await collaborators_.scheduler.sleep_for(limits_.ownership_interval);
    }
}

void backend_service::drop_unowned_positions() {
    std::erase_if(positions_, [this](const auto& entry) { return !is_owned_(entry.first); });
}

runtime::task<void> backend_service::read_events(base::engine_name engine) {
    while (!stopping_ && is_owned_(engine)) {
        const std::optional<engine::engine_target> target =
            collaborators_.directory.find_event_source(engine);
        if (!target) {
            break;
        }
        const bool read = co_await read_batch(*target);
        if (!read) {
            co_await collaborators_.scheduler.sleep_for(limits_.event_backoff);
        }
    }
    event_readers_.erase(engine);
}

runtime::task<bool> backend_service::read_batch(engine::engine_target target) {
    const auto known = positions_.find(target.name);
    event_position position{target.incarnation, 1};
    if (known != positions_.end()) {
        position = known->second;
    }
    target.incarnation = position.process;
    const auto batch = co_await collaborators_.engines.read_events(target, position.next_sequence,
                                                                   limits_.event_wait);
    if (!batch.has_value()) {
        co_return false;
    }
    if (stopping_ || !is_owned_(target.name)) {
        co_return true;
    }
    const bool other_process = batch->incarnation != position.process;
    positions_[target.name] = {batch->incarnation, batch->next_sequence};
    if (other_process || batch->gap || !batch->events.empty()) {
        ++counters_.event_batches;
        collaborators_.events.accept(target.name, *batch);
    }
    co_return true;
}

}  // namespace ferryroad::router::backends
