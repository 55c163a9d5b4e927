/// @file
/// Carries out the steps of a weights rollout while this router holds its lease.
#pragma once

#include "ferryroad/coordination/rollout/weights_rollout.hpp"
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

/// `token` is asked right before each act: nothing where this process may not act. `intend`
/// says whether there is something to do; `held` whether acts may follow once that was said.
/// `act_begins` is told as an act goes out, `act_ended` when its answer or time-out came.
template <typename T>
concept fenced_lease = requires(T& lease, bool acting) {
    { lease.token() } -> std::same_as<std::optional<base::fencing_token>>;
    { lease.held() } -> std::same_as<bool>;
    lease.intend(acting);
    lease.act_begins();
    lease.act_ended();
};

struct rollout_settings {
    coordination::rollout::rollout_tunables rollout;
    std::string holder;  ///< This router's name.
    /// Long streams would keep an engine idle for seconds before it loads; the pause of a
    /// stream that carries on is shorter than that (design note 0053).
    running_requests running = running_requests::carry_on;
    base::duration period = std::chrono::milliseconds(50);
    base::duration call_limit = std::chrono::milliseconds(700);
    /// From the question that comes before an order to the order's arrival.
    base::duration order_lead = std::chrono::milliseconds(150);
    /// How long an engine is believed to load, of the time that it took of late. Ample, for others
    /// hear as soon as it has loaded: at 1.2 a third of what engines still refused came after the
    /// belief had ended (84 of 252), and before that word.
    double expected_load_share = 2;
};

/// @param allowed how long requests may begin on outdated weights. @return within which an
/// engine must be ordered to take newer ones, so that it has them by then.
inline base::duration order_limit_for(base::duration allowed) {
    return allowed * 3 / 4;
}

/// What it stands on; everything outlives it.
template <upstream Upstream, fenced_lease Lease>
struct rollout_ports {
    runtime::scheduler& scheduler;
    Upstream& engines;
    engine_registry& registry;
    const policy_source& policies;
    Lease& lease;
    /// Told what other routers should know at once, where there are any.
    std::function<void(const rollout_news&)> announce;
};

/// Used from the event loop's thread; kept until the loop has ended.
template <upstream Upstream, fenced_lease Lease>
class rollout_service {
  public:
    rollout_service(rollout_ports<Upstream, Lease> ports, rollout_settings settings)
        : m_ports(ports), m_settings(std::move(settings)), m_rollout(m_settings.rollout) {}

    /// Called once.
    void start() { m_ports.scheduler.spawn(component, run()); }
    void stop() { m_stopped = true; }
    /// @return whether an order to the engine may be under way.
    bool under_way(const base::engine_name& engine) const { return m_rollout.under_way(engine); }
    std::uint64_t orders_sent() const { return m_orders_sent; }

  private:
    static constexpr std::string_view component = "relay.rollout";

    runtime::task<void> run() {
        while (!m_stopped) {
            co_await m_ports.scheduler.sleep_for(m_settings.period);
            for (const auto& [model, named] : m_ports.policies.versions()) {
                m_rollout.want(model, named.newest());
            }
            if (!m_ports.lease.held()) {
                m_rollout.reset();
                continue;
            }
            const auto engines = views();
            m_ports.lease.intend(m_rollout.has_work(engines));
            step(engines);
            tell_others();
        }
    }

    void step(const std::vector<coordination::rollout::engine_view>& engines) {
        const base::monotonic_time now = m_ports.scheduler.now();
        const auto steps = m_rollout.next(engines, now);
        for (const auto& coming : steps.coming) {
            expect(coming, now);
        }
        for (const auto& wanted : steps.reports) {
            m_ports.scheduler.spawn(component, ask(wanted.engine));
        }
        for (const auto& wanted : steps.orders) {
            const std::size_t without = m_rollout.without_order(wanted.model, engines);
            m_ports.scheduler.spawn(component, order(wanted, without));
        }
        if (!steps.orders.empty()) {
            tell_ordered_everywhere(engines, steps.orders.back());
        }
    }

    /// Told before the order goes out, so that no router sends requests that meet it there.
    void expect(const coordination::rollout::coming_load& coming, base::monotonic_time now) {
        const double load = base::to_seconds(m_rollout.load_time());
        const base::duration ready_in =
            m_settings.order_lead + base::from_seconds(load * m_settings.expected_load_share);
        m_ports.registry.expect_weights(coming.engine, coming.model, coming.version,
                                        now + ready_in);
        m_news.loading.push_back({coming.engine, coming.model, coming.version, ready_in});
    }

    void tell_others() {
        if (m_ports.announce && !m_news.empty()) {
            m_ports.announce(m_news);
        }
        m_news = {};
    }

