#include "ferryroad/router/backends/backend_service.hpp"

#include "ferryroad/runtime/log.hpp"

#include <algorithm>
#include <utility>

namespace ferryroad::router::backends {

namespace {

constexpr std::string_view log_component = "router.backends";
/// Doublings of the pause while the machine list can't be had.
constexpr std::uint32_t most_doublings = 8;

}  // namespace

backend_service::backend_service(backend_neighbours neighbours, ownership owns, tunables limits)
    : with_(neighbours), owns_(std::move(owns)), limits_(limits) {}

void backend_service::start() {
    budget_at_ = with_.scheduler.now();
    poll_budget_ = limits_.polls_at_once;  // a router that starts knows no engine yet
    with_.directory.on_urgent([this] { send_due_polls(); });
    with_.scheduler.spawn("router.backends.list", read_lists());
    with_.scheduler.spawn("router.backends.poll", poll_engines());
    with_.scheduler.spawn("router.backends.events", follow_owned());
}

void backend_service::stop() {
    stopping_ = true;
    with_.directory.on_urgent({});
}

runtime::task<void> backend_service::read_lists() {
    while (!stopping_) {
        const auto listed = co_await with_.machines.list();
        std::optional<base::duration> retry_after;
        if (listed.has_value()) {
            ++counters_.lists_read;
            lists_failed_in_a_row_ = 0;
            with_.directory.apply_list(*listed);
        } else {
            ++counters_.lists_failed;
            ++lists_failed_in_a_row_;
            retry_after = listed.error().retry_after;
            runtime::log(runtime::log_level::warning, log_component, "machine list not read",
                         {{"error", listed.error().message}});
        }
        const base::duration pause = next_list_pause(retry_after);
        co_await with_.scheduler.sleep_for(pause);
    }
}

base::duration backend_service::next_list_pause(const std::optional<base::duration>& retry_after) {
    const std::uint32_t doublings = std::min(lists_failed_in_a_row_, most_doublings);
    base::duration pause = limits_.list_interval * (std::int64_t{1} << doublings);
    pause = std::min(pause, std::max(limits_.list_backoff_limit, limits_.list_interval));
    pause = std::max(pause, retry_after.value_or(base::duration::zero()));
    const double jitter = limits_.list_jitter * (2 * with_.scheduler.random().unit() - 1);
    return pause + base::from_seconds(base::to_seconds(pause) * jitter);
}

runtime::task<void> backend_service::poll_engines() {
    while (!stopping_) {
        send_due_polls();
        const base::monotonic_time next = next_poll_time();
        co_await with_.scheduler.sleep_until(next);
    }
}

base::monotonic_time backend_service::next_poll_time() const {
    const base::monotonic_time now = with_.scheduler.now();
    const base::monotonic_time soonest = now + base::from_seconds(1 / limits_.polls_per_second);
    const base::monotonic_time latest = now + std::min(limits_.poll_interval, limits_.poll_backoff);
    return std::clamp(with_.directory.next_poll().value_or(latest), soonest,
                      std::max(soonest, latest));
}

void backend_service::send_due_polls() {
    const std::size_t most = take_poll_budget();
    std::vector<poll_order> orders = with_.directory.begin_polls(most);
    poll_budget_ -= static_cast<double>(orders.size());
    for (poll_order& order : orders) {
        ++polls_under_way_;
        with_.scheduler.spawn("router.backends.poll", poll(std::move(order)));
    }
}

std::size_t backend_service::take_poll_budget() {
    const base::monotonic_time now = with_.scheduler.now();
    const double earned = base::to_seconds(now - budget_at_) * limits_.polls_per_second;
    poll_budget_ = std::min<double>(poll_budget_ + earned, limits_.polls_at_once);
    budget_at_ = now;
    const std::uint32_t room = limits_.polls_at_once - polls_under_way_;
    return std::min<std::size_t>(room, static_cast<std::size_t>(std::max(0.0, poll_budget_)));
}

runtime::task<void> backend_service::poll(poll_order order) {
    ++counters_.polls_sent;
    const base::monotonic_time asked_at = with_.scheduler.now();
    const auto load = co_await with_.engines.read_load(order.address);
    --polls_under_way_;
    if (load.has_value()) {
        const poll_answer answer{order.address, asked_at, *load};
        with_.directory.record_poll(order.engine, answer);
    } else {
        ++counters_.polls_failed;
        with_.directory.record_poll_failure(order.engine);
    }
}

runtime::task<void> backend_service::follow_owned() {
    while (!stopping_) {
        drop_disowned();
        for (const base::engine_name& engine : with_.directory.event_sources()) {
            if (owns_(engine) && event_readers_.insert(engine).second) {
                with_.scheduler.spawn("router.backends.events", read_events(engine));
            }
        }
        co_await with_.scheduler.sleep_for(limits_.ownership_interval);
    }
}

void backend_service::drop_disowned() {
    std::erase_if(positions_, [this](const auto& entry) { return !owns_(entry.first); });
}

runtime::task<void> backend_service::read_events(base::engine_name engine) {
    while (!stopping_ && owns_(engine)) {
        const std::optional<engine::engine_target> target =
            with_.directory.find_event_source(engine);
        if (!target) {
            break;
        }
        const bool read = co_await read_batch(*target);
        if (!read) {
            co_await with_.scheduler.sleep_for(limits_.event_backoff);
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
    const auto batch =
        co_await with_.engines.read_events(target, position.next_sequence, limits_.event_wait);
    if (!batch.has_value()) {
        co_return false;
    }
    if (stopping_ || !owns_(target.name)) {
        co_return true;
    }
    const bool other_process = batch->incarnation != position.process;
    positions_[target.name] = {batch->incarnation, batch->next_sequence};
    if (other_process || batch->gap || !batch->events.empty()) {
        ++counters_.event_batches;
        with_.events.accept(target.name, *batch);
    }
    co_return true;
}

}  // namespace ferryroad::router::backends
