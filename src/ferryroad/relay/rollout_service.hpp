/// @file
/// Executes the steps of a weights rollout while this router holds the rollout's lease.
#pragma once

#include "ferryroad/coordination/rollout/weights_rollout.hpp"
#include "ferryroad/core/placement/engine_load_view.hpp"
#include "ferryroad/relay/engine_registry.hpp"
#include "ferryroad/relay/peer_exchange.hpp"
#include "ferryroad/relay/policy_source.hpp"
#include "ferryroad/relay/upstream.hpp"
#include "ferryroad/runtime/log.hpp"
#include "ferryroad/runtime/scheduler.hpp"

#include <concepts>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace ferryroad::relay {

/// The lease as the service needs it. `token` is called immediately before each action and returns
/// nothing where this process may not act. `set_intent` states whether there is something to do,
/// `held` whether actions may follow after that. `begin_action` is called when an action is sent,
/// `end_action` when it was answered or timed out.
template <typename T>
concept fenced_lease = requires(T& lease, bool acting) {
    { lease.token() } -> std::same_as<std::optional<base::fencing_token>>;
    { lease.held() } -> std::same_as<bool>;
    lease.set_intent(acting);
    lease.begin_action();
    lease.end_action();
};

struct rollout_settings {
    coordination::rollout::rollout_tunables rollout;
    std::string holder;  ///< This router's name.
    base::duration step_interval = std::chrono::milliseconds(50);
    /// Timeout of a call to an engine.
    base::duration call_timeout = std::chrono::milliseconds(700);
    /// Time from the report request that precedes an order to the order's arrival.
    base::duration order_lead_time = std::chrono::milliseconds(150);
    /// An engine is expected to load for this multiple of recent load times. The factor is generous
    /// because other routers are notified as soon as the engine has loaded. With 1.2, a third of
    /// the requests that loading engines refused (84 of 252) came after the expected time and
    /// before that notification.
    double load_time_factor = 2;
};

/// @param allowed how long requests may start on outdated weights.
/// @return the time within which an engine must be ordered to load newer weights, so that it has
/// them before `allowed` has passed.
inline base::duration order_limit_for(base::duration allowed) {
    return allowed * 3 / 4;
}

/// Collaborators of `rollout_service`; all of them must outlive it.
template <upstream Upstream, fenced_lease Lease>
struct rollout_ports {
    runtime::scheduler& scheduler;
    Upstream& engines;
    engine_registry& registry;
    const policy_source& policies;
    Lease& lease;
    /// Called with what other routers must know without delay. May be empty.
    std::function<void(const rollout_announcement&)> announce;
    /// Returns the load of all other routers' requests by engine. May be empty.
    std::function<std::map<base::engine_name, core::placement::peer_load>()> other_loads;
    /// Returns whether all routers that are heard have reported their loads since they knew of a
    /// model's version. May be empty if there are no other routers.
    std::function<bool(const std::string& model, std::uint64_t version)> reports_are_current;
};

/// Not thread-safe: to be used from the event loop's thread. Must live until the loop has ended.
template <upstream Upstream, fenced_lease Lease>
class rollout_service {
  public:
    rollout_service(rollout_ports<Upstream, Lease> ports, rollout_settings settings)
        : m_ports(ports), m_settings(std::move(settings)), m_rollout(m_settings.rollout) {}

    /// To be called once.
    void start() { m_ports.scheduler.spawn(component, run()); }
    void stop() { m_stopped = true; }
    /// @return whether an order to the engine may be in progress.
    bool under_way(const base::engine_name& engine) const { return m_rollout.under_way(engine); }
    std::uint64_t orders_sent() const { return m_orders_sent; }

  private:
    static constexpr std::string_view component = "relay.rollout";

