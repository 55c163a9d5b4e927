/// @file
/// Connects the release state machines with the other routers, the table and the operators: reports
/// this router's counts to a release's coordinator, and runs the coordinator where that is this
/// router. Sends nothing while no pool has a release order in progress.
#pragma once

#include "ferryroad/base/ids.hpp"
#include "ferryroad/base/time.hpp"
#include "ferryroad/coordination/quota/quota_homes.hpp"
#include "ferryroad/coordination/release/release_coordinator.hpp"
#include "ferryroad/core/canary/canary_trial.hpp"
#include "ferryroad/peer/release_message.hpp"
#include "ferryroad/peer/transport.hpp"
#include "ferryroad/platform/services.hpp"
#include "ferryroad/relay/canary_traffic.hpp"
#include "ferryroad/relay/engine_registry.hpp"
#include "ferryroad/relay/gathered_reports.hpp"
#include "ferryroad/relay/naming_record_sync.hpp"
#include "ferryroad/relay/peer_group.hpp"
#include "ferryroad/runtime/scheduler.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string_view>
#include <utility>
#include <vector>

namespace ferryroad::relay {

struct release_settings {
    canary_settings canary;
    coordination::release::coordinator_tunables coordinator;
    base::duration tick_interval = std::chrono::milliseconds(100);
    /// Interval between two reports of a router. It is at least `report_interval_per_router` times
    /// the number of routers, so that the coordinator gets at most 500 reports per second. With 370
    /// routers, which then report every 0.74 s, a grant of 2 s outlasts the loss of one report.
    base::duration report_interval = std::chrono::milliseconds(250);
    base::duration report_interval_per_router = std::chrono::milliseconds(2);
    /// Interval between two evaluations of the counts; `judge_tunables::turns` relies on it.
    base::duration evaluation_interval = std::chrono::milliseconds(300);
    /// A coordinator that has got no report for this long has been replaced by another router.
    base::duration coordinator_timeout = std::chrono::seconds(5);
};

/// Publishes the state of an order to operators. @return whether that succeeded.
using status_publisher =
    std::function<runtime::task<platform::result<void>>(coordination::release::tell_status)>;

/// Collaborators of `release_service`; all of them must outlive it.
struct release_ports {
    runtime::scheduler& scheduler;
    peer::transport& transport;
    engine_registry& registry;
    platform::table& table;
    const owner_clock& clock;  ///< Maps to the clock of the table's owner.
    status_publisher publish_status;
};

struct release_counters {
    std::uint64_t reports_sent = 0;
    std::uint64_t reports_unanswered = 0;
    std::uint64_t reports_received = 0;
    std::uint64_t malformed = 0;
    std::uint64_t table_calls = 0;  ///< To the table, and to publish the state to operators.

    friend bool operator==(const release_counters&, const release_counters&) = default;
};

/// Not thread-safe: to be used from the event loop's thread. Must live until the loop has ended.
class release_service {
  public:
    release_service(release_ports ports, base::router_name self, release_settings settings = {});

    /// Starts the periodic work. To be called once.
    void start();
    /// Ends the periodic work: no further reports and no further decisions.
    void stop() { m_stopped = true; }
    void change_settings(const release_settings& settings);

    /// Sets the routers that are present. This router may be among them.
    void set_routers(const std::vector<peer_address>& present);
    /// Takes an order that was read from the table.
    void order(const coordination::release::release_order& given) { m_traffic.order(given); }
    /// States that all orders given before `as_of` have been passed to `order`.
    void confirmed(base::monotonic_time as_of) { m_traffic.confirmed(as_of); }
    /// To be called when the list of engines has changed.
    void engines_changed() { m_traffic.engines_changed(m_ports.scheduler.now()); }
    /// Handles a datagram whose header identifies it as a release report or notice; counts it where
    /// it is malformed.
    void handle_datagram(const base::endpoint& from, std::string_view bytes);

