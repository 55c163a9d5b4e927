/// @file
/// Follows the event streams of engines and state stores, so that routing knows what each
/// holds. A holder that turns followers away is left alone for a while.
#pragma once

#include "ferryroad/core/placement/warm_state.hpp"
#include "ferryroad/relay/types.hpp"
#include "ferryroad/runtime/log.hpp"
#include "ferryroad/runtime/scheduler.hpp"

#include <concepts>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace ferryroad::relay {

/// A part entered a holder's memory, changed there, or left it.
struct state_change {
    std::string scope;
    std::string model;
    std::string part;
    std::uint64_t tokens = 0;  ///< Held now; 0: none.

    friend bool operator==(const state_change&, const state_change&) = default;
};

struct state_changes {
    std::uint64_t epoch = 0;  ///< Changes when the holder restarts.
    std::uint64_t next = 0;   ///< To be asked for next.
    bool gap = false;         ///< Changes before these are lost.
    std::vector<state_change> changes;

    friend bool operator==(const state_changes&, const state_changes&) = default;
};

/// `state_changes` waits up to `wait` for changes after `since`; nothing where the holder
/// gives none.
template <typename T>
concept state_event_source = requires(T& port, engine_target holder, std::uint64_t since,
                                      base::duration wait) {
    {
        port.state_changes_of(holder, since, wait)
        } -> std::same_as<runtime::task<std::optional<state_changes>>>;
};

struct state_follower_settings {
    base::duration wait = std::chrono::milliseconds(900);
    /// Between two calls, so that changes come in batches.
    base::duration pace = std::chrono::milliseconds(150);
    base::duration first_backoff = std::chrono::milliseconds(500);
    base::duration longest_backoff = std::chrono::seconds(8);
};

/// Used from the event loop's thread; kept until the loop has ended. Collaborators outlive it.
template <state_event_source Source>
class state_follower {
  public:
    state_follower(runtime::scheduler& scheduler, Source& source, core::placement::warm_state& warm,
                   state_follower_settings settings = {})
        : m_scheduler(scheduler), m_source(source), m_warm(warm), m_settings(settings) {}

    /// Follows a holder until `leave`; again called, it changes nothing.
    void follow(const engine_target& holder) {
        const auto [place, added] = m_followed.emplace(holder.name, std::make_shared<bool>(true));
        if (added) {
            m_scheduler.spawn(component, run(holder, place->second));
        }
    }
    /// The holder ended.
    void leave(const base::engine_name& name) {
        const auto found = m_followed.find(name);
        if (found != m_followed.end()) {
            *found->second = false;
            m_followed.erase(found);
        }
        m_warm.forget(name);
    }
    std::size_t followed() const { return m_followed.size(); }

  private:
    static constexpr std::string_view component = "relay.state";

    runtime::task<void> run(engine_target holder, std::shared_ptr<bool> wanted) {
        std::uint64_t since = 0;
        std::uint64_t epoch = 0;
        base::duration backoff = m_settings.first_backoff;
        while (*wanted) {
            engine_target asked = holder;
            const auto told =
                co_await m_source.state_changes_of(std::move(asked), since, m_settings.wait);
            if (!*wanted) {
                co_return;
            }
            if (!told) {
                m_warm.follow(holder.name, false);
                co_await m_scheduler.sleep_for(jittered(backoff));
                backoff = std::min(2 * backoff, m_settings.longest_backoff);
                continue;
            }
            if (told->epoch != epoch && epoch != 0) {
                m_warm.forget(holder.name);
            }
            epoch = told->epoch;
            since = told->next;
            backoff = m_settings.first_backoff;
            take(holder.name, *told);
            co_await m_scheduler.sleep_for(m_settings.pace);
        }
    }

    void take(const base::engine_name& holder, const state_changes& told) {
        const base::monotonic_time now = m_scheduler.now();
        for (const state_change& one : told.changes) {
            m_warm.told(core::prefix::key_of(one.scope, one.model, one.part), holder, one.tokens,
                        now);
        }
        m_warm.follow(holder, true);
    }

    base::duration jittered(base::duration delay) {
        return base::from_seconds(base::to_seconds(delay) * (0.5 + m_scheduler.random().unit()));
    }

    runtime::scheduler& m_scheduler;
    Source& m_source;
    core::placement::warm_state& m_warm;
    state_follower_settings m_settings;
    std::map<base::engine_name, std::shared_ptr<bool>> m_followed;
};

}  // namespace ferryroad::relay