    runtime::task<void> run() {
        while (!m_stopped) {
            co_await m_ports.scheduler.sleep_for(m_settings.step_interval);
            for (const auto& [model, named] : m_ports.policies.versions()) {
                m_rollout.want(model, named.newest());
            }
            if (!m_ports.lease.held()) {
                m_rollout.reset();
                continue;
            }
            auto engines = views();
            const bool has_work = m_rollout.has_work(engines);
            m_ports.lease.set_intent(has_work);
            if (has_work) {
                add_other_writers(engines);
            }
            step(engines);
            send_announcements();
        }
    }

    void step(const std::vector<coordination::rollout::engine_view>& engines) {
        const base::monotonic_time now = m_ports.scheduler.now();
        const auto steps = m_rollout.next(engines, now);
        for (const auto& upcoming : steps.upcoming) {
            announce_loading(upcoming, now);
        }
        for (const auto& wanted : steps.reports) {
            m_ports.scheduler.spawn(component, request_report(wanted));
        }
        for (const auto& wanted : steps.orders) {
            const std::size_t without = m_rollout.without_order(wanted.model, engines);
            m_ports.scheduler.spawn(component, order(wanted, without));
        }
        if (!steps.orders.empty()) {
            log_ordered_everywhere(engines, steps.orders.back());
        }
    }

    /// Runs before the order is sent, so that routers send no requests that the loading engine
    /// would refuse.
    void announce_loading(const coordination::rollout::upcoming_load& upcoming,
                          base::monotonic_time now) {
        const double load = base::to_seconds(m_rollout.load_time());
        const base::duration ready_in =
            m_settings.order_lead_time + base::from_seconds(load * m_settings.load_time_factor);
        m_ports.registry.expect_weights(upcoming.engine, upcoming.model, upcoming.version,
                                        now + ready_in);
        m_unannounced.loading.push_back(
            {upcoming.engine, upcoming.model, upcoming.version, ready_in});
    }

    void send_announcements() {
        if (m_ports.announce && !m_unannounced.empty()) {
            m_ports.announce(m_unannounced);
        }
        m_unannounced = {};
    }

    std::vector<coordination::rollout::engine_view> views() const {
        const base::monotonic_time now = m_ports.scheduler.now();
        std::vector<coordination::rollout::engine_view> engines;
        for (const auto& [name, engine] : m_ports.registry.engines()) {
            if (engine.is_leaving()) {
                continue;
            }
            for (const auto& [model, version] : engine.versions) {
                const auto since = m_ports.policies.outdated_since(model, version);
                engines.push_back({name, model, version, engine.running,
                                   since ? now - *since : base::duration{}, engine.listed.zone,
                                   engine.pending_prefill_tokens, engine.pinned_writers,
                                   engine.state_used_for(now)});
            }
        }
        return engines;
    }

    /// Adds the requests of other routers that store prompt state.
    void add_other_writers(std::vector<coordination::rollout::engine_view>& engines) const {
        if (!m_ports.other_loads) {
            return;
        }
        const auto loads = m_ports.other_loads();
        for (coordination::rollout::engine_view& one : engines) {
            const auto found = loads.find(one.name);
            if (found != loads.end()) {
                one.pinned_writers += found->second.pinned_writers;
                one.state_used_for = std::max(one.state_used_for, found->second.state_used_for);
            }
            one.reports_current =
                !m_ports.reports_are_current ||
                m_ports.reports_are_current(one.model, m_rollout.wanted(one.model));
        }
    }

    std::optional<engine_target> target_of(const base::engine_name& name) const {
        const known_engine* engine = m_ports.registry.find(name);
        if (engine == nullptr) {
            return std::nullopt;
        }
        return engine_target{name, engine->listed.address};
    }