    canary_traffic& traffic() { return m_traffic; }
    const canary_traffic& traffic() const { return m_traffic; }
    const release_counters& counters() const { return m_counters; }
    /// @return the number of pools whose release this router coordinates.
    std::size_t coordinated_count() const { return m_coordinated.size(); }

  private:
    /// State of this router's reports about one pool.
    struct report_state {
        std::optional<base::monotonic_time> sent_at;
        std::uint64_t number = 0;  ///< Number of the report that was sent at `sent_at`.
        /// The router that got the last report, until it answers.
        std::optional<base::router_name> awaiting;
        base::monotonic_time evaluated_at{};
        bool saw_bad = false;
    };
    /// A release that this router coordinates, with the evidence for its verdict.
    struct coordinated_release {
        coordination::release::release_coordinator coordinator;
        gathered_reports evidence;
        core::canary::canary_trial trial;
        base::monotonic_time reported_at{};
        base::monotonic_time evaluated_at{};
    };

    runtime::task<void> run();
    void step();

    // ---- As any router ----

    /// @return the pools with an order that is not known to be finished. Until a coordinator states
    /// that the end is recorded and published, each router may have to replace the coordinator.
    std::vector<base::pool_name> open_pools() const;
    void send_report(const base::pool_name& pool, report_state& state, base::monotonic_time now);
    std::vector<peer::release_report> reports_of(const local_release& own,
                                                 const report_state& state) const;
    void record_unanswered(const base::pool_name& pool, report_state& state,
                           base::monotonic_time now);
    void handle_notice(const peer::release_notice& notice);
    /// @return the time from which the notice counts; nothing where it states a trial and does not
    /// answer the last report. A trial is a grant that expires, and the notice may have been
    /// delayed while this process was suspended, so the grant counts from the report that the
    /// notice answers.
    std::optional<base::monotonic_time> valid_since(const peer::release_notice& notice) const;
    base::duration current_report_interval() const;

    // ---- As coordinator ----

    /// @return the answer; nothing where this router does not know the order.
    std::optional<peer::release_notice> handle_report(const peer::release_report& report);
    /// @return the coordinator's state for the order, new where there was none.
    coordinated_release& coordinate(const coordination::release::release_order& order);
    /// Evaluates the evidence if that is due, and logs a changed verdict.
    void evaluate(const base::pool_name& pool, coordinated_release& one, base::monotonic_time now);
    void tick(const base::pool_name& pool);
    coordination::release::coordinator_view view_of(const base::pool_name& pool,
                                                    const coordinated_release& one,
                                                    base::monotonic_time now) const;
    /// @return the release that the outcome of a call belongs to, or null where this router no
    /// longer coordinates it.
    coordinated_release* find_coordinated(const base::pool_name& pool,
                                          coordination::release::order_number order);
    void execute(const coordination::release::release_order& order,
                 const coordination::release::coordinator_action& requested);
    void log_decision(const coordination::release::phase_notice& decision);
    void broadcast_phase(const coordination::release::phase_notice& decision);
    runtime::task<void> read_row(coordination::release::release_order order);
    runtime::task<void> write_row(coordination::release::release_order order,
                                  coordination::release::write_record requested);
    runtime::task<void> send_status(coordination::release::release_order order,
                                    coordination::release::tell_status requested);

    release_ports m_ports;
    base::router_name m_self;
    base::incarnation m_incarnation;
    release_settings m_settings;
    canary_traffic m_traffic;
    coordination::quota::quota_homes m_coordinators;
    std::map<base::router_name, base::endpoint> m_addresses;
    std::map<base::pool_name, report_state> m_report_states;
    /// Orders that need no further reports: their end is recorded and published.
    std::map<base::pool_name, coordination::release::order_number> m_finished_orders;
    std::map<base::pool_name, coordinated_release> m_coordinated;
    release_counters m_counters;
    /// False until the first list of routers: a router that knows no others would decide alone.
    bool m_knows_routers = false;
    bool m_stopped = false;
};

}  // namespace ferryroad::relay
