/// The simulated network and the transport between routers on it.
#include "bench/simulation/network/network.hpp"

#include "bench/simulation/network/peer_transport.hpp"

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <vector>

using namespace std::chrono_literals;
using namespace ferryroad;
using namespace ferryroad::bench::simulation;

namespace {

const base::endpoint left_address{"10.0.0.1", 7000};
const base::endpoint right_address{"10.0.0.2", 7000};

/// Two routers that answer each call with the request's text and an exclamation mark.
struct two_routers {
    explicit two_routers(std::uint64_t seed = 3)
        : time(seed), carrier(time, {}, faults), exchange(carrier) {
        start_right();
    }

    void start_right() {
        right_scheduler = std::make_unique<virtual_scheduler>(time, 2);
        right = std::make_unique<peer_transport>(exchange, *right_scheduler, right_address);
        right->on_datagram([this](const base::endpoint&, std::string_view bytes) {
            received.emplace_back(bytes);
        });
        right->on_call([this](peer::message_bytes request) { return answer(std::move(request)); });
    }

    void kill_right() {
        right_scheduler->kill();
        right.reset();
        right_scheduler.reset();
    }

    runtime::task<peer::message_bytes> answer(peer::message_bytes request) {
        ++served;
        co_await right_scheduler->sleep_for(answer_time);
        if (request.empty()) {
            co_return peer::message_bytes();
        }
        co_return request + "!";
    }

    runtime::task<void> ask(peer::message_bytes request) {
        outcome = co_await left.call(right_address, std::move(request), 1s);
        ended_at = time.now();
    }

    void start_call(peer::message_bytes request) {
        left_scheduler.spawn("ask", ask(std::move(request)));
    }

    virtual_time time;
    fault_counts faults;
    network carrier;
    peer_exchange exchange;
    virtual_scheduler left_scheduler{time, 1};
    peer_transport left{exchange, left_scheduler, left_address};
    std::unique_ptr<virtual_scheduler> right_scheduler;
    std::unique_ptr<peer_transport> right;
    base::duration answer_time = 10ms;
    std::vector<std::string> received;
    int served = 0;
    std::optional<peer::result<peer::message_bytes>> outcome;
    base::monotonic_time ended_at{};
};

enum class call_fault { none, cut_briefly, cut_long, kill_at_work, kill_before, pause, empty };

struct call_row {
    const char* name;
    call_fault fault;
    std::optional<peer::error_code> error;
    int served;
};

const call_row call_rows[] = {
    {"answered", call_fault::none, std::nullopt, 1},
    {"cut heals in time", call_fault::cut_briefly, std::nullopt, 1},
    {"cut for longer", call_fault::cut_long, peer::error_code::timed_out, 0},
    {"killed while at work", call_fault::kill_at_work, peer::error_code::connection_lost, 1},
    {"nobody listens", call_fault::kill_before, peer::error_code::unreachable, 0},
    {"paused", call_fault::pause, peer::error_code::timed_out, 0},
    {"closed unanswered", call_fault::empty, peer::error_code::connection_lost, 1},
};
constexpr std::size_t call_row_count = sizeof(call_rows) / sizeof(call_rows[0]);

void bring_about(call_fault fault, two_routers& routers) {
    if (fault == call_fault::cut_briefly || fault == call_fault::cut_long) {
        routers.carrier.cut({left_address}, {right_address});
        routers.time.after(fault == call_fault::cut_briefly ? 300ms : 5s,
                           [&routers] { routers.carrier.heal_all(); });
    } else if (fault == call_fault::kill_at_work) {
        routers.time.after(5ms, [&routers] { routers.kill_right(); });
    } else if (fault == call_fault::kill_before) {
        routers.kill_right();
    } else if (fault == call_fault::pause) {
        routers.right_scheduler->pause();
    }
}

}  // namespace

ParameterizedTestParameters(peer_transport, calls) {
    static std::size_t indexes[call_row_count];
    for (std::size_t index = 0; index < call_row_count; ++index) {
        indexes[index] = index;
    }
    return cr_make_param_array(std::size_t, indexes, call_row_count);
}

ParameterizedTest(std::size_t* index, peer_transport, calls) {
    const call_row& row = call_rows[*index];
    two_routers routers;
    bring_about(row.fault, routers);
    routers.start_call(row.fault == call_fault::empty ? "" : "hello");
    routers.time.run_until(base::monotonic_time(4s));
    cr_assert(routers.outcome.has_value(), "%s", row.name);
    cr_assert_eq(routers.served, row.served, "%s", row.name);
    if (row.error) {
        cr_assert(routers.outcome->has_error(), "%s", row.name);
        cr_assert(routers.outcome->error().code == *row.error, "%s", row.name);
    } else {
        cr_assert(**routers.outcome == "hello!", "%s", row.name);
    }
    cr_assert(routers.ended_at <= base::monotonic_time(1s), "%s", row.name);
    cr_assert(routers.time.failures().empty(), "%s", row.name);
}

Test(peer_transport, datagrams_are_lost_doubled_and_reordered_as_set) {
    two_routers routers;
    routers.carrier.settings().loss_share = 0.2;
    routers.carrier.settings().doubled_share = 0.1;
    routers.carrier.settings().reordered_share = 0.1;
    constexpr std::uint64_t sent = 2000;
    for (std::uint64_t index = 0; index < sent; ++index) {
        routers.left.send(right_address, std::to_string(index));
        routers.time.run_until(routers.time.now() + 1ms);
    }
    routers.time.run_until(routers.time.now() + 1s);
    const std::uint64_t lost = routers.faults.of(fault_kind::datagram_lost);
    const std::uint64_t doubled = routers.faults.of(fault_kind::datagram_doubled);
    cr_assert_eq(routers.received.size(), sent - lost + doubled);
    cr_assert(lost > sent / 10 && doubled > sent / 20);
    cr_assert_gt(routers.faults.of(fault_kind::datagram_reordered), sent / 20);
}

Test(network, latency_follows_places) {
    virtual_time time(1);
    fault_counts faults;
    network carrier(time, {}, faults);
    const base::endpoint other_zone{"10.0.0.3", 1};
    const base::endpoint other_region{"10.0.0.4", 1};
    carrier.place(left_address, {base::zone_name("a"), base::region_name("r")});
    carrier.place(right_address, {base::zone_name("a"), base::region_name("r")});
    carrier.place(other_zone, {base::zone_name("b"), base::region_name("r")});
    carrier.place(other_region, {base::zone_name("a"), base::region_name("s")});
    cr_assert(carrier.latency(left_address, right_address) < 1ms);
    cr_assert(carrier.latency(left_address, other_zone) >= 1500us);
    cr_assert(carrier.latency(left_address, other_region) >= 30ms);
    carrier.slow(right_address, 1s);
    cr_assert(carrier.latency(left_address, right_address) >= 1s);
}

Test(channel, keeps_order_and_drops_what_is_closed) {
    virtual_time time(5);
    fault_counts faults;
    network carrier(time, {}, faults);
    const auto line = channel::open(carrier, left_address, right_address);
    std::vector<int> arrived;
    for (int index = 0; index < 20; ++index) {
        line->send([&arrived, index] { arrived.push_back(index); });
    }
    time.run_until(base::monotonic_time(1s));
    cr_assert_eq(arrived.size(), 20U);
    cr_assert(std::is_sorted(arrived.begin(), arrived.end()));
    line->send([&arrived] { arrived.push_back(99); });
    line->close();
    time.run_until(base::monotonic_time(2s));
    cr_assert_eq(arrived.size(), 20U);
}
