/// @file
/// Leads one pool's release from its order to its end, as a state machine: what routers report
/// and the record in the table come in; writes, and what routers are to be told, go out.
#pragma once

#include "ferryroad/coordination/release/types.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <variant>
#include <vector>

namespace ferryroad::coordination::release {

/// What the judge says of the evidence gathered; `core/canary` finds it, the binding hands it in.
enum class trial_verdict : std::uint8_t { undecided, good, bad };

struct coordinator_tunables {
    /// Before the deadline: for writing, telling routers and ending what runs on old engines.
    base::duration shift = std::chrono::milliseconds(3000);
    /// An order may have been given so long before its first sight here: orders are confirmed
    /// within a second.
    base::duration sight_lag = std::chrono::milliseconds(1000);
    /// Before the deadline, `completed` is told to operators whatever still runs.
    base::duration last_moment = std::chrono::milliseconds(800);
    /// Reports older than this don't count as fresh.
    base::duration fresh = std::chrono::milliseconds(1500);
    /// Between two tries of a call that failed.
    base::duration retry = std::chrono::milliseconds(300);
    /// The record is read again this long after the last answer, until a final phase is recorded:
    /// another coordinator may have gone back meanwhile.
    base::duration recheck = std::chrono::milliseconds(1000);
    /// A trial is told of for so long after the start of the last call that showed it. Together
    /// with the routers' grant it stays below `rollback_ms` (5 s on the platforms known).
    base::duration hold = std::chrono::milliseconds(2500);
    /// After a pause longer than `fresh` between its events (it was frozen), reports that come
    /// within this time may have waited for it: they are evidence, but not fresh.
    base::duration settle = std::chrono::milliseconds(200);
};

/// A router's report, as far as the phases are concerned; its counts go to the judge.
struct router_report {
    base::router_name router;
    order_number order;
    std::optional<release_phase> phase;          ///< That it was told last.
    bool saw_bad = false;                        ///< Its own counts show a bad version.
    std::uint32_t unrepeatable_at_replaced = 0;  ///< Requests it runs at replaced engines.
};

/// Read the record and its row's version.
struct read_record {};
/// Write the record, under the condition that the row has this version (0: absent).
struct write_record {
    release_record record;
    std::uint64_t expected_row = 0;
};
/// Tell operators.
struct tell_status {
    base::pool_name pool;
    software_version target;
    release_phase phase = release_phase::trial;  ///< `promoted` counts as running.
};
/// Tell all routers at once, without waiting for their reports.
struct tell_routers {
    phase_notice notice;
};
using coordinator_action = std::variant<read_record, write_record, tell_status, tell_routers>;

/// What the coordinator knows from outside at a tick.
struct coordinator_view {
    std::size_t routers = 1;  ///< Present, this one included.
    trial_verdict found = trial_verdict::undecided;
    /// What to decide when no time is left.
    trial_verdict at_deadline = trial_verdict::bad;
    std::set<software_version> listed;          ///< Versions of the pool's engines in the list.
    std::size_t target_engines = 0;             ///< Of the target version, not leaving.
    store_milliseconds store_now_earliest = 0;  ///< Bounds on the store's clock; 0: not known.
    store_milliseconds store_now_latest = 0;
};

/// Of one order of one pool. At most one call to the table is under way at a time: `tick` asks for
/// none until its outcome was handed in. Pure. Not thread-safe.
///
/// Back needs evidence alone and is told before it is written; forward needs the store's answer
/// and fresh reports of more than half of the routers. A roll-back once decided is given up only
/// where the record shows that another coordinator has completed the order.
class release_coordinator {
  public:
    explicit release_coordinator(release_order order, coordinator_tunables tunables = {});

    /// To be called every 100 ms or so, and after each event below.
    std::vector<coordinator_action> tick(const coordinator_view& view, base::monotonic_time now);

