/// The emulated engine under random calls: every admitted attempt sends each token once and in
/// order and ends at most once, and no refused attempt runs.
#include "emulator/engine/engine_model.hpp"
#include "test/emulator/engine/model_fixture.hpp"

#include <criterion/criterion.h>
#include <rapidcheck.h>

#include <map>
#include <set>

using namespace ferryroad;
using namespace ferryroad::emulator;
using namespace ferryroad::emulator::test;

namespace {

/// The expected state of an admitted attempt.
struct expectation {
    std::string digest;
    std::uint32_t next_token = 0;
    std::uint32_t max_tokens = 0;
    bool ended = false;
};

class random_run {
  public:
    void step() {
        now_ += std::chrono::milliseconds(*rc::gen::inRange(0, 40));
        switch (*rc::gen::inRange(0, 8)) {
            case 0:
                crash();
                break;
            case 1:
                model_.cancel(random_attempt(), now_);
                break;
            case 2:
                resume();
                break;
            case 3:
                model_.freeze(now_, std::chrono::milliseconds(*rc::gen::inRange(0, 30)));
                break;
            default:
                submit();
                break;
        }
        check_outputs();
    }

    void finish() {
        now_ += std::chrono::hours(1);
        check_outputs();
        RC_ASSERT(model_.idle() && !model_.next_wakeup());
        std::size_t ended = 0;
        for (const auto& [attempt, expected] : expected_) {
            const execution_record& record = model_.execution(attempt);
            const bool crashed = record.state == execution_state::failed;
            RC_ASSERT(expected.ended || crashed);
            RC_ASSERT(crashed || record.tokens + record.first_token == expected.next_token);
            ended += expected.ended ? 1U : 0U;
        }
        RC_ASSERT(model_.executions().size() == expected_.size());
        RC_TAG(ended > 0 ? "some ended" : "none ended");
    }

  private:
    base::attempt_id random_attempt() {
        return base::attempt_id(std::to_string(*rc::gen::inRange(0, 12)));
    }

    void submit() {
        auto request = request_of(random_attempt().value,
                                  prompt_of(static_cast<char>('p' + *rc::gen::inRange(0, 3)),
                                            static_cast<std::size_t>(*rc::gen::inRange(0, 6))),
                                  static_cast<std::uint32_t>(*rc::gen::inRange(0, 6)));
        request.expected_incarnation = base::incarnation(process_ - *rc::gen::inRange(0, 2));
        request.urgency = static_cast<engine::priority>(*rc::gen::inRange(0, 3));
        const auto answer = model_.submit(request, now_);
        if (!answer) {
            return;
        }
        RC_ASSERT(request.expected_incarnation.value == process_);
        RC_ASSERT(admitted_.insert(request.attempt).second);  // No attempt runs twice.
        const std::string digest = model_.execution(*answer).prompt_sha256;
        const bool fresh = expected_.try_emplace(*answer, digest, 0U, request.max_tokens).second;
        RC_ASSERT(fresh);
    }

    void resume() {
        const auto answer = model_.resume(random_attempt(), 0, base::incarnation(process_), now_);
        if (answer) {
            expectation& expected = expected_.at(*answer);
            expected.next_token = 0;
            expected.ended = false;
        }
    }

    void crash() {
        check_outputs();
        model_.crash(now_);
        RC_ASSERT(model_.submit(request_of("x", "p"), now_).error().proves ==
                  engine::proof::not_sent);
        ++process_;
        admitted_.clear();
        model_.restart(base::incarnation(process_), now_);
    }

    void check_outputs() {
        for (const model_output& output : model_.advance(now_)) {
            expectation& expected = expected_.at(output.attempt);
            RC_ASSERT(!expected.ended && output.at <= now_);
            if (const auto* token = std::get_if<engine::stream_token>(&output.event)) {
                RC_ASSERT(token->index == expected.next_token);
                RC_ASSERT(token->text == answer_token(expected.digest, token->index));
                ++expected.next_token;
            } else if (const auto* end = std::get_if<engine::stream_end>(&output.event)) {
                RC_ASSERT(end->tokens == expected.next_token);
                RC_ASSERT(end->reason == engine::finish_reason::cancelled ||
                          end->tokens == expected.max_tokens);
                expected.ended = true;
            }
        }
    }

    engine_model model_{small_engine(), base::incarnation(1)};
    base::monotonic_time now_{};
    std::uint64_t process_ = 1;
    std::set<base::attempt_id> admitted_;  ///< Attempts that the current process has admitted.
    std::map<attempt_handle, expectation> expected_;
};

}  // namespace

Test(engine_model, random_calls) {
    cr_assert(rc::check("streams are complete, in order and without repetition", [] {
        random_run run;
        const int steps = *rc::gen::inRange(1, 80);
        for (int step = 0; step < steps; ++step) {
            run.step();
        }
        run.finish();
    }));
}
