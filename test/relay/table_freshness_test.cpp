/// Guards against a stale engine list on a router that can reach the store itself.
///
/// When the two routers that read the store for all others lose contact with it, the other routers
/// search for a fresher copy among routers that are equally far behind, one each half second. If
/// answers on another table, which is current everywhere, reset what is known about the age of the
/// copies of the engine list, a router changes its source again and again (eleven times in four
/// seconds, while the age rises from 2,323 to 3,618 ms) and never reads the store. Engines then get
/// requests 2.4 s after announcing that they leave.
#include "bench/simulation/virtual_scheduler.hpp"
#include "ferryroad/relay/shared_feed.hpp"
#include "ferryroad/relay/tunables.hpp"

#include <criterion/criterion.h>

#include <cstdint>
#include <string>
#include <vector>

using namespace ferryroad;
using namespace ferryroad::relay;
using namespace std::chrono_literals;
using bench::simulation::virtual_scheduler;
using bench::simulation::virtual_time;

namespace {

const std::string declarations = "declarations";
const std::string engines = "engines";
constexpr std::uint64_t known_version = 7;
/// Default maximum age of a copy, plus one call.
constexpr base::duration oldest_allowed = 2000ms + 700ms;

/// An owner that always answers this router, and holds calls for changes that never come.
struct reachable_owner {
    using answer = runtime::result<record_batch, feed_fault>;
    runtime::scheduler& scheduler;
    int engine_calls = 0;

    runtime::task<answer> read_all(std::string table, base::duration) { return read(table, {}); }
    runtime::task<answer> read_changes(std::string table, std::uint64_t, base::duration wait,
                                       base::duration) {
        return read(table, wait);
    }
    runtime::task<answer> read(std::string table, base::duration wait) {
        engine_calls += table == engines ? 1 : 0;
        co_await scheduler.sleep_for(wait + 5ms);
        record_batch batch;
        batch.version = known_version;
        co_return batch;
    }
};

/// Transport to all other routers. Their declarations are as old as those of a router whose calls
/// to the owner take 750 ms each; their engine lists are not updated after `engines_read_until`.
class stale_routers final : public peer::transport {
  public:
    explicit stale_routers(runtime::scheduler& scheduler) : m_scheduler(scheduler) {}
    void on_datagram(datagram_handler) override {}
    void on_call(call_handler) override {}
    void send(const base::endpoint&, peer::message_bytes) override {}
    runtime::task<peer::result<peer::message_bytes>> call(const base::endpoint&,
                                                          peer::message_bytes request,
                                                          base::duration limit) override {
        return time_out_calls ? time_out(limit) : answer(std::move(request));
    }
    const peer::transport_counters& counters() const override { return m_counters; }

    base::monotonic_time engines_read_until = base::monotonic_time::max();
    bool time_out_calls = false;

  private:
    runtime::task<peer::result<peer::message_bytes>> time_out(base::duration limit) {
        co_await m_scheduler.sleep_for(limit);
        co_return peer::error{peer::error_code::timed_out, "no answer in time"};
    }
    runtime::task<peer::result<peer::message_bytes>> answer(peer::message_bytes bytes) {
        const base::monotonic_time received_at = m_scheduler.now();
        const auto request = peer::decode_table_request(bytes);
        co_await m_scheduler.sleep_for(request->hold + 2ms);
        const base::monotonic_time now = m_scheduler.now();
        const base::monotonic_time read_at = request->table == engines
                                                 ? std::min(now - 300ms, engines_read_until)
                                                 : now - now.time_since_epoch() % 750ms - 750ms;
        peer::table_answer told;
        told.known = true;
        told.whole = request->whole;
        told.version = known_version;
        told.confirmed_after = std::chrono::floor<std::chrono::microseconds>(read_at - received_at);
        co_return peer::encode(told);
    }

