/// @file
/// State machine that leads one release of one pool from its order to its end. Reports of routers
/// and the record in the table come in; writes and notices to routers go out.
#pragma once

#include "ferryroad/coordination/release/types.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <variant>
#include <vector>

namespace ferryroad::coordination::release {

/// Verdict on the evidence gathered so far; determined by `core/canary` and passed in by the
/// caller.
enum class trial_verdict : std::uint8_t { undecided, good, bad };

/// Settings of `release_coordinator`.
struct coordinator_tunables {
    /// Time reserved before the deadline to write the record, notify routers, and let requests on
    /// replaced engines finish.
    base::duration switchover_time = std::chrono::milliseconds(3000);
    /// Maximum time between an order and the moment it is first seen here; orders are confirmed
    /// within a second.
    base::duration max_order_age = std::chrono::milliseconds(1000);
    /// This long before the deadline, `completed` is reported to operators even if requests still
    /// run on replaced engines.
    base::duration completion_margin = std::chrono::milliseconds(800);
    /// Reports older than this are not fresh.
    base::duration report_validity = std::chrono::milliseconds(1500);
    /// Delay before a failed call is retried.
    base::duration retry_delay = std::chrono::milliseconds(300);
    /// The record is read again this long after the last answer, until a final phase is recorded,
    /// because another coordinator may have rolled back in the meantime.
    base::duration recheck_period = std::chrono::milliseconds(1000);
    /// A trial is announced to routers for this long after the start of the last call that showed
    /// it in the record. Together with the routers' grant this must stay below `rollback_ms` (5 s
    /// on the known platforms).
    base::duration hold = std::chrono::milliseconds(2500);
    /// If the time between two events exceeds `report_validity`, this process was frozen. Reports
    /// that arrive within this time afterwards may have waited for it: they count as evidence but
    /// not as fresh.
    base::duration settle_time = std::chrono::milliseconds(200);
};

/// The part of a router's report that concerns phases; the request counts go to the judge.
struct router_report {
    base::router_name router;
    order_number order;
    std::optional<release_phase> phase;  ///< Phase that the router was last notified of.
    bool saw_bad = false;                ///< Whether the router's own counts show a bad version.
    /// Non-repeatable requests that it runs on replaced engines.
    std::uint32_t unrepeatable_at_replaced = 0;
};

/// Read the record and the version of its row.
struct read_record {};
/// Write the record on condition that the row has this version (0 if absent).
struct write_record {
    release_record record;
    std::uint64_t expected_row = 0;
};
/// Report the phase to operators.
struct tell_status {
    base::pool_name pool;
    software_version target;
    release_phase phase = release_phase::trial;  ///< `promoted` is reported as running.
};
/// Notify all routers at once, without waiting for their reports.
struct tell_routers {
    phase_notice notice;
};
using coordinator_action = std::variant<read_record, write_record, tell_status, tell_routers>;

/// External state that the coordinator sees at a tick.
struct coordinator_view {
    std::size_t routers = 1;  ///< Number of routers present, including this one.
    trial_verdict found = trial_verdict::undecided;
    /// Verdict to use when no time is left.
    trial_verdict at_deadline = trial_verdict::bad;
    std::set<software_version> listed;  ///< Versions of the pool's listed engines.
    std::size_t target_engines = 0;     ///< Engines with the target version that are not leaving.
    store_milliseconds store_now_earliest = 0;  ///< Bounds on the store's clock; 0 if not known.
    store_milliseconds store_now_latest = 0;
};

/// Leads one order of one pool. At most one call to the table is in flight at a time: `tick`
/// requests no call until the outcome of the previous one was passed in. Pure. Not thread-safe.
///
/// A roll-back needs evidence alone and is announced before it is written. A step forward needs an
/// answer of the store and fresh reports from more than half of the routers. Once decided, a
/// roll-back is abandoned only if the record shows that another coordinator has completed the
/// order.
class release_coordinator {
  public:
    explicit release_coordinator(release_order order, coordinator_tunables tunables = {});

    /// Must be called about every 100 ms and after each of the events below.
    /// @return the actions to carry out.
    std::vector<coordinator_action> tick(const coordinator_view& view, base::monotonic_time now);

