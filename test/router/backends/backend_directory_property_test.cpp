/// Property test with random reports in random order. An engine that reported "leaving" must get
/// no work while that process lives, an older process must never replace a newer one, and a
/// drained engine must stay unavailable.
#include "test/router/backends/directory_fixture.hpp"

#include <criterion/criterion.h>
#include <rapidcheck.h>

using namespace ferryroad;
using namespace ferryroad::router;
using namespace ferryroad::router::backends;
using namespace ferryroad::router::backends::test;

namespace {

/// Drives a directory with one engine and tracks the engine's actual state for comparison.
class random_event_run {
  public:
    void step() {
        fixture_.clock.time += std::chrono::milliseconds(*rc::gen::inRange(0, 900));
        switch (*rc::gen::inRange(0, 9)) {
            case 0:
                restart();
                break;
            case 1:
                leaving_ = true;
                break;
            case 2:
                fixture_.list(*rc::gen::element(platform::machine_state::live,
                                                platform::machine_state::leaving));
                break;
            case 3:
                report_leaving(base::incarnation(process_ - *rc::gen::inRange(0, 2)));
                break;
            case 4:
                fixture_.directory.record_failure(
                    e1, *rc::gen::element(engine::error_code::connect_failed,
                                          engine::error_code::timed_out,
                                          engine::error_code::refused_incarnation));
                break;
            case 5:
                drained_ = !drained_;
                fixture_.configuration.drain(
                    pool, drained_ ? std::vector{e1} : std::vector<base::engine_name>{});
                break;
            case 6:
                deliver_report(report_of(*rc::gen::inRange<std::uint64_t>(1, process_ + 1), false));
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

    void report_leaving(base::incarnation process) {
        fixture_.directory.record_leaving(e1, process);
        expect_leaving(process.value);
    }

    void deliver_report(const engine::load_report& load) {
        fixture_.directory.record_load(e1, load);
        newest_process_ = std::max(newest_process_, load.incarnation.value);
    }

    void answer_poll() {
        fixture_.poll(report_of(process_, leaving_));
        newest_process_ = process_;
        if (leaving_) {
            expect_leaving(process_);
        } else if (fixture_.clock.time - leaving_since_ >= fixture_.limits.leaving_hold_down) {
            leaving_process_ = 0;  // A poll sent after the hold-down time says "not leaving".
        }
    }

    void expect_leaving(std::uint64_t process) {
        if (process >= newest_process_) {
            leaving_process_ = std::max(leaving_process_, process);
            leaving_since_ = fixture_.clock.time;
        }
    }

    void check() const {
        const std::optional<engine_view> seen = fixture_.directory.find(e1);
        RC_ASSERT(seen.has_value() == !fixture_.directory.available(pool).empty());
        if (!seen) {
            return;
        }
        RC_ASSERT(!drained_);
        RC_ASSERT(seen->target.incarnation.value == newest_process_);
        RC_ASSERT(leaving_process_ < newest_process_);
    }

    directory_fixture fixture_;
    std::uint64_t process_ = 2;
    bool leaving_ = false;
    bool drained_ = false;
    std::uint64_t newest_process_ = 0;
    std::uint64_t leaving_process_ = 0;
    base::monotonic_time leaving_since_{};
};

}  // namespace

Test(backend_directory, random_reports) {
    cr_assert(rc::check("leaving sticks, processes only rise, drains hold", [] {
        random_event_run run;
        const int steps = *rc::gen::inRange(1, 80);
        for (int step = 0; step < steps; ++step) {
            run.step();
        }
    }));
}
