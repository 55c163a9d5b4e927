/// @file
/// Failure detector and gossip after SWIM (Das, Gupta, Motivala 2002) with suspicion and
/// refutation: every member finds out which others are live, at a load a member that does not
/// grow with their number.
///
/// Pure: events go in with the time, actions come out. The embedder calls `on_tick` at
/// `next_tick`, feeds what arrives, and carries out the actions in order.
#pragma once

#include "ferryroad/base/random.hpp"
#include "ferryroad/base/time.hpp"
#include "ferryroad/coordination/membership/actions.hpp"
#include "ferryroad/coordination/membership/dissemination.hpp"
#include "ferryroad/coordination/membership/member_table.hpp"
#include "ferryroad/coordination/membership/messages.hpp"
#include "ferryroad/coordination/membership/settings.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace ferryroad::coordination::membership {

/// An answer for the embedder to return, with what else is to be done.
struct join_outcome {
    join_answer answer;
    actions todo;
};

/// One member's side. Not thread-safe.
class failure_detector {
  public:
    /// @param self this member; its incarnation must be higher than that of any earlier process
    /// of the same name (a start time in milliseconds will do).
    /// @param seeds where to join; may name this member too.
    /// @param random outlives the detector.
    failure_detector(detector_settings settings, member_update self,
                     std::vector<base::endpoint> seeds, base::random_source& random,
                     base::monotonic_time now);
    failure_detector(const failure_detector&) = delete;
    failure_detector& operator=(const failure_detector&) = delete;

    /// @return when `on_tick` is to be called. Being late is taken for a pause of this process.
    base::monotonic_time next_tick() const;
    actions on_tick(base::monotonic_time now);
    /// @param from the address it came from, used where the sender isn't known yet.
    actions on_datagram(const datagram& message, const base::endpoint& from,
                        base::monotonic_time now);
    join_outcome on_join_request(const join_request& message, base::monotonic_time now);
    actions on_join_answer(const join_answer& message, base::monotonic_time now);

    /// The seeds to join through from now on.
    void set_seeds(std::vector<base::endpoint> seeds);
    /// The revision in force here, carried by every datagram; a higher one is spread at once.
    void set_revision(std::uint64_t revision);
    /// Spreads a notice. One that is not news is ignored.
    void spread(const notice& message, base::monotonic_time now);
    /// Evidence from elsewhere, such as a failed call: `name` is probed next.
    void probe_soon(const base::router_name& name);
    /// Planned stop: others are told to give this member no new role. Goes on answering.
    void leave();
    /// The end of a planned stop: tells some members directly. Later events do nothing.
    actions depart();

    const member_update& self() const { return self_; }
    const member_table& members() const { return table_; }
    std::uint64_t digest() const { return table_.digest() ^ digest_part(self_); }
    /// @return how long a member may stay suspected before it is declared dead.
    base::duration suspicion_time() const;

  private:
    enum class probe_phase { idle, direct, indirect };
    /// The one probe at work.
    struct probe_state {
        probe_phase phase = probe_phase::idle;
        base::router_name target;
        std::uint64_t sequence = 0;
        base::monotonic_time deadline;
    };
    /// A ping sent on behalf of another member.
    struct relay {
        base::endpoint origin;
        std::uint64_t origin_sequence = 0;
        base::monotonic_time deadline;
    };

    // Ticks.
    void resume_after_pause(base::duration pause, base::monotonic_time now);
    void expire_suspicions(base::monotonic_time now);
    void advance_probe(base::monotonic_time now);
    void start_probe(base::monotonic_time now);
    void ask_others_to_probe(base::monotonic_time now);
    void judge_probe(base::monotonic_time now);
    void gossip(base::monotonic_time now);
    void probe_dead_member(base::monotonic_time now);
    void try_seeds(base::monotonic_time now);
    void ask_for_list(base::monotonic_time now);
    void schedule_list(base::monotonic_time now);

    // Messages.
    void answer_probe(const datagram& message, const base::endpoint& to, base::monotonic_time now);
    void relay_ping(const ping_request& request, const base::endpoint& origin,
                    base::monotonic_time now);
    void accept_ack(std::uint64_t sequence);
    void merge(const member_update& update, base::monotonic_time now);
    /// Makes news of what this member knows and the one that answered does not.
    void spread_what_lacks(const join_answer& message);
    void merge_self(const member_update& update);
    /// @return what `update` may do here: a death that is news is first a suspicion.
    std::optional<member_update> admissible(const member_update& update,
                                            base::monotonic_time now) const;
    void apply(const member_update& update, base::monotonic_time now);
    void announce_self();

    // Sending.
    void send(const base::endpoint& to, const member_record* receiver, probe content);
    actions take_actions();

    detector_settings settings_;
    member_update self_;
    std::vector<base::endpoint> seeds_;
    base::random_source& random_;
    member_table table_;
    dissemination news_;

    probe_state probe_;
    std::optional<base::router_name> probe_hint_;
    std::map<std::uint64_t, relay> relays_;
    std::uint64_t next_sequence_;
    base::monotonic_time next_probe_;
    base::monotonic_time next_gossip_;
    base::monotonic_time next_dead_probe_;
    base::monotonic_time next_seed_;
    base::duration list_period_;
    base::monotonic_time next_list_;
    bool departed_ = false;
    actions pending_;
};

}  // namespace ferryroad::coordination::membership
