/// Tests the shared index over encoded messages: round trips, message sizes and invalid answers.
#include "ferryroad/router/membership/prefix_link.hpp"

#include "bench/simulation/virtual_scheduler.hpp"
#include "ferryroad/peer/codec.hpp"
#include "ferryroad/peer/peer_dispatcher.hpp"
#include "test/router/selection/fake_exchange.hpp"

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

#include <optional>
#include <string>

namespace {

using namespace ferryroad;
using namespace ferryroad::router::selection;
using namespace std::chrono_literals;

const core::prefix::cache_namespace scope{base::tenant_name("alpha"), base::model_name("m"),
                                          base::weights_version("1"), base::adapter_name("x")};
const router_contact self{base::router_name("self"), base::incarnation(1), {"127.0.0.1", 1}};
const router_contact other{base::router_name("other"), base::incarnation(1), {"127.0.0.1", 2}};
const core::prefix::engine_process engine_a{base::engine_name("a"), base::incarnation(7)};

/// Passes each call directly to the other side's handler, or returns a fixed answer.
class direct_transport final : public peer::transport {
  public:
    direct_transport* other_side = nullptr;
    std::optional<peer::result<peer::message_bytes>> fixed_answer;
    call_handler handler;

    void on_datagram(datagram_handler) override {}
    void on_call(call_handler handle) override { handler = std::move(handle); }
    void send(const base::endpoint&, peer::message_bytes) override {}
    runtime::task<peer::result<peer::message_bytes>> call(const base::endpoint&,
                                                          peer::message_bytes request,
                                                          base::duration) override {
        counters_.call_bytes_sent += request.size();
        if (fixed_answer) {
            co_return *fixed_answer;
        }
        peer::message_bytes answered = co_await other_side->handler(std::move(request));
        counters_.call_bytes_received += answered.size();
        co_return answered;
    }
    const peer::transport_counters& counters() const override { return counters_; }

  private:
    peer::transport_counters counters_;
};

core::prefix::piece_chain chain_of(std::size_t pieces) {
    core::prefix::piece_chain chain;
    for (std::size_t piece = 0; piece < pieces; ++piece) {
        chain.emplace_back(0x123456789abcdef0U + piece);
    }
    return chain;
}

/// Exchange between this router and another one through the message codec.
struct pair_of_routers {
    bench::simulation::virtual_time time{1};
    bench::simulation::virtual_scheduler scheduler{time, 1};
    test::fake_network network{scheduler};
    test::fake_exchange unused{network, other.name};
    test::fake_live_routers routers;
    shared_prefix_knowledge knowledge{other.name, routers, unused, scheduler};
    direct_transport transport;
    direct_transport other_transport;
    peer::peer_dispatcher dispatcher{transport, self.name, self.incarnation};
    peer::peer_dispatcher other_dispatcher{other_transport, other.name, other.incarnation};
    router::membership::prefix_link exchange{dispatcher};
    router::membership::prefix_link other_exchange{other_dispatcher};

    pair_of_routers() {
        transport.other_side = &other_transport;
        other_exchange.serve(knowledge);
    }

    template <typename T>
    static runtime::task<void> finish(runtime::task<T> work, std::optional<T>& destination) {
        destination = co_await std::move(work);
    }
    template <typename T>
    T run(runtime::task<T> work) {
        std::optional<T> result;
        scheduler.spawn("test", finish(std::move(work), result));
        time.run_until(time.now() + 1ms);
        return *result;
    }

    auto report(core::prefix::prefix_change change, std::size_t pieces,
                core::prefix::evidence basis = core::prefix::evidence::dispatch) {
        const bool lost = change == core::prefix::prefix_change::events_lost;
        core::prefix::prefix_report sent{lost ? core::prefix::cache_namespace{} : scope,
                                         chain_of(pieces), engine_a, change, basis};
        return run(exchange.report(other, {sent}, 1s));
    }
    auto lookup() { return run(exchange.lookup(other, scope, chain_of(13), 1s)); }
};

struct fault_row {
    const char* description;
    peer::result<peer::message_bytes> answer;
    exchange_failure expected;
};

const fault_row fault_rows[] = {
    {"no connection", peer::error{peer::error_code::unreachable, ""},
     exchange_failure::unreachable},
    {"cut", peer::error{peer::error_code::connection_lost, ""}, exchange_failure::unreachable},
    {"silence", peer::error{peer::error_code::timed_out, ""}, exchange_failure::timed_out},
    {"noise", peer::message_bytes("noise"), exchange_failure::malformed},
    {"answer to another question",
     peer::encode(peer::call{other.name, other.incarnation, peer::quota_grant{}}),
     exchange_failure::malformed},
};
constexpr std::size_t fault_count = sizeof(fault_rows) / sizeof(fault_rows[0]);

}  // namespace

Test(prefix_link, reports_and_answers_round_trip) {
    pair_of_routers pair;
    cr_assert(pair.report(core::prefix::prefix_change::held, 2, core::prefix::evidence::answer)
                  .has_value());
    cr_assert(pair.report(core::prefix::prefix_change::held, 5).has_value());
    auto answer = pair.lookup();
    cr_assert_eq(answer->holders.size(), 1);
    cr_assert(answer->holders.front().process == engine_a);
    cr_assert_eq(answer->holders.front().pieces, 5);
    cr_assert(answer->request_rate > 0);
    cr_assert(pair.report(core::prefix::prefix_change::events_lost, 0).has_value());
    cr_assert_eq(pair.lookup()->holders.front().pieces, 2, "pieces confirmed by an answer remain");
    cr_assert(pair.report(core::prefix::prefix_change::evicted, 1).has_value());
    cr_assert(pair.lookup()->holders.empty());
}

Test(prefix_link, calls_of_other_kinds_are_not_answered) {
    pair_of_routers pair;
    const auto ask = [&pair](peer::call_body body) {
        const peer::call message{self.name, self.incarnation, std::move(body)};
        return pair.run(pair.other_transport.handler(peer::encode(message)));
    };
    cr_assert(ask(peer::quota_request{}).empty());
    cr_assert(!ask(peer::prefix_lookup{scope, {}}).empty());
}

Test(prefix_link, a_lookup_costs_a_few_hundred_bytes) {
    pair_of_routers pair;
    pair.report(core::prefix::prefix_change::held, 12);
    const auto before = pair.transport.counters();
    pair.lookup();
    cr_assert_leq(pair.transport.counters().call_bytes_sent - before.call_bytes_sent, 320);
    cr_assert_leq(pair.transport.counters().call_bytes_received - before.call_bytes_received, 200);
}

ParameterizedTestParameters(prefix_link, fault_table) {
    static std::size_t indexes[fault_count];
    for (std::size_t index = 0; index < fault_count; ++index) {
        indexes[index] = index;
    }
    return cr_make_param_array(std::size_t, indexes, fault_count);
}

ParameterizedTest(std::size_t* number, prefix_link, fault_table) {
    const fault_row& row = fault_rows[*number];
    pair_of_routers pair;
    pair.transport.fixed_answer = row.answer;
    const auto looked_up = pair.lookup();
    cr_assert(looked_up.has_error(), "%s", row.description);
    cr_assert(looked_up.error().failure == row.expected, "%s", row.description);
    const auto reported = pair.report(core::prefix::prefix_change::held, 2);
    cr_assert(reported.has_error(), "%s", row.description);
    cr_assert(reported.error().failure == row.expected, "%s", row.description);
}