    runtime::scheduler& m_scheduler;
    peer::transport_counters m_counters;
};

std::vector<peer_address> eight_routers() {
    std::vector<peer_address> all;
    for (std::uint16_t port = 1; port <= 8; ++port) {
        all.push_back({base::router_name("r" + std::to_string(port)),
                       base::zone_name("z" + std::to_string(port % 4)),
                       {"10.0.0.1", port}});
    }
    return all;
}

/// One of eight routers, which follows both tables.
struct router {
    explicit router(std::uint64_t seed, const peer_address& self)
        : time(seed),
          scheduler(time, seed),
          others(scheduler),
          owner{scheduler},
          feed(scheduler, owner, others, self),
          followed_declarations(scheduler, feed, declaration_follower_settings(declarations),
                                {[](const auto&) {}, [](const auto&) {}, [](const auto&) {}}),
          followed_engines(scheduler, feed, engine_list_follower_settings(engines, {}),
                           {[](const auto&) {}, [](const auto&) {},
                            [this](const confirmation& told) {
                                engines_as_of = std::max(engines_as_of, told.as_of);
                            }}) {
        scheduler.run([this] {
            feed.set_routers(eight_routers());
            followed_declarations.start();
            followed_engines.start();
        });
    }
    ~router() { scheduler.kill(); }

    /// @return the maximum age of the engine list within the next `period`.
    base::duration max_engines_age_for(base::duration period) {
        base::duration oldest{};
        const base::monotonic_time end = time.now() + period;
        while (time.now() < end) {
            time.run_until(time.now() + 10ms);
            oldest = std::max(oldest, scheduler.now() - engines_as_of);
        }
        return oldest;
    }

    virtual_time time;
    virtual_scheduler scheduler;
    stale_routers others;
    reachable_owner owner;
    shared_feed<reachable_owner> feed;
    table_follower<shared_feed<reachable_owner>> followed_declarations;
    table_follower<shared_feed<reachable_owner>> followed_engines;
    base::monotonic_time engines_as_of{};
};

}  // namespace

Test(table_freshness, stays_current_through_the_owner_while_all_routers_are_stale) {
    std::uint64_t seed = 1;
    for (const peer_address& self : eight_routers()) {
        router one(seed++, self);
        one.time.run_until(one.time.now() + 5s);
        one.others.engines_read_until = one.scheduler.now();
        const base::duration oldest = one.max_engines_age_for(20s);
        cr_expect_leq(base::to_milliseconds(oldest), base::to_milliseconds(oldest_allowed), "%s",
                      self.name.value.c_str());
    }
}

Test(table_freshness, engine_list_age_stays_within_the_bound_for_leaving_engines) {
    constexpr base::duration bound = 2000ms;
    // Time to select an engine and for the request to reach it.
    constexpr base::duration to_send = 200ms;
    std::uint64_t seed = 1;
    for (const bool silent : {false, true}) {
        for (const peer_address& self : eight_routers()) {
            router one(seed++, self);
            one.feed.set_requirements(engines, engine_list_terms(bound));
            one.time.run_until(one.time.now() + 5s);
            one.others.engines_read_until = one.scheduler.now();
            one.others.time_out_calls = silent;
            const base::duration oldest = one.max_engines_age_for(20s);
            cr_expect_leq(base::to_milliseconds(oldest), base::to_milliseconds(bound - to_send),
                          "%s, %s", self.name.value.c_str(), silent ? "silent" : "stale");
        }
    }
}

Test(table_freshness, reads_the_owner_no_faster_than_its_pace) {
    router one(1, eight_routers().front());
    one.feed.set_requirements(engines, engine_list_terms(2s));
    one.time.run_until(one.time.now() + 5s);
    one.others.time_out_calls = true;
    one.time.run_until(one.time.now() + 5s);
    const int before = one.owner.engine_calls;
    one.time.run_until(one.time.now() + 10s);
    cr_assert_leq(one.owner.engine_calls - before, 10s / engine_list_pace + 1);
}

Test(table_freshness, idle_tables_cost_few_calls) {
    router one(1, eight_routers().front());
    one.feed.set_requirements(declarations, declaration_terms(2s));
    one.feed.set_requirements(engines, engine_list_terms(2s));
    one.time.run_until(one.time.now() + 10s);
    const std::uint64_t before = one.feed.peer_calls() + one.feed.owner_calls();
    one.time.run_until(one.time.now() + 10s);
    const std::uint64_t calls = one.feed.peer_calls() + one.feed.owner_calls() - before;
    cr_assert_leq(calls, 10 * 8, "%lu", static_cast<unsigned long>(calls));
}