    runtime::task<void> request_report(coordination::rollout::ask_report wanted) {
        const base::engine_name& name = wanted.engine;
        const std::string& model = wanted.model;
        const auto target = target_of(name);
        std::optional<coordination::rollout::engine_report> report;
        if (target) {
            engine_target engine = *target;
            std::string asked = model;
            report = co_await m_ports.engines.report(std::move(engine), std::move(asked),
                                                     m_settings.call_timeout);
        }
        const base::monotonic_time now = m_ports.scheduler.now();
        if (!report) {
            m_rollout.report_lost(name, now);
            co_return;
        }
        m_ports.registry.record_version(name, model, report->version);
        if (m_rollout.under_way(name) && report->version >= m_rollout.wanted(model)) {
            m_unannounced.loaded.push_back({name, model, report->version});
        }
        m_rollout.reported(name, *report, now);
    }

    /// @param without_order number of engines that were not yet ordered to load that version, for
    /// the log.
    runtime::task<void> order(coordination::rollout::send_order wanted, std::size_t without_order) {
        const auto target = target_of(wanted.engine);
        // Immediately before the action, as the lease may have ended meanwhile.
        const auto token = m_ports.lease.token();
        if (!target || !token) {
            m_rollout.ordered(wanted.engine, coordination::rollout::order_answer::refused,
                              m_ports.scheduler.now());
            co_return;
        }
        ++m_orders_sent;
        m_ports.lease.begin_action();
        engine_target engine = *target;
        const auto running = wanted.drain_first ? running_requests_policy::drain_first
                                                : running_requests_policy::pause_and_continue;
        weights_order sent{wanted.model, wanted.version,    wanted.expected_orders,
                           running,      m_settings.holder, *token};
        const auto answer = co_await m_ports.engines.order(std::move(engine), std::move(sent),
                                                           m_settings.call_timeout);
        m_ports.lease.end_action();
        runtime::log(
            runtime::log_level::info, component, "weights ordered",
            {{"engine", wanted.engine.value},
             {"model", wanted.model},
             {"version", std::to_string(wanted.version)},
             {"expected_orders", std::to_string(wanted.expected_orders)},
             {"token", std::to_string(token->value)},
             {"answer", std::to_string(static_cast<int>(answer))},
             {"state_used_for_ms", std::to_string(base::to_milliseconds(wanted.state_used_for))},
             {"reports_current", wanted.reports_current ? "true" : "false"},
             {"drain_first", wanted.drain_first ? "true" : "false"},
             {"after_naming_at_most_ms", ms_since_naming(wanted.model, wanted.version)},
             {"without_order", std::to_string(without_order)}});
        m_rollout.ordered(wanted.engine, answer, m_ports.scheduler.now());
    }

    /// Logs, once for each version, that this router has ordered all engines to load it.
    void log_ordered_everywhere(const std::vector<coordination::rollout::engine_view>& engines,
                                const coordination::rollout::send_order& last) {
        std::uint64_t& logged = m_logged_everywhere[last.model];
        if (logged >= last.version || m_rollout.without_order(last.model, engines) > 0) {
            return;
        }
        logged = last.version;
        runtime::log(runtime::log_level::info, component, "weights ordered everywhere",
                     {{"last_engine", last.engine.value},
                      {"model", last.model},
                      {"version", std::to_string(last.version)},
                      {"after_naming_at_most_ms", ms_since_naming(last.model, last.version)}});
    }

    /// @return an upper bound in milliseconds, or an empty text where it is unknown when the
    /// version was named.
    std::string ms_since_naming(const std::string& model, std::uint64_t version) const {
        const auto named = m_ports.policies.outdated_since(model, version - 1);
        const base::monotonic_time now = m_ports.scheduler.now();
        return named ? std::to_string(base::to_milliseconds(now - *named)) : std::string();
    }

    rollout_ports<Upstream, Lease> m_ports;
    rollout_settings m_settings;
    coordination::rollout::weights_rollout m_rollout;
    rollout_announcement m_unannounced;                        ///< Since the last announcement.
    std::map<std::string, std::uint64_t> m_logged_everywhere;  ///< Versions by model.
    std::uint64_t m_orders_sent = 0;
    bool m_stopped = false;
};

}  // namespace ferryroad::relay
