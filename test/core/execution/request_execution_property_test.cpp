/// For any order of events, the state machine agrees with a model that only counts what was sent,
/// proven not run and emitted.
#include "ferryroad/core/admission/retry_budget.hpp"
#include "ferryroad/core/execution/request_execution.hpp"

#include <criterion/criterion.h>
#include <rapidcheck.h>

#include <map>
#include <set>

using namespace ferryroad::core::execution;
namespace base = ferryroad::base;

namespace {

constexpr base::monotonic_time start{std::chrono::seconds(100)};
constexpr base::duration deadline = std::chrono::seconds(10);
constexpr std::size_t script_length = 60;

/// One generated event. With `offset` 0 it refers to what the state machine expects, with other
/// values to something else.
struct step {
    int kind = 0;
    std::uint32_t offset = 0;
    int detail = 0;
    int failure = 0;
    int proof = 0;
    bool late = false;
};

rc::Gen<step> any_step() {
    return rc::gen::build<step>(
        rc::gen::set(&step::kind, rc::gen::weightedElement<int>(
                                      {{4, 0}, {8, 1}, {1, 2}, {4, 3}, {12, 4}, {1, 5}, {8, 6}})),
        rc::gen::set(&step::offset,
                     rc::gen::weightedElement<std::uint32_t>({{8, 0}, {1, 1}, {1, 2}})),
        rc::gen::set(&step::detail, rc::gen::inRange(0, 8)),
        rc::gen::set(&step::failure, rc::gen::inRange(0, 9)),
        rc::gen::set(&step::proof, rc::gen::inRange(0, 3)),
        rc::gen::set(&step::late, rc::gen::weightedElement<bool>({{60, false}, {1, true}})));
}

/// Reference model, derived from the actions and events alone.
class model {
  public:
    explicit model(execution_rules rules) : rules_(rules) {}

    void observe(const event& happened) {
        answer_complete_ = false;
        if (const auto* started = std::get_if<exchange_started>(&happened)) {
            record_progress(started->exchange);
        } else if (const auto* token = std::get_if<token_received>(&happened)) {
            record_progress(token->exchange);
            close_if(token->exchange, token->index != emitted_);
        } else if (const auto* ended = std::get_if<exchange_ended>(&happened)) {
            const bool counts = !rules_.streamed || ended->tokens == emitted_;
            answer_complete_ = is_live(ended->exchange) && counts;
            record_progress(ended->exchange);
            close_if(ended->exchange, true);
        } else if (const auto* failed = std::get_if<exchange_failed>(&happened)) {
            record_failure(*failed);
        }
    }

    void observe(const action& wanted) {
        RC_ASSERT(answers_ == 0 || std::holds_alternative<settle_claim>(wanted));
        if (const auto* dispatch = std::get_if<dispatch_attempt>(&wanted)) {
            RC_ASSERT(rules_.repeatable || may_have_run_.empty());
            RC_ASSERT(!rules_.claimed || granted_);
            RC_ASSERT(dispatch->first_token == emitted_);
            open(dispatch->exchange, dispatch->attempt);
            RC_ASSERT(may_have_run_.insert(dispatch->attempt.value).second);
        } else if (const auto* resume = std::get_if<resume_attempt>(&wanted)) {
            RC_ASSERT(rules_.streamed);
            RC_ASSERT(may_have_run_.contains(resume->attempt.value));
            RC_ASSERT(resume->first_token == emitted_);
            open(resume->exchange, resume->attempt);
            resumes_.insert(resume->exchange.value);
        } else if (const auto* token = std::get_if<emit_token>(&wanted)) {
            RC_ASSERT(token->index == emitted_);
            ++emitted_;
        } else if (const auto* done = std::get_if<finish>(&wanted)) {
            RC_ASSERT(answer_complete_);
            RC_ASSERT(done->tokens == emitted_);
            complete_ = true;
            ++answers_;
        } else if (const auto* given_up = std::get_if<refuse>(&wanted)) {
            const auto expected =
                may_have_run_.empty() ? execution_report::not_run : execution_report::unknown;
            RC_ASSERT(given_up->report == expected);
            RC_ASSERT(given_up->retry_after > base::duration::zero());
            ++answers_;
        } else if (std::holds_alternative<replay_outcome>(wanted)) {
            ++answers_;
        } else if (const auto* settled = std::get_if<settle_claim>(&wanted)) {
            RC_ASSERT(rules_.claimed);
            RC_ASSERT((settled->settlement == claim_settlement::complete) == complete_);
            RC_ASSERT(settled->settlement != claim_settlement::release || may_have_run_.empty());
            ++settlements_;
        }
    }

