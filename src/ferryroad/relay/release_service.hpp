/// @file
/// Carries releases between routers, the table and operators: reports of what this router saw, and
/// the coordinator's part where this router has it. Silent where no pool has an order under way.
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
#include "ferryroad/relay/naming_journal.hpp"
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
    base::duration tick = std::chrono::milliseconds(100);
    /// Between two reports of a router, and at least so much for each router: the coordinator
    /// gets no more than 500 reports a second, and a grant of 2 s outlasts the loss of one report
    /// at 370 routers (a report each 0.74 s).
    base::duration report_pace = std::chrono::milliseconds(250);
    base::duration report_pace_per_router = std::chrono::milliseconds(2);
    /// Between two judgements, as the judge reckons with (`judge_tunables::turns`).
    base::duration look_pace = std::chrono::milliseconds(300);
    /// A coordinator that nobody has reported to for so long has been followed by another.
    base::duration leads_for = std::chrono::seconds(5);
};

/// Tells operators of an order's state. @return whether that was done.
using status_teller =
    std::function<runtime::task<platform::result<void>>(coordination::release::tell_status)>;

/// What it stands on; everything outlives it.
struct release_ports {
    runtime::scheduler& scheduler;
    peer::transport& transport;
    engine_registry& registry;
    platform::table& table;
    const owner_clock& clock;  ///< The table's.
    status_teller tell_status;
};

struct release_counters {
    std::uint64_t reports_sent = 0;
    std::uint64_t reports_unanswered = 0;
    std::uint64_t reports_taken = 0;
    std::uint64_t malformed = 0;
    std::uint64_t table_calls = 0;  ///< To the table and to tell operators.

    friend bool operator==(const release_counters&, const release_counters&) = default;
};

/// Used from the event loop's thread; kept until the loop has ended.
class release_service {
  public:
    release_service(release_ports ports, base::router_name self, release_settings settings = {});

    /// Called once.
    void start();
    void stop() { m_stopped = true; }
    void change_settings(const release_settings& settings);

    /// The routers that are present, this one among them or not.
    void set_routers(const std::vector<peer_address>& present);
    void order(const coordination::release::release_order& given) { m_traffic.order(given); }
    /// All orders given before `as_of` have been handed in.
    void confirmed(base::monotonic_time as_of) { m_traffic.confirmed(as_of); }
    void engines_changed() { m_traffic.engines_changed(m_ports.scheduler.now()); }
    /// Takes a datagram that is a report or a notice, or says so.
    void take(const base::endpoint& from, std::string_view bytes);

    canary_traffic& traffic() { return m_traffic; }
    const canary_traffic& traffic() const { return m_traffic; }
    const release_counters& counters() const { return m_counters; }
    /// @return pools that this router coordinates a release of.
    std::size_t led() const { return m_led.size(); }

  private:
    /// This router's reports about one pool.
    struct reporting {
        std::optional<base::monotonic_time> sent_at;
        std::uint64_t number = 0;                  ///< Of the report sent then.
        std::optional<base::router_name> awaited;  ///< Was told last and hasn't answered.
        base::monotonic_time looked_at{};
        bool saw_bad = false;
    };
    /// A release that this router coordinates.
    struct led_release {
        coordination::release::release_coordinator coordinator;
        gathered_reports evidence;
        core::canary::canary_trial trial;
        base::monotonic_time reported_at{};
        base::monotonic_time looked_at{};
    };

    runtime::task<void> run();
    void step();

    // ---- As any router ----

    /// @return pools whose order may still need something: until a coordinator says that the end
    /// is recorded and told, any of its routers may have to take its place.
    std::vector<base::pool_name> open_pools() const;
    void report(const base::pool_name& pool, reporting& state, base::monotonic_time now);
    std::vector<peer::release_report> reports_of(const own_release& own,
                                                 const reporting& state) const;
    void note_unanswered(const base::pool_name& pool, reporting& state, base::monotonic_time now);
    void take_notice(const peer::release_notice& notice);
    /// @return since when what is told holds; nothing where it is a trial that answers no report
    /// of late. A notice may have waited while this process stood still, and a trial is a grant
    /// that ends: it counts from the report that it answers.
    std::optional<base::monotonic_time> told_at(const peer::release_notice& notice) const;
    base::duration pace() const;

    // ---- As coordinator ----

    /// @return what to answer; nothing where this router doesn't know the order.
    std::optional<peer::release_notice> take_report(const peer::release_report& report);
    led_release& lead(const coordination::release::release_order& order);
    void look(const base::pool_name& pool, led_release& one, base::monotonic_time now);
    void tick(const base::pool_name& pool);
    coordination::release::coordinator_view view_of(const base::pool_name& pool,
                                                    const led_release& one,
                                                    base::monotonic_time now) const;
    /// @return the coordinator that an answer is for, where there still is one.
    led_release* find_led(const base::pool_name& pool, coordination::release::order_number order);
    void carry_out(const coordination::release::release_order& order,
                   const coordination::release::coordinator_action& wanted);
    void tell_all(const coordination::release::phase_notice& told);
    runtime::task<void> read(coordination::release::release_order order);
    runtime::task<void> write(coordination::release::release_order order,
                              coordination::release::write_record wanted);
    runtime::task<void> tell(coordination::release::release_order order,
                             coordination::release::tell_status wanted);

    release_ports m_ports;
    base::router_name m_self;
    base::incarnation m_incarnation;
    release_settings m_settings;
    canary_traffic m_traffic;
    coordination::quota::quota_homes m_homes;
    std::map<base::router_name, base::endpoint> m_addresses;
    std::map<base::pool_name, reporting> m_reporting;
    /// Orders that are known to have ended altogether.
    std::map<base::pool_name, coordination::release::order_number> m_done;
    std::map<base::pool_name, led_release> m_led;
    release_counters m_counters;
    /// Until the first list of routers: one that takes itself for the only one would judge alone.
    bool m_knows_routers = false;
    bool m_stopped = false;
};

}  // namespace ferryroad::relay
