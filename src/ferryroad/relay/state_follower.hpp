/// @file
/// Keeps this router's beliefs on what engines and state stores hold in step with their event
/// streams. One router of a block asks a holder and tells the others; a router that misses
/// something, or hears nothing for a while, asks by itself. A holder that turns callers away
/// is left alone for a while.
///
/// Where there are many holders for each router, only those are followed that the block has just
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

/// A part entered a holder's memory, changed there, or left it.
struct state_change {
    std::uint64_t number = 0;  ///< Rising within an epoch.
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
    /// How long the holder may wait for changes: for the router that follows it, and for one
    /// that asks by itself.
    base::duration wait = std::chrono::milliseconds(900);
    base::duration short_wait = std::chrono::milliseconds(250);
    /// Between two calls, so that changes come in batches.
    base::duration pace = std::chrono::milliseconds(150);
    /// The same for a holder of another region. Each call there and back is paid for, and of what
    /// is that far only what is kept for long matters; well within `news_lifetime`.
    base::duration far_pace = std::chrono::milliseconds(1200);
    /// How often a router looks whether it must ask a holder that another follows.
    base::duration look_period = std::chrono::milliseconds(500);
    /// Holders looked at each time, in turn: all of them up to 5 times the largest deployment
    /// served so far. Looking at all of 3,001 took a quarter of a router's processor time before
    /// traffic (profile of 299 routers); in turn, each is looked at every 3 s or so.
    std::size_t look_holders = 512;
    /// Without news from a peer for so long, a router asks by itself.
    base::duration news_lifetime = std::chrono::seconds(3);
    /// And this for each holder: where nothing changes, peers are told so three times in the
    /// lifetime, and each router hears it of every holder. 3,001 holders told of each second took a
    /// third of a router's processor time (profile of 299 routers).
    base::duration news_lifetime_per_holder = std::chrono::milliseconds(4);
    base::duration first_backoff = std::chrono::milliseconds(500);
    base::duration longest_backoff = std::chrono::seconds(8);
    /// Parts told to peers at a time.
    std::size_t told_parts = 48;
    /// All holders are followed up to so many for each router of the block; of more, those in use.
    std::size_t followed_share = 16;
    /// A holder counts as in use for so long after a prompt was sent there: sessions that go on
    /// come back sooner.
    base::duration use_lifetime = std::chrono::seconds(10);
    /// A router that has just started, or missed something, asks the holders that others follow
    /// one after the other, so far apart for each router of the block: all of them together make
    /// some 50 calls a second, however many start at once. What is told meanwhile counts at once.
    base::duration catch_up_pace = std::chrono::milliseconds(20);
};

/// How the routers of a block share the work.
struct state_sharing {
    /// @return whether this router follows the holder for the others.
    std::function<bool(const base::engine_name&, const base::zone_name&)> follows;
    /// Tells the others.
    std::function<void(peer::holder_changes)> tell;
    /// @return how many share it, this router included.
    std::function<std::size_t()> routers;
    /// @return whether a holder's zone lies in another region; empty: none does.
    std::function<bool(const base::zone_name&)> is_far = {};
};

/// When a holder is followed where there are many.
enum class holder_interest { always, in_use };

