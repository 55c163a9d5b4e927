/// @file
/// Tracks which prompt parts engines and state stores (the holders) have in their KV caches, from
/// the holders' event streams. One router of a block polls a holder and publishes its changes to
/// the others. A router that misses changes, or receives no update for a while, polls the holder
/// itself. Polls that fail are repeated with exponential backoff.
///
/// If there are many holders for each router, only those are followed that the block has recently
/// sent prompts to: the work then grows with the block's requests, not with routers times holders.
#pragma once

#include "ferryroad/core/placement/warm_state.hpp"
#include "ferryroad/peer/traffic_notice.hpp"
#include "ferryroad/relay/types.hpp"
#include "ferryroad/runtime/log.hpp"
#include "ferryroad/runtime/scheduler.hpp"

#include <algorithm>
#include <concepts>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <tuple>
#include <unordered_map>
#include <utility>
#include <vector>

namespace ferryroad::relay {

/// A prompt part was added to a holder's cache, changed there, or evicted.
struct state_change {
    std::uint64_t number = 0;  ///< Increases within an epoch.
    std::string scope;
    std::string model;
    std::string part;
    std::uint64_t tokens = 0;  ///< Tokens of the part now cached; 0 if none.

    friend bool operator==(const state_change&, const state_change&) = default;
};

/// A holder's answer to a poll.
struct state_changes {
    std::uint64_t epoch = 0;  ///< Changes when the holder restarts.
    std::uint64_t next = 0;   ///< Position for the next poll.
    bool gap = false;         ///< Earlier changes than these are no longer available.
    std::vector<state_change> changes;

    friend bool operator==(const state_changes&, const state_changes&) = default;
};

/// Polls holders. `state_changes_of` waits up to `wait` for changes after `since`; it returns
/// nullopt if the holder doesn't answer or refuses.
template <typename T>
concept state_event_source = requires(T& port, engine_target holder, std::uint64_t since,
                                      base::duration wait) {
    {
        port.state_changes_of(holder, since, wait)
        } -> std::same_as<runtime::task<std::optional<state_changes>>>;
};

struct state_follower_settings {
    /// How long the holder may wait for changes: when polled by the router that is responsible for
    /// it, and when polled by another.
    base::duration wait = std::chrono::milliseconds(900);
    base::duration short_wait = std::chrono::milliseconds(250);
    /// Time between two polls, so that changes arrive in batches.
    base::duration pace = std::chrono::milliseconds(150);
    /// `pace` for a holder of another region: traffic between regions is billed, and only state
    /// that is kept for long matters there. Well within `update_timeout`.
    base::duration other_region_pace = std::chrono::milliseconds(1200);
    /// How often a router checks whether it must poll a holder that another is responsible for.
    base::duration check_period = std::chrono::milliseconds(500);
    /// Maximum number of holders checked each time, in round-robin order. Checking all of 3,001
    /// holders each time took a quarter of an idle router's CPU time (profile of 299 routers); with
    /// this limit each is checked about every 3 s. Deployments of up to 5 times the number of
    /// holders served so far are checked completely each time.
    std::size_t holders_per_check = 512;
    /// Without an update from a peer for this long, a router polls the holder itself.
    base::duration update_timeout = std::chrono::seconds(3);
    /// The timeout is at least this long for each holder: even without changes, an update on each
    /// holder is sent to all routers three times within the timeout. Updates on 3,001 holders each
    /// second took a third of a router's CPU time (profile of 299 routers).
    base::duration update_timeout_per_holder = std::chrono::milliseconds(4);
    base::duration first_backoff = std::chrono::milliseconds(500);
    base::duration max_backoff = std::chrono::seconds(8);
    /// Maximum number of prompt parts in one update to peers.
    std::size_t max_parts_per_update = 48;
    /// Up to this number of holders for each router of the block, all are followed; beyond it only
    /// those in use.
    std::size_t max_holders_per_router = 16;
    /// How long after a prompt was sent to a holder it counts as in use. Active sessions send their
    /// next prompt within this time.
    base::duration in_use_timeout = std::chrono::seconds(10);
    /// A router that has just started or missed changes polls the holders that others are
    /// responsible for one by one, with a pause of this time multiplied by the number of routers in
    /// the block. All routers together thus make about 50 such calls per second, however many start
    /// at once. Updates received in the meantime are applied immediately.
    base::duration catch_up_pace = std::chrono::milliseconds(20);
};

/// How the routers of a block share the polling of holders.
struct state_sharing {
    /// @return whether this router is responsible for polling the holder.
    std::function<bool(const base::engine_name&, const base::zone_name&)> is_responsible;
    /// Sends an update to the other routers.
    std::function<void(peer::holder_changes)> publish;
    /// @return the number of routers in the block, including this one.
    std::function<std::size_t()> routers;
    /// @return whether a zone is in another region; if empty, no zone is.
    std::function<bool(const base::zone_name&)> is_other_region = {};
};

/// When a holder is followed if there are too many to follow all.
enum class holder_interest { always, in_use };

/// Must be used on the event loop's thread and must exist until the loop has ended. The objects
/// passed to the constructor must outlive it.
template <state_event_source Source>
class state_follower {
  public:
    state_follower(runtime::scheduler& scheduler, Source& source, core::placement::warm_state& warm,
                   state_sharing sharing, state_follower_settings settings = {})
        : m_scheduler(scheduler),
          m_source(source),
          m_warm(warm),
          m_sharing(std::move(sharing)),
          m_settings(settings) {}

