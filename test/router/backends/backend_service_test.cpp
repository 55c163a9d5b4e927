/// Tests of the service's loops in virtual time, against a fake machine list and fake engines.
#include "ferryroad/router/backends/backend_service.hpp"

#include "bench/simulation/virtual_scheduler.hpp"
#include "test/router/backends/directory_fixture.hpp"

#include <criterion/criterion.h>

#include <map>
#include <set>

using namespace ferryroad;
using namespace ferryroad::router;
using namespace ferryroad::router::backends;
using namespace ferryroad::router::backends::test;

namespace {

using engine::error_code;
using engine::proof;

engine::error unreachable() {
    return {error_code::connect_failed, proof::not_sent, "unreachable", std::nullopt};
}

struct manual_list final : platform::machine_list {
    std::vector<platform::machine> machines;
    bool outage = false;
    std::vector<base::monotonic_time> read_at;
    const base::clock& clock;

    explicit manual_list(const base::clock& process_clock) : clock(process_clock) {}
    runtime::task<platform::result<std::vector<platform::machine>>> list() override {
        read_at.push_back(clock.now());
        if (outage) {
            co_return platform::error{platform::error_code::unavailable, "outage", std::nullopt};
        }
        co_return machines;
    }
};

/// Fake engines by port. Only the calls that the service makes are implemented.
struct manual_engines final : engine::client {
    template <typename T>
    using answer = runtime::task<engine::result<T>>;
    using stream = std::unique_ptr<engine::generation_stream>;

    std::map<std::uint16_t, engine::load_report> loads;
    std::map<std::uint16_t, std::uint32_t> polls;
    std::map<base::engine_name, engine::cache_event_batch> events;  ///< Each is returned once.
    std::vector<engine::engine_target> event_reads;
    std::vector<std::uint64_t> event_reads_from;
    runtime::scheduler& scheduler;

    explicit manual_engines(runtime::scheduler& process) : scheduler(process) {}

    answer<engine::load_report> read_load(const base::endpoint& address) override {
        const std::uint16_t port = address.port;
        ++polls[port];
        if (!loads.contains(port)) {
            co_return unreachable();
        }
        co_return loads.at(port);
    }
    answer<engine::cache_event_batch> read_events(const engine::engine_target& target,
                                                  std::uint64_t from,
                                                  base::duration wait) override {
        event_reads.push_back(target);
        event_reads_from.push_back(from);
        const auto found = events.find(target.name);
        if (found != events.end()) {
            const engine::cache_event_batch batch = found->second;
            events.erase(found);
            co_return batch;
        }
        engine::cache_event_batch nothing;
        nothing.incarnation = target.incarnation;
        nothing.next_sequence = from;
        co_await scheduler.sleep_for(wait);
        co_return nothing;
    }
    answer<stream> generate(const engine::engine_target&, engine::generation_request) override {
        co_return unreachable();
    }
    answer<stream> resume(const engine::engine_target&, base::attempt_id, std::uint32_t) override {
        co_return unreachable();
    }
    answer<void> cancel(const engine::engine_target&, base::attempt_id) override {
        co_return unreachable();
    }
    answer<engine::application_answer> call_application(const engine::engine_target&,
                                                        engine::application_request) override {
        co_return unreachable();
    }
    answer<engine::import_answer> import_state(const engine::engine_target&,
                                               engine::import_request) override {
        co_return unreachable();
    }
    answer<void> order(const engine::engine_target&, base::fencing_token,
                       engine::engine_order) override {
        co_return unreachable();
    }
};

struct recorded_events final : cache_event_sink {
    std::vector<std::pair<base::engine_name, engine::cache_event_batch>> batches;
    void accept(const base::engine_name& engine, const engine::cache_event_batch& batch) override {
        batches.emplace_back(engine, batch);
    }
};

struct service_fixture {
    bench::simulation::virtual_time time{1};
    bench::simulation::virtual_scheduler scheduler{time, 1};
    manual_configuration configuration;
    manual_list machines{scheduler};
    manual_engines engines{scheduler};
    recorded_events events;
    std::set<base::engine_name> owned;
    tunables limits;
    backend_directory directory{scheduler, configuration};
    backend_service service{{scheduler, machines, engines, directory, events},
                            [this](const base::engine_name& name) { return owned.contains(name); }};

    /// Sets up live engines e1 to e`count` at ports 1 to `count`.
    explicit service_fixture(std::uint16_t count) {
        for (std::uint16_t port = 1; port <= count; ++port) {
            const std::string name = "e" + std::to_string(port);
            machines.machines.push_back(machine_of(name, port));
            engines.loads[port] = report_of(5, false, name);
        }
        scheduler.run([this] { service.start(); });
    }
    ~service_fixture() { scheduler.kill(); }

