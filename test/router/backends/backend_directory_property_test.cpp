/// Random words in random order: an engine that said "leaving" gets no work while that process
/// lives, an older process never comes back, a drained engine stays out.
#include "test/router/backends/directory_fixture.hpp"

#include <criterion/criterion.h>
#include <rapidcheck.h>

using namespace ferryroad;
using namespace ferryroad::router;
using namespace ferryroad::router::backends;
using namespace ferryroad::router::backends::test;

namespace {

/// One engine whose true story is kept beside the directory.
class random_story {
  public:
    void step() {
        bench_.clock.time += std::chrono::milliseconds(*rc::gen::inRange(0, 900));
        switch (*rc::gen::inRange(0, 9)) {
            case 0:
                restart();
                break;
            case 1:
                leaving_ = true;
                break;
            case 2:
                bench_.list(*rc::gen::element(platform::machine_state::live,
                                              platform::machine_state::leaving));
                break;
            case 3:
                hear_leaving(base::incarnation(process_ - *rc::gen::inRange(0, 2)));
                break;
            case 4:
                bench_.directory.record_failure(
                    e1, *rc::gen::element(engine::error_code::connect_failed,
                                          engine::error_code::timed_out,
                                          engine::error_code::refused_incarnation));
                break;
            case 5:
                drained_ = !drained_;
                bench_.configuration.drain(
                    pool, drained_ ? std::vector{e1} : std::vector<base::engine_name>{});
                break;
            case 6:
                hear_report(report_of(*rc::gen::inRange<std::uint64_t>(1, process_ + 1), false));
                break;
            default:
                answer_poll();
                break;
        }
        check();
    }

  private:
    void restart() {
        ++process_;
        leaving_ = false;
    }

    void hear_leaving(base::incarnation process) {
        bench_.directory.record_leaving(e1, process);
        note_leaving(process.value);
    }

    void hear_report(const engine::load_report& load) {
        bench_.directory.record_load(e1, load);
        heard_process_ = std::max(heard_process_, load.incarnation.value);
    }

    void answer_poll() {
        bench_.poll(report_of(process_, leaving_));
        heard_process_ = process_;
        if (leaving_) {
            note_leaving(process_);
        } else if (bench_.clock.time - left_at_ >= bench_.limits.leaving_hold) {
            left_process_ = 0;  // it says itself, freshly asked, that it stays
        }
    }

    void note_leaving(std::uint64_t process) {
        if (process >= heard_process_) {
            left_process_ = std::max(left_process_, process);
            left_at_ = bench_.clock.time;
        }
    }

    void check() const {
        const std::optional<engine_view> seen = bench_.directory.find(e1);
        RC_ASSERT(seen.has_value() == !bench_.directory.available(pool).empty());
        if (!seen) {
            return;
        }
        RC_ASSERT(!drained_);
        RC_ASSERT(seen->target.incarnation.value == heard_process_);
        RC_ASSERT(left_process_ < heard_process_);
    }

    directory_bench bench_;
    std::uint64_t process_ = 2;
    bool leaving_ = false;
    bool drained_ = false;
    std::uint64_t heard_process_ = 0;
    std::uint64_t left_process_ = 0;
    base::monotonic_time left_at_{};
};

}  // namespace

Test(backend_directory, random_words) {
    cr_assert(rc::check("leaving sticks, processes only rise, drains hold", [] {
        random_story story;
        const int steps = *rc::gen::inRange(1, 80);
        for (int step = 0; step < steps; ++step) {
            story.step();
        }
    }));
}