    /// Follows a holder until `leave` is called. Has no effect if the holder is followed already.
    void follow(const engine_target& holder, const base::zone_name& zone,
                holder_interest interest = holder_interest::in_use) {
        const auto [place, added] = m_holders.try_emplace(holder.name);
        if (added) {
            place->second = std::make_shared<followed_holder>();
            place->second->target = holder;
            place->second->zone = zone;
            place->second->interest = interest;
            m_check_order.push_back(place->second);
            start_polling_if_needed(place->second);
        }
        if (!m_checking) {
            m_checking = true;
            m_scheduler.spawn(component, check_periodically());
        }
    }
    /// Stops following a holder and forgets its state.
    void leave(const base::engine_name& name) {
        const auto found = m_holders.find(name);
        if (found != m_holders.end()) {
            found->second->wanted = false;
            m_holders.erase(found);
        }
        m_warm.forget(name);
    }
    /// Records that a router of the block sent a prompt to the holder.
    void mark_used(const base::engine_name& name) {
        const auto found = m_holders.find(name);
        if (found == m_holders.end()) {
            return;
        }
        followed_holder& holder = *found->second;
        holder.used_at = m_scheduler.now();
        if (!holder.polling && is_update_overdue(holder)) {
            // No router polls the holder, so no update on the prompt would arrive.
            set_followed(holder, false);
        }
        start_polling_if_needed(found->second);
    }
    /// Applies an update from the peer that polls the holder.
    void learn(const peer::holder_changes& update) {
        const auto found = m_holders.find(update.holder);
        if (found == m_holders.end()) {
            return;
        }
        followed_holder& holder = *found->second;
        holder.updated_at = m_scheduler.now();
        if (update.epoch != holder.epoch) {
            begin_epoch(holder, update.epoch);
        }
        if (update.from > holder.position) {
            mark_missed(holder, holder.position);
        }
        if (update.next >= holder.position) {
            apply(holder, update);
        }
    }
    /// @return the number of holders between `follow` and `leave`.
    std::size_t followed() const { return m_holders.size(); }
    /// @return whether all holders are followed, not only those in use.
    bool follows_all() const {
        return m_holders.size() <= m_settings.max_holders_per_router * m_sharing.routers();
    }

  private:
    static constexpr std::string_view component = "relay.state";

    struct followed_holder {
        engine_target target;
        base::zone_name zone;
        holder_interest interest = holder_interest::in_use;
        std::optional<base::monotonic_time> used_at;
        bool wanted = true;        ///< Cleared by `leave`.
        bool polling = false;      ///< A `run` coroutine for the holder is active.
        bool unreachable = false;  ///< The last poll was not answered.
        bool followed = false;     ///< The value last passed to `m_warm`.
        std::uint64_t epoch = 0;
        std::uint64_t position = 0;  ///< Number of the newest change received.
        /// Some of the changes after this one were not received.
        std::optional<std::uint64_t> missed_from = 0;
        base::monotonic_time updated_at{};
        base::monotonic_time published_at{};
    };
    using holder_pointer = std::shared_ptr<followed_holder>;

    /// Uses one timer for all holders, as there are many and most are polled by other routers.
    runtime::task<void> check_periodically() {
        while (!m_holders.empty()) {
            const base::duration period = std::min(m_settings.check_period, catch_up_pause());
            co_await m_scheduler.sleep_for(jittered(period));
            check_next_holders();
        }
        m_checking = false;
    }

    void check_next_holders() {
        const std::size_t count = std::min(m_settings.holders_per_check, m_check_order.size());
        for (std::size_t checked = 0; checked < count && !m_check_order.empty(); ++checked) {
            m_next_check = m_next_check < m_check_order.size() ? m_next_check : 0;
            const holder_pointer holder = m_check_order[m_next_check];
            if (!holder->wanted) {
                m_check_order[m_next_check] = m_check_order.back();
                m_check_order.pop_back();
                continue;
            }
            ++m_next_check;
            start_polling_if_needed(holder);
        }
    }