    void advance(base::duration span) { time.run_until(time.now() + span); }
    std::size_t available() { return directory.available(pool).size(); }
    std::uint32_t polls() const {
        std::uint32_t sum = 0;
        for (const auto& [port, count] : engines.polls) {
            sum += count;
        }
        return sum;
    }
};

engine::cache_event_batch batch_of(std::uint64_t process, std::uint64_t next) {
    engine::cache_event_batch batch;
    batch.incarnation = base::incarnation(process);
    batch.next_sequence = next;
    batch.events.resize(1);
    batch.events[0].sequence = next - 1;
    return batch;
}

}  // namespace

Test(backend_service, all_engines_are_polled_at_startup) {
    service_fixture fixture(20);
    fixture.advance(1ms);
    cr_assert_eq(fixture.available(), 20U);
}

Test(backend_service, polls_respect_the_rate_limit_and_skip_recently_reported_loads) {
    service_fixture fixture(200);
    fixture.advance(10s);
    cr_assert_eq(fixture.available(), 200U);
    const double max_polls =
        fixture.limits.max_polls_in_flight + 10 * fixture.limits.polls_per_second;
    cr_assert(fixture.polls() <= max_polls && fixture.polls() >= 0.9 * max_polls, "%u",
              fixture.polls());

    service_fixture small(1);
    small.advance(1ms);
    for (int round = 0; round < 50; ++round) {
        small.scheduler.run([&] { small.directory.record_load(e1, report_of(5)); });
        small.advance(100ms);
    }
    cr_assert_eq(small.polls(), 1U, "answers brought the load all along");
}

Test(backend_service, a_failure_triggers_a_poll_at_once) {
    service_fixture fixture(2);
    fixture.advance(100ms);
    fixture.engines.loads.erase(1);
    const std::uint32_t before = fixture.engines.polls[1];
    fixture.scheduler.run([&] { fixture.directory.record_failure(e1, error_code::timed_out); });
    cr_assert_eq(fixture.engines.polls[1], before + 1, "no time has passed");
    cr_assert_eq(fixture.available(), 1U, "two failures in a row");
    fixture.engines.loads[1] = report_of(6);
    fixture.advance(2 * fixture.limits.poll_backoff);
    cr_assert_eq(fixture.available(), 2U);
    cr_assert_eq(fixture.directory.find(e1)->target.incarnation.value, 6U);
}

Test(backend_service, an_unavailable_machine_list_keeps_the_engines_and_backs_off) {
    service_fixture fixture(3);
    fixture.advance(100ms);
    fixture.machines.outage = true;
    fixture.advance(60s);
    cr_assert_eq(fixture.available(), 3U);
    const std::vector<base::monotonic_time>& reads = fixture.machines.read_at;
    cr_assert(reads.size() >= 5U && reads.size() <= 15U, "%zu", reads.size());
    const base::duration last = reads[reads.size() - 1] - reads[reads.size() - 2];
    cr_assert(last >= 0.7 * fixture.limits.list_backoff_limit);
    fixture.machines.outage = false;
    fixture.machines.machines[0].state = platform::machine_state::leaving;
    fixture.advance(13s);
    cr_assert_eq(fixture.available(), 2U);
}

Test(backend_service, events_are_read_only_by_the_owner_and_resume_at_their_position) {
    service_fixture fixture(2);
    fixture.owned = {e1};
    fixture.engines.events[e1] = batch_of(5, 4);
    fixture.advance(3s);
    cr_assert_eq(fixture.events.batches.size(), 1U);
    cr_assert(fixture.events.batches[0].first == e1);
    for (const engine::engine_target& target : fixture.engines.event_reads) {
        cr_assert(target.name == e1, "only owned engines are read");
    }
    cr_assert(fixture.engines.event_reads_from == std::vector<std::uint64_t>({1, 4}));

    engine::cache_event_batch restarted = batch_of(6, 2);
    restarted.gap = true;
    fixture.engines.events[e1] = restarted;
    fixture.advance(fixture.limits.event_wait * 2);
    cr_assert_eq(fixture.events.batches.size(), 2U);
    cr_assert_eq(fixture.engines.event_reads.back().incarnation.value, 6U);
    cr_assert_eq(fixture.engines.event_reads_from.back(), 2U);

    fixture.owned.clear();
    fixture.advance(fixture.limits.event_wait * 2);
    const std::size_t reads = fixture.engines.event_reads.size();
    fixture.engines.events[e1] = batch_of(6, 3);
    fixture.advance(1min);
    cr_assert_eq(fixture.engines.event_reads.size(), reads, "no longer the owner");
    fixture.owned = {e1};
    fixture.advance(2s);
    cr_assert_eq(fixture.engines.event_reads_from[reads], 1U, "an owner anew reads all");
}

Test(backend_service, stops) {
    service_fixture fixture(1);
    fixture.advance(1s);
    fixture.scheduler.run([&] { fixture.service.stop(); });
    fixture.advance(1min);
    const std::uint32_t polls = fixture.polls();
    const std::size_t lists = fixture.machines.read_at.size();
    fixture.advance(1min);
    cr_assert_eq(fixture.polls(), polls);
    cr_assert_eq(fixture.machines.read_at.size(), lists);
    cr_assert(fixture.time.failures().empty());
}