    void reported(const router_report& report, base::monotonic_time now);
    /// Outcome of `read_record`. @param row_version 0 where there is none.
    void record_read(std::optional<release_record> record, std::uint64_t row_version,
                     base::monotonic_time now);
    /// Outcome of `write_record`: done, at this version.
    void record_written(std::uint64_t row_version, base::monotonic_time now);
    /// Outcome of `tell_status`: done.
    void status_told(base::monotonic_time now);
    /// A call failed or its answer was lost, or the row had changed: read again before acting.
    void call_failed(base::monotonic_time now);

    const release_order& order() const { return m_order; }
    /// @return what routers that report are to be told, as of the last event or tick; nothing
    /// while the record isn't known, shows a later order, or shows a trial and is too old.
    std::optional<phase_notice> notice() const;
    /// @return whether nothing is left to do: a final phase is recorded and told to operators, or
    /// a later order has overtaken this one.
    bool done() const;

  private:
    struct heard_router {
        router_report report;
        base::monotonic_time at{};
    };
    enum class call : std::uint8_t { none, read, write, status };
    struct touch {
        std::size_t fresh = 0;      ///< Routers with fresh reports.
        bool most = false;          ///< More than half of those present.
        bool all_switched = false;  ///< All fresh ones send nothing more to replaced engines.
    };

    void note_first_sight(const coordinator_view& view, base::monotonic_time now);
    void weigh_back(const coordinator_view& view);
    bool sees_bad(const coordinator_view& view) const;
    touch touch_of(const coordinator_view& view, base::monotonic_time now) const;
    base::duration elapsed(const coordinator_view& view, base::monotonic_time now) const;
    base::duration shift_moment() const;
    base::duration last_moment() const;

    std::optional<coordinator_action> next_call(const coordinator_view& view,
                                                base::monotonic_time now);
    std::optional<coordinator_action> step(const coordinator_view& view, base::monotonic_time now);
    std::optional<coordinator_action> begin(const coordinator_view& view);
    std::optional<coordinator_action> step_trial(const coordinator_view& view,
                                                 base::monotonic_time now);
    std::optional<coordinator_action> step_promoted(const coordinator_view& view,
                                                    base::monotonic_time now);
    std::optional<coordinator_action> end();
    std::optional<coordinator_action> tell(release_phase phase);
    std::optional<coordinator_action> write(release_record record);
    std::optional<coordinator_action> go_back();

    bool is_ours() const { return m_record && m_record->order == m_order.number; }
    bool is_open() const { return is_ours() && !is_final(m_record->phase); }
    bool overtaken() const { return m_record && m_record->order > m_order.number; }
    /// @return whether the end is recorded and stands last in what operators were told.
    bool end_is_told() const;
    /// @return whether the target, and no other version that may be served, is listed.
    bool stands_alone(const coordinator_view& view) const;
    void answered(base::monotonic_time now);
    /// At each event: finds out whether it was frozen.
    void note_time(base::monotonic_time now);

    release_order m_order;
    coordinator_tunables m_tunables;
    std::map<base::router_name, heard_router> m_heard;

    std::optional<release_record> m_record;  ///< As it stands in the table, for all that is known.
    std::uint64_t m_row_version = 0;
    std::optional<release_record> m_ours;  ///< As last seen of this order, should the row get lost.
    release_record m_writing;
    call m_call = call::none;
    base::monotonic_time m_call_from{};
    base::monotonic_time m_not_before{};
    bool m_must_read = true;
    base::monotonic_time m_answered_at{};   ///< When the last answer came that showed the record.
    base::monotonic_time m_confirmed_at{};  ///< When its call began.

    base::monotonic_time m_now{};
    base::monotonic_time m_settled_at{};                ///< Reports that come earlier may be old.
    std::optional<base::monotonic_time> m_started_at;   ///< The first tick.
    std::optional<store_milliseconds> m_ordered_after;  ///< On the store's.
    bool m_going_back = false;
    bool m_began_here = false;              ///< This coordinator saw that there was no record yet.
    bool m_others_listed = false;           ///< It saw versions beside the target.
    std::optional<release_phase> m_status;  ///< That operators were last told of, by this one.
    bool m_may_have_told_running = false;   ///< So that the end must be told again after it.
    std::optional<release_phase> m_spread;  ///< That all routers were last told of at once.
};

}  // namespace ferryroad::coordination::release
