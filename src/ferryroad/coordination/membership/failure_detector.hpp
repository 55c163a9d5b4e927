/// @file
/// Failure detector and gossip after SWIM (Das, Gupta, Motivala 2002) with suspicion and
/// refutation. Every member finds out which others are live; the load on each member does not grow
/// with the size of the group.
///
/// Pure: events and the current time go in, actions come out. The embedder calls `on_tick` at
/// `next_tick`, passes in received messages, and carries out the actions in order.
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

/// Answer to return to the joining member, and the actions to carry out.
struct join_outcome {
    join_answer answer;
    actions todo;
};

/// Failure detector of one member. Not thread-safe.
class failure_detector {
  public:
    /// @param self this member; its incarnation must be higher than that of any earlier process
    /// with the same name (a start time in milliseconds is sufficient).
    /// @param seeds addresses of members to join through; may include this member.
    /// @param random must outlive the detector.
    failure_detector(detector_settings settings, member_update self,
                     std::vector<base::endpoint> seeds, base::random_source& random,
                     base::monotonic_time now);
    failure_detector(const failure_detector&) = delete;
    failure_detector& operator=(const failure_detector&) = delete;

    /// @return when to call `on_tick`. A late call is taken for a pause of this process.
    base::monotonic_time next_tick() const;
    actions on_tick(base::monotonic_time now);
    /// @param from address of the sender, used while the sender isn't known.
    actions on_datagram(const datagram& message, const base::endpoint& from,
                        base::monotonic_time now);
    join_outcome on_join_request(const join_request& message, base::monotonic_time now);
    actions on_join_answer(const join_answer& message, base::monotonic_time now);

    /// Replaces the seeds to join through.
    void set_seeds(std::vector<base::endpoint> seeds);
    /// Sets the revision that this member uses. Every datagram carries it; a higher one is gossiped
    /// at once.
    void set_revision(std::uint64_t revision);
    /// Gossips a notice to all members. A notice that is already known is ignored.
    void spread(const notice& message, base::monotonic_time now);
    /// Makes `name` the next member to probe, because of evidence from outside such as a failed
    /// call.
    void probe_soon(const base::router_name& name);
    /// Announces a planned stop: other members give this member no new role. It continues to
    /// answer.
    void leave();
    /// Completes a planned stop: tells some members directly. Later events do nothing.
    actions depart();

    const member_update& self() const { return self_; }
    const member_table& members() const { return table_; }
    /// @return digest of this member's view of the group, itself included.
    std::uint64_t digest() const { return table_.digest() ^ digest_part(self_); }
    /// @return how long a member stays suspected before it is declared dead.
    base::duration suspicion_time() const;

  private:
    enum class probe_phase { idle, direct, indirect };
    /// The probe in flight; there is at most one.
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
    void fail_probe(base::monotonic_time now);
    void gossip(base::monotonic_time now);
    void probe_dead_member(base::monotonic_time now);
    void contact_seeds(base::monotonic_time now);
    void request_member_list(base::monotonic_time now);
    void schedule_member_list(base::monotonic_time now);

    // Messages.
    void answer_probe(const datagram& message, const base::endpoint& to, base::monotonic_time now);
    void relay_ping(const ping_request& request, const base::endpoint& origin,
                    base::monotonic_time now);
    void accept_ack(std::uint64_t sequence);
    void merge(const member_update& update, base::monotonic_time now);
    /// Queues member updates that the answering member lacks.
    void queue_updates_missing_in(const join_answer& message);
    void merge_self(const member_update& update);
    /// @return the update to apply in place of `update`, or nothing if it changes nothing. A newly
    /// reported death is applied as a suspicion first.
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
    dissemination dissemination_;

    probe_state probe_;
    std::optional<base::router_name> probe_hint_;
    std::map<std::uint64_t, relay> relays_;
    std::uint64_t next_sequence_;
    base::monotonic_time next_probe_;
    base::monotonic_time next_gossip_;
    base::monotonic_time next_dead_probe_;
    base::monotonic_time next_seed_;
    base::duration list_period_;
    base::monotonic_time next_member_list_;
    bool departed_ = false;
    actions pending_;
};

}  // namespace ferryroad::coordination::membership