    /// A router sent a report.
    void reported(const router_report& report, base::monotonic_time now);
    /// Outcome of `read_record`.
    /// @param row_version 0 if there is no record.
    void record_read(std::optional<release_record> record, std::uint64_t row_version,
                     base::monotonic_time now);
    /// Outcome of `write_record`: written, with this row version.
    void record_written(std::uint64_t row_version, base::monotonic_time now);
    /// Outcome of `tell_status`: the status was reported.
    void status_told(base::monotonic_time now);
    /// A call failed, its answer was lost, or the row had changed. The record is read again before
    /// the next step.
    void call_failed(base::monotonic_time now);

    const release_order& order() const { return m_order; }
    /// @return the notice for routers that report, as of the last event or tick; nothing if the
    /// record isn't known, belongs to a later order, or shows a trial and is too old.
    std::optional<phase_notice> notice() const;
    /// @return whether nothing is left to do: a final phase is recorded and reported to operators,
    /// or a later order has superseded this one.
    bool done() const;

  private:
    struct received_report {
        router_report report;
        base::monotonic_time at{};
    };
    enum class call : std::uint8_t { none, read, write, status };
    struct report_summary {
        std::size_t fresh = 0;  ///< Number of routers with fresh reports.
        bool majority = false;  ///< Whether these are more than half of the routers present.
        /// Whether none of these sends requests to replaced engines any more.
        bool all_switched = false;
    };

    void record_first_seen(const coordinator_view& view, base::monotonic_time now);
    void check_for_rollback(const coordinator_view& view);
    bool has_bad_evidence(const coordinator_view& view) const;
    report_summary summarize_reports(const coordinator_view& view, base::monotonic_time now) const;
    base::duration elapsed(const coordinator_view& view, base::monotonic_time now) const;
    base::duration switchover_start() const;
    base::duration completion_deadline() const;

    std::optional<coordinator_action> next_call(const coordinator_view& view,
                                                base::monotonic_time now);
    std::optional<coordinator_action> step(const coordinator_view& view, base::monotonic_time now);
    std::optional<coordinator_action> create_record(const coordinator_view& view);
    std::optional<coordinator_action> step_trial(const coordinator_view& view,
                                                 base::monotonic_time now);
    std::optional<coordinator_action> step_promoted(const coordinator_view& view,
                                                    base::monotonic_time now);
    std::optional<coordinator_action> finish();
    std::optional<coordinator_action> report_status(release_phase phase);
    std::optional<coordinator_action> write(release_record record);
    std::optional<coordinator_action> roll_back();

    bool is_ours() const { return m_record && m_record->order == m_order.number; }
    bool is_open() const { return is_ours() && !is_final(m_record->phase); }
    bool superseded() const { return m_record && m_record->order > m_order.number; }
    /// @return whether the end is recorded and is the last status reported to operators.
    bool end_is_reported() const;
    /// @return whether the target is listed and no other version that may be served is.
    bool target_is_only_version(const coordinator_view& view) const;
    void on_answer(base::monotonic_time now);
    /// Called at each event; detects whether this process was frozen.
    void record_time(base::monotonic_time now);

    release_order m_order;
    coordinator_tunables m_tunables;
    std::map<base::router_name, received_report> m_reports;

    std::optional<release_record> m_record;  ///< The record as last known from the table.
    std::uint64_t m_row_version = 0;
    /// The last known record of this order, in case the row gets lost.
    std::optional<release_record> m_last_of_order;
    release_record m_writing;
    call m_call = call::none;
    base::monotonic_time m_call_started_at{};
    base::monotonic_time m_not_before{};
    bool m_must_read = true;
    base::monotonic_time m_answered_at{};  ///< When the last answer that showed the record arrived.
    base::monotonic_time m_confirmed_at{};  ///< When the call with that answer was started.

    base::monotonic_time m_now{};
    base::monotonic_time m_settled_at{};               ///< Reports that arrive earlier may be old.
    std::optional<base::monotonic_time> m_started_at;  ///< Time of the first tick.
    /// Earliest time of the order on the store's clock.
    std::optional<store_milliseconds> m_ordered_after;
    bool m_rolling_back = false;
    /// Whether this coordinator found no record of the order and created it.
    bool m_created_here = false;
    bool m_others_listed = false;  ///< Whether it has seen versions other than the target.
    /// Phase that this coordinator last reported to operators.
    std::optional<release_phase> m_reported_status;
    bool m_may_have_reported_running = false;  ///< Then the end must be reported again afterwards.
    /// Phase that all routers were last notified of at once.
    std::optional<release_phase> m_notified_phase;
};

}  // namespace ferryroad::coordination::release