    bool is_responsible(const followed_holder& holder) const {
        return m_sharing.is_responsible(holder.target.name, holder.zone);
    }

    void start_polling_if_needed(const holder_pointer& holder) {
        if (holder->polling || !must_follow(*holder)) {
            return;
        }
        const bool responsible = is_responsible(*holder);
        if (!responsible && !must_poll(*holder)) {
            return;
        }
        if (!responsible) {
            m_next_catch_up = m_scheduler.now() + jittered(catch_up_pause());
        }
        holder->polling = true;
        m_scheduler.spawn(component, run(holder));
    }

    bool must_follow(const followed_holder& holder) const {
        if (holder.interest == holder_interest::always || follows_all()) {
            return true;
        }
        return holder.used_at && m_scheduler.now() - *holder.used_at < m_settings.in_use_timeout;
    }

    base::duration catch_up_pause() const {
        return m_settings.catch_up_pace * static_cast<std::int64_t>(m_sharing.routers());
    }

    /// Polls the holder once, and then for as long as this router is responsible for it.
    runtime::task<void> run(holder_pointer holder) {
        base::duration backoff = m_settings.first_backoff;
        bool responsible = true;
        while (holder->wanted && responsible && must_follow(*holder)) {
            responsible = is_responsible(*holder);
            const bool answered = co_await poll(holder, responsible);
            if (!holder->wanted) {
                break;
            }
            record_reachability(*holder, answered);
            if (answered) {
                backoff = m_settings.first_backoff;
                co_await m_scheduler.sleep_for(pace_of(*holder));
                continue;
            }
            if (is_update_overdue(*holder)) {
                set_followed(*holder, false);
            }
            co_await m_scheduler.sleep_for(jittered(backoff));
            backoff = std::min(2 * backoff, m_settings.max_backoff);
        }
        if (holder->wanted && !must_follow(*holder)) {
            set_followed(*holder, false);
        }
        holder->polling = false;
    }

    /// Logs when a holder becomes unreachable and when it is reachable again.
    void record_reachability(followed_holder& holder, bool answered) {
        if (holder.unreachable != answered) {
            return;
        }
        holder.unreachable = !answered;
        const auto level = answered ? runtime::log_level::info : runtime::log_level::warning;
        runtime::log(level, component,
                     answered ? "state events of the holder regained"
                              : "state events of the holder lost; polling again with backoff",
                     {{"holder", holder.target.name.value},
                      {"position", std::to_string(holder.position)},
                      {"epoch", std::to_string(holder.epoch)}});
    }

    bool is_in_other_region(const followed_holder& holder) const {
        return m_sharing.is_other_region && m_sharing.is_other_region(holder.zone);
    }

    base::duration pace_of(const followed_holder& holder) const {
        return is_in_other_region(holder) ? m_settings.other_region_pace : m_settings.pace;
    }

    std::uint64_t poll_position(const followed_holder& holder) const {
        const bool goes_on = is_in_other_region(holder) && holder.position > 0;
        return goes_on ? holder.position : holder.missed_from.value_or(holder.position);
    }

    bool is_update_overdue(const followed_holder& holder) const {
        return m_scheduler.now() - holder.updated_at > update_timeout();
    }

    base::duration update_timeout() const {
        if (!follows_all()) {
            return m_settings.update_timeout;
        }
        const auto holders = static_cast<base::duration::rep>(m_holders.size());
        return std::max(m_settings.update_timeout, holders * m_settings.update_timeout_per_holder);
    }

    void set_followed(followed_holder& holder, bool followed) {
        if (holder.followed != followed) {
            holder.followed = followed;
            m_warm.follow(holder.target.name, followed);
        }
    }

    /// A holder of another region, and any holder if not all are followed, is polled only by the
    /// router responsible for it: a store can serve a few callers at once, not one of each block.
    /// Changes from before this router started are then not fetched: when each starting router
    /// fetched complete histories, these were most of the traffic between regions.
    bool must_poll(const followed_holder& holder) const {
        if (is_in_other_region(holder) || !follows_all()) {
            return false;
        }
        const bool lacks_updates = holder.missed_from || is_update_overdue(holder);
        return lacks_updates && m_scheduler.now() >= m_next_catch_up;
    }

    static void mark_missed(followed_holder& holder, std::uint64_t position) {
        holder.missed_from = std::min(holder.missed_from.value_or(position), position);
    }

    /// The holder restarted, or is seen for the first time.
    void begin_epoch(followed_holder& holder, std::uint64_t epoch) {
        if (holder.epoch != 0) {
            m_warm.forget(holder.target.name);
            holder.followed = false;
        }
        holder.epoch = epoch;
        holder.position = 0;
        holder.missed_from.reset();
    }

