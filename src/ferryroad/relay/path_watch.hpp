/// @file
/// Watches this router's own network paths to engines: collects what its exchanges and connections
/// show, probes engines when all of them fall silent, and probes lost paths until they return.
#pragma once

#include "ferryroad/core/reachability/engine_paths.hpp"
#include "ferryroad/http/client.hpp"
#include "ferryroad/relay/engine_registry.hpp"
#include "ferryroad/relay/types.hpp"
#include "ferryroad/runtime/log.hpp"
#include "ferryroad/runtime/scheduler.hpp"

#include <concepts>
#include <cstdint>
#include <functional>
#include <iterator>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace ferryroad::relay {

/// Opens connections to engines to see whether they can be reached.
template <typename T>
concept path_prober = requires(T& client, base::endpoint address) {
    { client.try_connect(address) } -> std::same_as<runtime::task<http::connect_outcome>>;
};

struct path_watch_settings {
    core::reachability::path_tunables paths;
    /// If an exchange has waited this long and no engine has been heard meanwhile, engines are
    /// probed. One engine may well be silent for longer, all of them at once are not.
    base::duration silence = std::chrono::milliseconds(250);
    /// Time between two checks while exchanges wait or paths are lost.
    base::duration check_interval = std::chrono::milliseconds(50);
    /// Time between two rounds of probes; each round probes at most two engines.
    base::duration probe_interval = std::chrono::milliseconds(250);
    /// See `heard_recently`.
    base::duration reliable_for = std::chrono::seconds(1);
};

/// Counts for metrics, since the start of the process.
struct path_counters {
    std::uint64_t losses = 0;  ///< Times that the paths to all engines were lost.
    std::uint64_t probes = 0;

    friend bool operator==(const path_counters&, const path_counters&) = default;
};

/// Used from the event loop's thread. Its collaborators must outlive it.
template <path_prober Prober>
class path_watch {
  public:
    /// @param on_change called when the paths to all engines are lost, or have returned.
    path_watch(runtime::scheduler& scheduler, Prober& prober, const engine_registry& registry,
               std::function<void(bool lost)> on_change, path_watch_settings settings = {})
        : m_scheduler(scheduler),
          m_prober(prober),
          m_registry(registry),
          m_on_change(std::move(on_change)),
          m_settings(settings),
          m_paths(settings.paths) {}
    path_watch(const path_watch&) = delete;
    path_watch& operator=(const path_watch&) = delete;

    const core::reachability::engine_paths& paths() const { return m_paths; }
    const path_counters& counters() const { return m_counters; }

    /// RAII guard of an exchange that waits for its engine's answer.
    class waiting_exchange {
      public:
        waiting_exchange(path_watch& watch, const base::engine_name& engine)
            : m_watch(watch), m_place(watch.m_waiting.emplace(watch.m_scheduler.now(), engine)) {
            watch.start_checks();
        }
        ~waiting_exchange() { m_watch.m_waiting.erase(m_place); }
        waiting_exchange(const waiting_exchange&) = delete;
        waiting_exchange& operator=(const waiting_exchange&) = delete;

      private:
        path_watch& m_watch;
        typename std::multimap<base::monotonic_time, base::engine_name>::iterator m_place;
    };

    /// Records that an engine answered on this router's own path.
    void heard(const base::engine_name& engine) { apply(m_paths.heard(engine, m_scheduler.now())); }

    /// Records that no connection to an engine could be opened.
    /// @param began start of the attempt.
    void failed(const base::engine_name& engine, base::monotonic_time began) {
        apply(m_paths.failed(engine, began, m_scheduler.now()));
        start_checks();
    }

    /// Records that an engine is no longer listed.
    void engine_gone(const base::engine_name& engine) { m_paths.forget(engine); }

    /// Opens a connection to an engine and records the outcome.
    runtime::task<http::connect_outcome> probe(engine_target target) {
        const std::weak_ptr<const lifetime> alive = m_lifetime;
        const base::monotonic_time began = m_scheduler.now();
        base::endpoint address = target.address;
        const http::connect_outcome outcome = co_await m_prober.try_connect(std::move(address));
        if (alive.expired()) {
            co_return outcome;
        }
        if (outcome == http::connect_outcome::connected) {
            heard(target.name);
        } else {
            failed(target.name, began);
        }
        co_return outcome;
    }

    /// @return whether an engine has been heard so recently that this router's view of one that
    /// refuses connections can be relied on.
    bool heard_recently() const {
        return !m_paths.silent_since(m_scheduler.now() - m_settings.reliable_for);
    }

