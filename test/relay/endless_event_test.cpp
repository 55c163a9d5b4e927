/// Guards against a faulty engine that sends a stream without ever ending an event: the router kept
/// up to 16 MiB of each such stream and counted none of it, so that a few of them exhausted the
/// memory of its machine.
#include "test/relay/fake_upstream.hpp"

using namespace ferryroad;
using namespace ferryroad::relay;
using namespace ferryroad::relay::test;

namespace {

constexpr std::size_t part_bytes = std::size_t{64} * 1024;
constexpr std::size_t parts = 64;

/// A relay service with a memory budget, in front of an engine whose stream has no end of an event.
struct fixture : relay_fixture {
    std::shared_ptr<runtime::memory_budget> memory;
    relay_service<fake_upstream> bounded;

    explicit fixture(std::size_t memory_bytes)
        : memory(std::make_shared<runtime::memory_budget>(limits_of(memory_bytes))),
          bounded(
              dependencies(), settings_of(),
              [this](const relay_plan&, const relay_outcome& one) { outcomes.push_back(one); }) {
        scripted_answer endless;
        endless.body = {bytes(event(1))};
        endless.body.insert(endless.body.end(), parts, bytes(std::string(part_bytes, 'x')));
        answer(std::move(endless));
        scripted_answer sound;
        sound.body = {bytes(event(2)), body_end};
        answer(std::move(sound));
    }
    relay_dependencies<fake_upstream> dependencies() {
        relay_dependencies<fake_upstream> all{loop.scheduler, upstream, registry, selection,
                                              policies,       {},       {},       &releases};
        all.memory = memory;
        return all;
    }
    static runtime::memory_limits limits_of(std::size_t bytes) {
        runtime::memory_limits limits;
        limits.total_bytes = bytes;
        limits.small_share = 0;
        return limits;
    }
    void serve_bounded() {
        loop.context.restart();
        cr_assert(loop.run([&]() -> runtime::task<void> {
            relay_call one = call("/resumable/");
            co_await bounded.handle(std::move(one), writer);
        }));
    }
};

}  // namespace

Test(endless_event, a_stream_whose_event_does_not_end_is_given_up_and_continued_elsewhere) {
    fixture router(std::size_t{64} * 1024 * 1024);
    router.serve_bounded();
    cr_assert_leq(*router.upstream.body_bytes_read, std::size_t{2} * 1024 * 1024);
    cr_assert_eq(router.writer.status, 200);
    cr_assert(router.writer.body == event(1) + event(2));
    cr_assert_eq(router.memory->counters().used_bytes, 0);
}

Test(endless_event, what_is_kept_of_an_event_counts_as_memory) {
    constexpr std::size_t budget = std::size_t{512} * 1024;
    fixture router(budget);
    router.serve_bounded();
    cr_assert_leq(*router.upstream.body_bytes_read, budget + 2 * part_bytes);
    cr_assert_gt(router.memory->counters().peak_bytes, 0);
    cr_assert_eq(router.writer.status, 200);
    cr_assert(router.writer.body == event(1) + event(2));
    cr_assert_eq(router.memory->counters().used_bytes, 0);
}
