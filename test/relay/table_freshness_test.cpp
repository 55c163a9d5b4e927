/// Engines that had said they were leaving still got requests 2.4 s later, from a router that the
/// store would have answered at once. The two routers that read the store for all others had been
/// cut off from it. Every router then asked around for the list of engines, one router each half
/// second, and nearly all of those were as far behind. Answers on another table, which was current
/// everywhere, made the router forget each time which copies of the list were old, and made it
/// believe that its own was not. Its log showed eleven changes of source within four seconds and an
/// age that rose from 2,323 to 3,618 ms; its own calls to the store in that time: none.
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
/// What a copy may be old by default, and one call on top of it.
constexpr base::duration oldest_allowed = 2000ms + 700ms;

/// The owner answers this router always, and holds calls for news that never come.
struct sound_owner {
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

/// All other routers: their declarations are as old as those of a router that asks the owner each
/// 750 ms and is answered at the end of that time; their lists of engines are current only until
/// `engines_read_until`.
class routers_behind final : public peer::transport {
  public:
    explicit routers_behind(runtime::scheduler& scheduler) : m_scheduler(scheduler) {}
    void on_datagram(datagram_handler) override {}
    void on_call(call_handler) override {}
    void send(const base::endpoint&, peer::message_bytes) override {}
    runtime::task<peer::result<peer::message_bytes>> call(const base::endpoint&,
                                                          peer::message_bytes request,
                                                          base::duration limit) override {
        return are_silent ? say_nothing(limit) : answer(std::move(request));
    }
    const peer::transport_counters& counters() const override { return m_counters; }

    base::monotonic_time engines_read_until = base::monotonic_time::max();
    bool are_silent = false;

  private:
    runtime::task<peer::result<peer::message_bytes>> say_nothing(base::duration limit) {
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

/// One router of eight, which follows both tables.
struct router {
    explicit router(std::uint64_t seed, const peer_address& self)
        : time(seed),
          scheduler(time, seed),
          others(scheduler),
          owner{scheduler},
          feed(scheduler, owner, others, self),
          followed_declarations(scheduler, feed, follow_declarations(declarations),
                                {[](const auto&) {}, [](const auto&) {}, [](const auto&) {}}),
          followed_engines(scheduler, feed, follow_engines(engines, {}),
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

    /// @return the greatest age that the list of engines has within the next `period`.
    base::duration oldest_engines_for(base::duration period) {
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
    routers_behind others;
    sound_owner owner;
    shared_feed<sound_owner> feed;
    table_follower<shared_feed<sound_owner>> followed_declarations;
    table_follower<shared_feed<sound_owner>> followed_engines;
    base::monotonic_time engines_as_of{};
};

}  // namespace

Test(table_freshness, a_router_that_the_owner_answers_stays_current_while_all_others_are_behind) {
    std::uint64_t seed = 1;
    for (const peer_address& self : eight_routers()) {
        router one(seed++, self);
        one.time.run_until(one.time.now() + 5s);
        one.others.engines_read_until = one.scheduler.now();
        const base::duration oldest = one.oldest_engines_for(20s);
        cr_expect_leq(base::to_milliseconds(oldest), base::to_milliseconds(oldest_allowed), "%s",
                      self.name.value.c_str());
    }
}

Test(table_freshness, the_list_of_engines_keeps_to_the_bound_for_engines_that_leave) {
    constexpr base::duration bound = 2000ms;
    // To choose an engine, and for the request to get there.
    constexpr base::duration to_send = 200ms;
    std::uint64_t seed = 1;
    for (const bool silent : {false, true}) {
        for (const peer_address& self : eight_routers()) {
            router one(seed++, self);
            one.feed.expect(engines, engine_list_terms(bound));
            one.time.run_until(one.time.now() + 5s);
            one.others.engines_read_until = one.scheduler.now();
            one.others.are_silent = silent;
            const base::duration oldest = one.oldest_engines_for(20s);
            cr_expect_leq(base::to_milliseconds(oldest), base::to_milliseconds(bound - to_send),
                          "%s, %s", self.name.value.c_str(), silent ? "silent" : "behind");
        }
    }
}

Test(table_freshness, the_owner_is_read_no_faster_than_its_pace) {
    router one(1, eight_routers().front());
    one.feed.expect(engines, engine_list_terms(2s));
    one.time.run_until(one.time.now() + 5s);
    one.others.are_silent = true;
    one.time.run_until(one.time.now() + 5s);
    const int before = one.owner.engine_calls;
    one.time.run_until(one.time.now() + 10s);
    cr_assert_leq(one.owner.engine_calls - before, 10s / engine_list_pace + 1);
}

Test(table_freshness, a_copy_that_ages_while_nothing_changes_costs_few_calls) {
    router one(1, eight_routers().front());
    one.feed.expect(declarations, declaration_terms(2s));
    one.feed.expect(engines, engine_list_terms(2s));
    one.time.run_until(one.time.now() + 10s);
    const std::uint64_t before = one.feed.peer_calls() + one.feed.owner_calls();
    one.time.run_until(one.time.now() + 10s);
    const std::uint64_t calls = one.feed.peer_calls() + one.feed.owner_calls() - before;
    cr_assert_leq(calls, 10 * 8, "%lu", static_cast<unsigned long>(calls));
}
