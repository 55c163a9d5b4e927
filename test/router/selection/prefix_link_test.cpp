/// The shared index over encoded messages: what goes in comes out, what an exchange costs, and
/// what faults become.
#include "ferryroad/router/membership/prefix_link.hpp"

#include "bench/simulation/virtual_scheduler.hpp"
#include "ferryroad/peer/codec.hpp"
#include "test/router/selection/fake_exchange.hpp"

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

#include <functional>
#include <optional>
#include <string>

namespace {

using namespace ferryroad;
using namespace ferryroad::router::selection;
using namespace std::chrono_literals;
using core::prefix::evidence;
using core::prefix::prefix_change;
using peer_answer = peer::result<peer::message_bytes>;

const core::prefix::cache_namespace scope{base::tenant_name("alpha"), base::model_name("m"),
                                          base::weights_version("1"), base::adapter_name("x")};
const base::router_name self("self");
const router_contact other{base::router_name("other"), base::incarnation(1), {"127.0.0.1", 2}};
const core::prefix::engine_process engine_a{base::engine_name("a"), base::incarnation(7)};

/// Hands each call to the other side's handler, or to a fault, at once.
class direct_transport final : public peer::transport {
  public:
    direct_transport* far_side = nullptr;
    std::optional<peer_answer> fault;

    void on_datagram(datagram_handler) override {}
    void on_call(call_handler handler) override { handler_ = std::move(handler); }
    void send(const base::endpoint&, peer::message_bytes) override {}
    runtime::task<peer_answer> call(const base::endpoint&, peer::message_bytes request,
                                    base::duration) override {
        counters_.call_bytes_sent += request.size();
        if (fault) {
            co_return *fault;
        }
        peer::message_bytes answer = co_await far_side->handler_(std::move(request));
        counters_.call_bytes_received += answer.size();
        if (answer.empty()) {
            co_return peer::error{peer::error_code::connection_lost, "closed without answer"};
        }
        co_return answer;
    }
    const peer::transport_counters& counters() const override { return counters_; }

  private:
    call_handler handler_;
    peer::transport_counters counters_;
};

core::prefix::piece_chain chain_of(std::size_t pieces) {
    core::prefix::piece_chain chain;
    for (std::size_t piece = 0; piece < pieces; ++piece) {
        chain.emplace_back(0x123456789abcdef0U + piece);
    }
    return chain;
}

/// This router's link with one other that owns every root.
struct linked_pair {
    bench::simulation::virtual_time time{1};
    bench::simulation::virtual_scheduler scheduler{time, 1};
    direct_transport near;
    direct_transport far;
    peer::peer_dispatcher near_dispatcher{near, self, base::incarnation(1)};
    peer::peer_dispatcher far_dispatcher{far, other.name, other.incarnation};
    router::membership::prefix_link near_link{near_dispatcher};
    router::membership::prefix_link far_link{far_dispatcher};
    test::fake_live_routers routers;
    shared_prefix_knowledge knowledge{other.name, routers, far_link, scheduler};

    linked_pair() {
        near.far_side = &far;
        far_link.serve(knowledge);
    }

    template <typename T>
    static runtime::task<void> finish(runtime::task<T> work, std::optional<T>& into) {
        into = co_await std::move(work);
    }
    template <typename T>
    T run(runtime::task<T> work) {
        std::optional<T> result;
        scheduler.spawn("test", finish(std::move(work), result));
        time.run_until(time.now() + 1ms);
        return *result;
    }

    auto report(prefix_change change, std::size_t pieces, evidence why = evidence::dispatch) {
        const bool lost = change == prefix_change::events_lost;
        core::prefix::prefix_report told{lost ? core::prefix::cache_namespace{} : scope,
                                         chain_of(pieces), engine_a, change, why};
        return run(near_link.report(other, {told}, 1s));
    }
    auto lookup() { return run(near_link.lookup(other, scope, chain_of(13), 1s)); }
};

struct fault_row {
    const char* about;
    peer_answer answer;
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

Test(prefix_link, reports_and_answers_survive_the_wire) {
    linked_pair pair;
    cr_assert(pair.report(prefix_change::held, 2, evidence::answer).has_value());
    cr_assert(pair.report(prefix_change::held, 5).has_value());
    const auto answer = pair.lookup();
    cr_assert_eq(answer->holders.size(), 1);
    cr_assert(answer->holders.front().process == engine_a);
    cr_assert_eq(answer->holders.front().pieces, 5);
    cr_assert(answer->request_rate > 0);
    cr_assert(pair.report(prefix_change::events_lost, 0).has_value());
    cr_assert_eq(pair.lookup()->holders.front().pieces, 2, "what an answer confirmed stays");
    cr_assert(pair.report(prefix_change::evicted, 1).has_value());
    cr_assert(pair.lookup()->holders.empty());
}

Test(prefix_link, a_lookup_costs_a_few_hundred_bytes) {
    linked_pair pair;
    pair.report(prefix_change::held, 12);
    const auto before = pair.near.counters();
    pair.lookup();
    const auto& after = pair.near.counters();
    cr_assert_leq(after.call_bytes_sent - before.call_bytes_sent, 320);
    cr_assert_leq(after.call_bytes_received - before.call_bytes_received, 200);
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
    linked_pair pair;
    pair.near.fault = row.answer;
    const auto looked_up = pair.lookup();
    cr_assert(looked_up.has_error(), "%s", row.about);
    cr_assert(looked_up.error().failure == row.expected, "%s", row.about);
    const auto reported = pair.report(prefix_change::held, 2);
    cr_assert(reported.has_error(), "%s", row.about);
    cr_assert(reported.error().failure == row.expected, "%s", row.about);
}