    std::vector<coordination::rollout::engine_view> views() const {
        const base::monotonic_time now = m_ports.scheduler.now();
        std::vector<coordination::rollout::engine_view> engines;
        for (const auto& [name, engine] : m_ports.registry.engines()) {
            if (engine.listed.leaving) {
                continue;
            }
            for (const auto& [model, version] : engine.versions) {
                const auto since = m_ports.policies.outdated_since(model, version);
                engines.push_back({name, model, version, engine.running,
                                   since ? now - *since : base::duration{}, engine.listed.zone,
                                   engine.pending_prefill_tokens});
            }
        }
        return engines;
    }

    std::optional<engine_target> target_of(const base::engine_name& name) const {
        const known_engine* engine = m_ports.registry.find(name);
        if (engine == nullptr) {
            return std::nullopt;
        }
        return engine_target{name, engine->listed.address};
    }

    std::string model_of(const base::engine_name& name) const {
        const known_engine* engine = m_ports.registry.find(name);
        const bool known = engine != nullptr && !engine->versions.empty();
        return known ? engine->versions.begin()->first : std::string();
    }

    runtime::task<void> ask(base::engine_name name) {
        const auto target = target_of(name);
        const std::string model = model_of(name);
        std::optional<coordination::rollout::engine_report> report;
        if (target) {
            engine_target engine = *target;
            std::string asked = model;
            report = co_await m_ports.engines.report(std::move(engine), std::move(asked),
                                                     m_settings.call_limit);
        }
        const base::monotonic_time now = m_ports.scheduler.now();
        if (!report) {
            m_rollout.report_lost(name, now);
            co_return;
        }
        m_ports.registry.saw_version(name, model, report->version);
        if (m_rollout.under_way(name) && report->version >= m_rollout.wanted(model)) {
            m_news.loaded.push_back({name, model, report->version});
        }
        m_rollout.reported(name, *report, now);
    }

    /// @param without_order engines that were sent none to take that version, for the log.
    runtime::task<void> order(coordination::rollout::send_order wanted, std::size_t without_order) {
        const auto target = target_of(wanted.engine);
        const auto token = m_ports.lease.token();  // Asked last: time may have passed.
        if (!target || !token) {
            m_rollout.ordered(wanted.engine, coordination::rollout::order_answer::refused,
                              m_ports.scheduler.now());
            co_return;
        }
        ++m_orders_sent;
        m_ports.lease.act_begins();
        engine_target engine = *target;
        weights_order sent{wanted.model,       wanted.version,    wanted.expected_orders,
                           m_settings.running, m_settings.holder, *token};
        const auto answer = co_await m_ports.engines.order(std::move(engine), std::move(sent),
                                                           m_settings.call_limit);
        m_ports.lease.act_ended();
        runtime::log(runtime::log_level::info, component, "weights ordered",
                     {{"engine", wanted.engine.value},
                      {"model", wanted.model},
                      {"version", std::to_string(wanted.version)},
                      {"expected_orders", std::to_string(wanted.expected_orders)},
                      {"token", std::to_string(token->value)},
                      {"answer", std::to_string(static_cast<int>(answer))},
                      {"after_naming_at_most_ms", since_naming(wanted.model, wanted.version)},
                      {"without_order", std::to_string(without_order)}});
        m_rollout.ordered(wanted.engine, answer, m_ports.scheduler.now());
    }

    /// Once for each naming that this router has brought to all engines.
    void tell_ordered_everywhere(const std::vector<coordination::rollout::engine_view>& engines,
                                 const coordination::rollout::send_order& last) {
        std::uint64_t& told = m_ordered_everywhere[last.model];
        if (told >= last.version || m_rollout.without_order(last.model, engines) > 0) {
            return;
        }
        told = last.version;
        runtime::log(runtime::log_level::info, component, "weights ordered everywhere",
                     {{"last_engine", last.engine.value},
                      {"model", last.model},
                      {"version", std::to_string(last.version)},
                      {"after_naming_at_most_ms", since_naming(last.model, last.version)}});
    }

    /// @return milliseconds at most, or nothing where it isn't known when the version was named.
    std::string since_naming(const std::string& model, std::uint64_t version) const {
        const auto named = m_ports.policies.outdated_since(model, version - 1);
        const base::monotonic_time now = m_ports.scheduler.now();
        return named ? std::to_string(base::to_milliseconds(now - *named)) : std::string();
    }

    rollout_ports<Upstream, Lease> m_ports;
    rollout_settings m_settings;
    coordination::rollout::weights_rollout m_rollout;
    rollout_news m_news;                                        ///< Since others were told last.
    std::map<std::string, std::uint64_t> m_ordered_everywhere;  ///< Versions told, by model.
    std::uint64_t m_orders_sent = 0;
    bool m_stopped = false;
};

}  // namespace ferryroad::relay