    /// @return whether the holder answered.
    runtime::task<bool> poll(holder_pointer holder, bool responsible) {
        engine_target target = holder->target;
        const std::uint64_t since = poll_position(*holder);
        const base::duration wait = responsible ? m_settings.wait : m_settings.short_wait;
        const auto answer = co_await m_source.state_changes_of(std::move(target), since, wait);
        if (!answer) {
            co_return false;
        }
        if (holder->wanted) {
            apply_answer(*holder, since, *answer, responsible);
        }
        co_return true;
    }

    void apply_answer(followed_holder& holder, std::uint64_t since, const state_changes& answer,
                      bool responsible) {
        const bool restarted = answer.epoch != holder.epoch;
        if (restarted) {
            begin_epoch(holder, answer.epoch);
        }
        holder.updated_at = m_scheduler.now();
        if (answer.next < holder.position && !answer.gap) {
            return;  // Peers sent more in the meantime; missed changes are polled again.
        }
        holder.missed_from.reset();
        const std::uint64_t from = restarted || answer.gap ? 0 : since;
        for (peer::holder_changes& batch : batches(holder, from, answer)) {
            log_changes(holder, batch);
            apply(holder, batch);
            if (responsible && must_publish(holder, batch)) {
                holder.published_at = holder.updated_at;
                m_sharing.publish(std::move(batch));
            }
        }
    }

    /// Logs the holder's changes as reported. `scripts/explain-reads` parses this message.
    void log_changes(const followed_holder& holder, const peer::holder_changes& batch) const {
        if (batch.parts.empty() || !runtime::log_enabled(runtime::log_level::debug)) {
            return;
        }
        runtime::log(runtime::log_level::debug, component, "holder told",
                     {{"holder", batch.holder.value},
                      {"address", holder.target.address.to_string()},
                      {"epoch", std::to_string(batch.epoch)},
                      {"next", std::to_string(batch.next)},
                      {"parts", core::prefix::to_string(batch.parts)}});
    }

    /// @return whether the batch is sent to peers. A batch without changes is sent periodically, to
    /// show that the holder is still polled.
    bool must_publish(const followed_holder& holder, const peer::holder_changes& batch) const {
        return !batch.parts.empty() ||
               holder.updated_at - holder.published_at > update_timeout() / 3;
    }

    std::vector<peer::holder_changes> batches(const followed_holder& holder, std::uint64_t from,
                                              const state_changes& answer) const {
        std::vector<peer::holder_changes> all;
        peer::holder_changes batch{holder.target.name, answer.epoch, from, from, {}};
        for (const state_change& one : last_changes(answer.changes, from)) {
            if (batch.parts.size() >= m_settings.max_parts_per_update) {
                all.push_back(batch);
                batch.from = batch.next;
                batch.parts.clear();
            }
            batch.parts.push_back(
                {core::prefix::key_of(one.scope, one.model, one.part), one.tokens});
            batch.next = std::max(batch.from, one.number);
        }
        batch.next = std::max(batch.from, answer.next);
        all.push_back(std::move(batch));
        return all;
    }

    /// @return the last change of each part. From position 0, i.e. for receivers that know nothing
    /// yet, removals are left out.
    static std::vector<state_change> last_changes(const std::vector<state_change>& changes,
                                                  std::uint64_t from) {
        using part_name = std::tuple<std::string_view, std::string_view, std::string_view>;
        std::set<part_name> seen;
        std::vector<state_change> kept;
        for (auto one = changes.rbegin(); one != changes.rend(); ++one) {
            const bool newest = seen.insert({one->scope, one->model, one->part}).second;
            if (newest && (one->tokens > 0 || from > 0)) {
                kept.push_back(*one);
            }
        }
        std::reverse(kept.begin(), kept.end());
        return kept;
    }

    void apply(followed_holder& holder, const peer::holder_changes& update) {
        const base::monotonic_time now = m_scheduler.now();
        for (const core::prefix::scoped_part& part : update.parts) {
            m_warm.told(part.key, holder.target.name, part.tokens, now);
        }
        holder.position = std::max(holder.position, update.next);
        set_followed(holder, true);
    }

    base::duration jittered(base::duration delay) {
        return base::from_seconds(base::to_seconds(delay) * (0.5 + m_scheduler.random().unit()));
    }

    runtime::scheduler& m_scheduler;
    Source& m_source;
    core::placement::warm_state& m_warm;
    state_sharing m_sharing;
    state_follower_settings m_settings;
    std::unordered_map<base::engine_name, holder_pointer> m_holders;
    /// Holders in the order of checks. Holders that were left are removed when their turn comes.
    std::vector<holder_pointer> m_check_order;
    std::size_t m_next_check = 0;  ///< Index in `m_check_order`.
    /// Earliest time to poll the next holder that another router is responsible for.
    base::monotonic_time m_next_catch_up{};
    bool m_checking = false;
};

}  // namespace ferryroad::relay