    void grant() { granted_ = true; }
    std::uint32_t emitted() const { return emitted_; }
    std::uint32_t last_exchange() const { return last_; }
    int answers() const { return answers_; }
    bool settled_as_needed() const { return settlements_ == (granted_ ? 1 : settlements_); }

  private:
    bool is_live(exchange_number exchange) const { return live_ != 0 && live_ == exchange.value; }

    void record_progress(exchange_number exchange) {
        if (is_live(exchange)) {
            progressed_.insert(attempt_of_.at(live_));
        }
    }

    void close_if(exchange_number exchange, bool over) {
        if (over && is_live(exchange)) {
            live_ = 0;
        }
    }

    void record_failure(const exchange_failed& failed) {
        if (!is_live(failed.exchange)) {
            return;
        }
        const auto attempt = attempt_of_.at(live_);
        const bool proven = failed.proof != failure_proof::unknown;
        if (proven && !progressed_.contains(attempt) && !resumes_.contains(live_)) {
            may_have_run_.erase(attempt);
        }
        live_ = 0;
    }

    void open(exchange_number exchange, attempt_number attempt) {
        RC_ASSERT(exchange.value == last_ + 1);
        last_ = live_ = exchange.value;
        attempt_of_[live_] = attempt.value;
    }

    execution_rules rules_;
    std::map<std::uint32_t, std::uint32_t> attempt_of_;
    std::set<std::uint32_t> may_have_run_, progressed_, resumes_;
    std::uint32_t live_ = 0, last_ = 0, emitted_ = 0;
    bool granted_ = false, answer_complete_ = false, complete_ = false;
    int answers_ = 0, settlements_ = 0;
};

event event_of(const step& drawn, const model& reference) {
    const std::uint32_t referred =
        reference.last_exchange() >= drawn.offset ? reference.last_exchange() - drawn.offset : 99;
    const exchange_number exchange(referred);
    switch (drawn.kind) {
        case 0:
            return claim_answered{drawn.detail < 4 ? claim_decision::granted
                                                   : static_cast<claim_decision>(drawn.detail - 3)};
        case 1:
            return engine_selected{
                {base::engine_name("e" + std::to_string(drawn.detail)), base::incarnation(1)}};
        case 2:
            return selection_failed{static_cast<selection_problem>(drawn.detail % 2)};
        case 3:
            return exchange_started{exchange};
        case 4:
            return token_received{exchange, reference.emitted() + (drawn.detail == 0 ? 1 : 0)};
        case 5:
            return exchange_ended{exchange, reference.emitted() + (drawn.detail == 0 ? 1 : 0)};
        default:
            return exchange_failed{exchange, static_cast<failure_kind>(drawn.failure),
                                   static_cast<failure_proof>(drawn.proof)};
    }
}

void run(const execution_rules& rules, const std::vector<step>& script) {
    request_execution machine(rules);
    model reference(rules);
    ferryroad::core::admission::retry_budget budget(0.1);
    base::monotonic_time now = start;
    const auto feed = [&](const event& happened) {
        const auto* claimed = std::get_if<claim_answered>(&happened);
        const bool granted = claimed && claimed->decision == claim_decision::granted;
        reference.observe(happened);
        const action_list wanted = machine.handle(happened, now, budget);
        if (granted && !wanted.empty()) {
            reference.grant();
        }
        for (const action& each : wanted) {
            reference.observe(each);
        }
        RC_ASSERT(machine.ended() == (reference.answers() == 1));
    };
    for (const action& each : machine.begin(now)) {
        reference.observe(each);
    }
    for (const step& drawn : script) {
        now += std::chrono::milliseconds(10);
        if (drawn.late) {
            now += deadline;
            feed(drawn.detail % 2 == 0 ? event(deadline_passed{}) : event(caller_gone{}));
        }
        feed(event_of(drawn, reference));
    }
    feed(deadline_passed{});
    RC_ASSERT(machine.ended());
    RC_ASSERT(reference.answers() == 1);
    RC_ASSERT(reference.settled_as_needed());
}

}  // namespace

Test(request_execution_property, agrees_with_model) {
    cr_assert(rc::check("any order of events", [] {
        for (int round = 0; round < 20; ++round) {
            execution_rules rules;
            rules.repeatable = *rc::gen::arbitrary<bool>();
            rules.claimed = *rc::gen::arbitrary<bool>();
            rules.streamed = *rc::gen::arbitrary<bool>();
            rules.deadline = start + deadline;
            run(rules, *rc::gen::container<std::vector<step>>(script_length, any_step()));
        }
    }));
}