/// Used from the event loop's thread; kept until the loop has ended. Collaborators outlive it.
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

    /// Keeps in step with a holder until `leave`; again called, it changes nothing.
    void follow(const engine_target& holder, const base::zone_name& zone,
                holder_interest interest = holder_interest::in_use) {
        const auto [place, added] = m_holders.try_emplace(holder.name);
        if (added) {
            place->second = std::make_shared<followed_holder>();
            place->second->target = holder;
            place->second->zone = zone;
            place->second->interest = interest;
            m_in_turn.push_back(place->second);
            start_where_needed(place->second);
        }
        if (!m_looking) {
            m_looking = true;
            m_scheduler.spawn(component, look());
        }
    }
    /// The holder ended.
    void leave(const base::engine_name& name) {
        const auto found = m_holders.find(name);
        if (found != m_holders.end()) {
            found->second->wanted = false;
            m_holders.erase(found);
        }
        m_warm.forget(name);
    }
    /// This router or one of its block sent a prompt there.
    void used(const base::engine_name& name) {
        const auto found = m_holders.find(name);
        if (found == m_holders.end()) {
            return;
        }
        followed_holder& holder = *found->second;
        holder.used_at = m_scheduler.now();
        if (!holder.asking && is_silent(holder)) {
            set_followed(holder, false);  // Nobody follows it: nothing would be told of the prompt.
        }
        start_where_needed(found->second);
    }
    /// A peer follows the holder, and told of changes.
    void learn(const peer::holder_changes& told) {
        const auto found = m_holders.find(told.holder);
        if (found == m_holders.end()) {
            return;
        }
        followed_holder& holder = *found->second;
        holder.news_at = m_scheduler.now();
        if (told.epoch != holder.epoch) {
            begin_epoch(holder, told.epoch);
        }
        if (told.from > holder.position) {
            miss_from(holder, holder.position);
        }
        if (told.next >= holder.position) {
            apply(holder, told);
        }
    }
    std::size_t followed() const { return m_holders.size(); }
    /// @return whether what any holder tells would be known here.
    bool follows_all() const {
        return m_holders.size() <= m_settings.followed_share * m_sharing.routers();
    }

  private:
    static constexpr std::string_view component = "relay.state";

    struct followed_holder {
        engine_target target;
        base::zone_name zone;
        holder_interest interest = holder_interest::in_use;
        std::optional<base::monotonic_time> used_at;
        bool wanted = true;
        bool asking = false;    ///< This router asks it now.
        bool lost = false;      ///< The last question was not answered.
        bool followed = false;  ///< As `m_warm` was told.
        std::uint64_t epoch = 0;
        std::uint64_t position = 0;  ///< The newest change that was told.
        /// Some of the changes after this one were never told.
        std::optional<std::uint64_t> missed_from = 0;
        base::monotonic_time news_at{};
        base::monotonic_time told_at{};
    };
    using holder_pointer = std::shared_ptr<followed_holder>;

    /// One timer for all holders: most are followed by other routers, and there are many.
    runtime::task<void> look() {
        while (!m_holders.empty()) {
            const base::duration period = std::min(m_settings.look_period, catch_up_pause());
            co_await m_scheduler.sleep_for(jittered(period));
            look_at_some();
        }
        m_looking = false;
    }

    void look_at_some() {
        const std::size_t count = std::min(m_settings.look_holders, m_in_turn.size());
        for (std::size_t looked = 0; looked < count && !m_in_turn.empty(); ++looked) {
            m_turn = m_turn < m_in_turn.size() ? m_turn : 0;
            const holder_pointer holder = m_in_turn[m_turn];
            if (!holder->wanted) {
                m_in_turn[m_turn] = m_in_turn.back();
                m_in_turn.pop_back();
                continue;
            }
            ++m_turn;
            start_where_needed(holder);
        }
    }

    bool follows(const followed_holder& holder) const {
        return m_sharing.follows(holder.target.name, holder.zone);
    }

    void start_where_needed(const holder_pointer& holder) {
        if (holder->asking || !is_of_interest(*holder)) {
            return;
        }
        const bool follows_it = follows(*holder);
        if (!follows_it && !must_ask(*holder)) {
            return;
        }
        if (!follows_it) {
            m_catch_up_from = m_scheduler.now() + jittered(catch_up_pause());
        }
        holder->asking = true;
        m_scheduler.spawn(component, run(holder));
    }

    bool is_of_interest(const followed_holder& holder) const {
        if (holder.interest == holder_interest::always || follows_all()) {
            return true;
        }
        return holder.used_at && m_scheduler.now() - *holder.used_at < m_settings.use_lifetime;
    }

    base::duration catch_up_pause() const {
        return m_settings.catch_up_pace * static_cast<std::int64_t>(m_sharing.routers());
    }

    /// Asks the holder once, and again for as long as this router follows it.
    runtime::task<void> run(holder_pointer holder) {
        base::duration backoff = m_settings.first_backoff;
        bool follows_it = true;
        while (holder->wanted && follows_it && is_of_interest(*holder)) {
            follows_it = follows(*holder);
            const bool answered = co_await ask(holder, follows_it);
            if (!holder->wanted) {
                break;
            }
            note_answer(*holder, answered);
            if (answered) {
                backoff = m_settings.first_backoff;
                co_await m_scheduler.sleep_for(pace_of(*holder));
                continue;
            }
            if (is_silent(*holder)) {
                set_followed(*holder, false);
            }
            co_await m_scheduler.sleep_for(jittered(backoff));
            backoff = std::min(2 * backoff, m_settings.longest_backoff);
        }
        if (holder->wanted && !is_of_interest(*holder)) {
            set_followed(*holder, false);
        }
        holder->asking = false;
    }

    /// One line where a holder's events are lost, and one where they are there again.
    void note_answer(followed_holder& holder, bool answered) {
        if (holder.lost != answered) {
            return;
        }
        holder.lost = !answered;
        const auto level = answered ? runtime::log_level::info : runtime::log_level::warning;
        runtime::log(level, component,
                     answered ? "holder's events regained" : "holder's events lost",
                     {{"holder", holder.target.name.value},
                      {"position", std::to_string(holder.position)},
                      {"epoch", std::to_string(holder.epoch)}});
    }

    bool is_far(const followed_holder& holder) const {
        return m_sharing.is_far && m_sharing.is_far(holder.zone);
    }

    base::duration pace_of(const followed_holder& holder) const {
        return is_far(holder) ? m_settings.far_pace : m_settings.pace;
    }

    std::uint64_t asked_since(const followed_holder& holder) const {
        const bool goes_on = is_far(holder) && holder.position > 0;
        return goes_on ? holder.position : holder.missed_from.value_or(holder.position);
    }

    bool is_silent(const followed_holder& holder) const {
        return m_scheduler.now() - holder.news_at > news_lifetime();
    }

    base::duration news_lifetime() const {
        if (!follows_all()) {
            return m_settings.news_lifetime;
        }
        const auto holders = static_cast<base::duration::rep>(m_holders.size());
        return std::max(m_settings.news_lifetime, holders * m_settings.news_lifetime_per_holder);
    }

    void set_followed(followed_holder& holder, bool followed) {
        if (holder.followed != followed) {
            holder.followed = followed;
            m_warm.follow(holder.target.name, followed);
        }
    }

    /// Of a holder of another region, and of all where there are many, only the router that follows
    /// it asks: a store answers a few callers at once, not one of each block. What was told before
    /// this router was there isn't asked for: whole histories, asked for by each router that
    /// starts, were most of what crossed regions.
    bool must_ask(const followed_holder& holder) const {
        if (is_far(holder) || !follows_all()) {
            return false;
        }
        const bool lacks_news = holder.missed_from || is_silent(holder);
        return lacks_news && m_scheduler.now() >= m_catch_up_from;
    }

    static void miss_from(followed_holder& holder, std::uint64_t position) {
        holder.missed_from = std::min(holder.missed_from.value_or(position), position);
    }

    /// The holder restarted, or is heard of for the first time.
    void begin_epoch(followed_holder& holder, std::uint64_t epoch) {
        if (holder.epoch != 0) {
            m_warm.forget(holder.target.name);
            holder.followed = false;
        }
        holder.epoch = epoch;
        holder.position = 0;
        holder.missed_from.reset();
    }

    runtime::task<bool> ask(holder_pointer holder, bool follows) {
        engine_target asked = holder->target;
        const std::uint64_t since = asked_since(*holder);
        const base::duration wait = follows ? m_settings.wait : m_settings.short_wait;
        const auto answer = co_await m_source.state_changes_of(std::move(asked), since, wait);
        if (!answer) {
            co_return false;
        }
        if (holder->wanted) {
            take(*holder, since, *answer, follows);
        }
        co_return true;
    }

    void take(followed_holder& holder, std::uint64_t since, const state_changes& answer,
              bool follows_it) {
        const bool restarted = answer.epoch != holder.epoch;
        if (restarted) {
            begin_epoch(holder, answer.epoch);
        }
        holder.news_at = m_scheduler.now();
        if (answer.next < holder.position && !answer.gap) {
            return;  // Others told more meanwhile; what is missing is asked for again.
        }
        holder.missed_from.reset();
        const std::uint64_t from = restarted || answer.gap ? 0 : since;
        for (peer::holder_changes& batch : batches(holder, from, answer)) {
            log_changes(holder, batch);
            apply(holder, batch);
            if (follows_it && is_news(holder, batch)) {
                holder.told_at = holder.news_at;
                m_sharing.tell(std::move(batch));
            }
        }
    }

    /// What `scripts/explain-reads` needs: what the holder keeps, as it tells it.
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

    /// Where nothing changed, peers are told now and then that it is so.
    bool is_news(const followed_holder& holder, const peer::holder_changes& batch) const {
        return !batch.parts.empty() || holder.news_at - holder.told_at > news_lifetime() / 3;
    }

    std::vector<peer::holder_changes> batches(const followed_holder& holder, std::uint64_t from,
                                              const state_changes& answer) const {
        std::vector<peer::holder_changes> all;
        peer::holder_changes batch{holder.target.name, answer.epoch, from, from, {}};
        for (const state_change& one : last_of_each(answer.changes, from)) {
            if (batch.parts.size() >= m_settings.told_parts) {
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

    /// Of several changes of a part only the last one matters; and to those who know of nothing
    /// yet, only what is there.
    static std::vector<state_change> last_of_each(const std::vector<state_change>& changes,
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

    void apply(followed_holder& holder, const peer::holder_changes& told) {
        const base::monotonic_time now = m_scheduler.now();
        for (const core::prefix::scoped_part& part : told.parts) {
            m_warm.told(part.key, holder.target.name, part.tokens, now);
        }
        holder.position = std::max(holder.position, told.next);
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
    std::vector<holder_pointer> m_in_turn;   ///< The same, to be looked at; some have ended.
    std::size_t m_turn = 0;                  ///< Whose turn is next.
    base::monotonic_time m_catch_up_from{};  ///< The next holder that another router follows.
    bool m_looking = false;
};

}  // namespace ferryroad::relay