    /// @return whether the process at this address may have ended as planned: the engine is
    /// leaving, or is not listed under this address any more.
    bool may_have_left(const engine_target& target) const {
        const auto found = m_registry.engines().find(target.name);
        return found == m_registry.engines().end() || found->second.is_leaving() ||
               found->second.listed.address != target.address;
    }

  private:
    static constexpr std::string_view component = "relay.paths";

    /// Lets detached coroutines see that the watch was destroyed.
    struct lifetime {};

    void apply(core::reachability::path_change change) {
        using core::reachability::path_change;
        if (change == path_change::none) {
            return;
        }
        const bool lost = change == path_change::all_lost;
        const base::monotonic_time now = m_scheduler.now();
        if (lost) {
            ++m_counters.losses;
            m_lost_at = now;
            runtime::log(runtime::log_level::warning, component, "paths to all engines lost",
                         {{"failing", std::to_string(m_paths.failing().size())},
                          {"waiting", std::to_string(m_waiting.size())}});
        } else {
            const base::duration lost_for = now - m_lost_at;
            runtime::log(runtime::log_level::info, component, "paths to engines regained",
                         {{"lost_ms", std::to_string(base::to_milliseconds(lost_for))}});
        }
        m_on_change(lost);
    }

    void start_checks() {
        if (!m_checking) {
            m_checking = true;
            m_scheduler.spawn(component, run_checks());
        }
    }

    runtime::task<void> run_checks() {
        const std::weak_ptr<const lifetime> alive = m_lifetime;
        while (!m_waiting.empty() || m_paths.needs_probes()) {
            co_await m_scheduler.sleep_for(m_settings.check_interval);
            if (alive.expired()) {
                co_return;
            }
            const base::monotonic_time now = m_scheduler.now();
            const bool due = now - m_probed_at >= m_settings.probe_interval;
            if (due && (m_paths.needs_probes() || is_silent(now))) {
                m_probed_at = now;
                probe_round();
            }
        }
        m_checking = false;
    }

    /// @return whether an exchange waits and no engine has been heard for too long.
    bool is_silent(base::monotonic_time now) const {
        return !m_waiting.empty() && now - m_waiting.begin()->first >= m_settings.silence &&
               m_paths.silent_since(now - m_settings.silence);
    }

    /// Probes one of the engines that failed or keep a request waiting and, unless only single
    /// engines failed, any other one: the former may be down.
    void probe_round() {
        std::vector<base::engine_name> suspects = m_paths.failing();
        if (suspects.empty()) {
            for (const auto& [began, engine] : m_waiting) {
                suspects.push_back(engine);
            }
        }
        const std::set<base::engine_name> engines(suspects.begin(), suspects.end());
        if (!engines.empty()) {
            const auto place = m_scheduler.random().below(engines.size());
            start_probe(*std::next(engines.begin(), static_cast<std::ptrdiff_t>(place)));
        }
        const auto& listed = m_registry.engines();
        const bool single =
            m_paths.needs_probes() && !m_paths.all_lost() && !is_silent(m_scheduler.now());
        if (!single && !listed.empty()) {
            const auto place = m_scheduler.random().below(listed.size());
            start_probe(std::next(listed.begin(), static_cast<std::ptrdiff_t>(place))->first);
        }
    }

    void start_probe(const base::engine_name& name) {
        const auto found = m_registry.engines().find(name);
        if (found == m_registry.engines().end()) {
            m_paths.forget(name);
            return;
        }
        if (m_probing.insert(name).second) {
            ++m_counters.probes;
            m_scheduler.spawn(component, run_probe({name, found->second.listed.address}));
        }
    }

    runtime::task<void> run_probe(engine_target target) {
        const std::weak_ptr<const lifetime> alive = m_lifetime;
        co_await probe(target);
        if (!alive.expired()) {
            m_probing.erase(target.name);
        }
    }

    runtime::scheduler& m_scheduler;
    Prober& m_prober;
    const engine_registry& m_registry;
    std::function<void(bool)> m_on_change;
    path_watch_settings m_settings;
    core::reachability::engine_paths m_paths;
    /// Start of each exchange that waits for the head of its answer, with its engine.
    std::multimap<base::monotonic_time, base::engine_name> m_waiting;
    std::set<base::engine_name> m_probing;
    base::monotonic_time m_probed_at{};
    base::monotonic_time m_lost_at{};
    path_counters m_counters;
    bool m_checking = false;
    std::shared_ptr<const lifetime> m_lifetime = std::make_shared<const lifetime>();
};

}  // namespace ferryroad::relay
