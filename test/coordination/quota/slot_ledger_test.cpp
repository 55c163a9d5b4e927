/// One router counts the slots of an engine for all routers.
#include "ferryroad/coordination/quota/slot_ledger.hpp"

#include <criterion/criterion.h>

using namespace ferryroad;
using namespace ferryroad::coordination::quota;
using namespace std::chrono_literals;

namespace {

constexpr base::monotonic_time start{1h};
const base::engine_name engine("e");

/// Messages of a router's process, which number themselves.
struct asker {
    explicit asker(const char* name, std::uint64_t process = 1) : name(name), process(process) {}

    quota_ask ask(std::uint32_t running, std::uint32_t rejected = 0,
                  std::vector<std::uint64_t> pending = {}) {
        quota_ask question;
        question.subject = engine;
        question.amount = 1;
        question.slots = slot_use{engine_process, 4,        running,           rejected, 5,
                                  process,        ++number, std::move(pending)};
        return question;
    }
    quota_ask patient_ask(std::uint32_t running, std::vector<std::uint64_t> pending = {}) {
        quota_ask question = ask(running, 0, std::move(pending));
        question.wait = 250ms;
        return question;
    }
    quota_ask report(std::uint32_t running, std::uint32_t rejected = 0,
                     std::vector<std::uint64_t> pending = {}) {
        quota_ask question = ask(running, rejected, std::move(pending));
        question.amount = 0;
        return question;
    }

    base::router_name name;
    std::uint64_t process;
    std::uint64_t engine_process = 1;
    std::uint64_t number = 0;
};

/// A ledger that has gathered the reports about the engine, at `now`, and two routers.
struct settled_ledger {
    settled_ledger() { ledger.decide(r1.name, r1.report(0), now - slot_report_interval); }
    quota_verdict decide(const asker& from, const quota_ask& question,
                         base::duration later = base::duration{}) {
        return ledger.decide(from.name, question, now + later);
    }
    std::optional<slot_ask_id> take_granted(base::duration later = base::duration{}) {
        return ledger.take_granted(engine, now + later);
    }

    base::monotonic_time now = start + 1min;
    slot_ledger ledger{start};
    asker r1{"r1"};
    asker r2{"r2"};
};

}  // namespace

Test(slot_ledger, slots_go_to_whoever_asks) {
    settled_ledger at;
    for (std::uint32_t running = 0; running < 4; ++running) {
        cr_assert(at.decide(at.r1, at.r1.ask(running)).granted);
    }
    const quota_verdict refused = at.decide(at.r2, at.r2.ask(0));
    cr_assert(refused.decided && !refused.granted);
    cr_assert_gt(refused.retry_after.count(), 0);
    at.decide(at.r1, at.r1.report(3));
    cr_assert(at.decide(at.r2, at.r2.ask(0)).granted);
}

Test(slot_ledger, granted_slots_are_in_use_until_their_router_knows_of_them) {
    settled_ledger at;
    for (std::uint64_t count = 0; count < 4; ++count) {
        cr_assert(at.decide(at.r1, at.r1.ask(0, 0, {2, 3, 4, 5})).granted);
    }
    cr_assert_not(at.decide(at.r2, at.r2.ask(0)).granted, "four are on their way");
    at.decide(at.r1, at.r1.report(3, 0, {5}));
    cr_assert_not(at.decide(at.r2, at.r2.ask(0)).granted, "one is on its way");
    at.decide(at.r1, at.r1.report(3));
    cr_assert(at.decide(at.r2, at.r2.ask(0)).granted, "one was given up");
}

Test(slot_ledger, a_message_that_was_overtaken_changes_nothing) {
    settled_ledger at;
    const quota_ask older = at.r1.ask(0);
    at.decide(at.r1, at.r1.report(4));
    cr_assert_not(at.decide(at.r1, older).decided);
    cr_assert_not(at.decide(at.r1, older, 2s).decided, "after the report has expired, too");
    at.decide(at.r1, at.r1.report(4));
    cr_assert_not(at.decide(at.r2, at.r2.ask(0)).granted);
    asker restarted("r1", 2);
    at.decide(restarted, restarted.report(0));
    cr_assert(at.decide(at.r2, at.r2.ask(0)).granted, "a new process numbers from the beginning");
}

Test(slot_ledger, a_queued_ask_gets_the_next_free_slot) {
    settled_ledger at;
    at.decide(at.r1, at.r1.report(4));
    cr_assert(at.decide(at.r2, at.r2.patient_ask(0)).queued);
    cr_assert_not(at.take_granted().has_value());
    at.decide(at.r1, at.r1.report(3), 100ms);
    cr_assert_not(at.decide(at.r1, at.r1.ask(3), 100ms).granted, "another one waits");
    cr_assert((at.take_granted(100ms) == slot_ask_id{at.r2.name, 1}));
    cr_assert_not(at.take_granted(100ms).has_value());
    cr_assert_not(at.decide(at.r1, at.r1.ask(3), 100ms).granted, "the slot is in use");
}

Test(slot_ledger, an_ask_that_was_given_up_gets_no_slot) {
    settled_ledger at;
    at.decide(at.r1, at.r1.report(4));
    cr_assert(at.decide(at.r2, at.r2.patient_ask(0)).queued);
    cr_assert(at.decide(at.r2, at.r2.patient_ask(0)).queued);
    at.decide(at.r2, at.r2.report(0, 0, {2}));
    at.decide(at.r1, at.r1.report(3));
    cr_assert((at.take_granted() == slot_ask_id{at.r2.name, 2}));
}

Test(slot_ledger, asks_are_queued_for_as_long_as_they_wait_and_as_many_as_there_is_room) {
    settled_ledger at;
    at.decide(at.r1, at.r1.report(4));
    std::vector<std::uint64_t> pending;
    for (std::uint64_t number = 1; number <= 4; ++number) {
        cr_assert(at.decide(at.r2, at.r2.patient_ask(0, pending)).queued);
        pending.push_back(number);
    }
    cr_assert_not(at.decide(at.r2, at.r2.patient_ask(0, pending)).queued);
    at.decide(at.r1, at.r1.report(0), 250ms);
    cr_assert_not(at.take_granted(250ms).has_value());
}

Test(slot_ledger, refused_requests_retry_one_after_the_other) {
    settled_ledger at;
    at.decide(at.r1, at.r1.report(4));
    const auto first = at.decide(at.r2, at.r2.ask(0)).retry_after;
    const auto second = at.decide(at.r2, at.r2.ask(0)).retry_after;
    cr_assert_gt(second.count(), first.count());
}

Test(slot_ledger, the_slots_of_a_silent_router_are_free_after_a_while) {
    settled_ledger at;
    at.decide(at.r1, at.r1.report(4));
    cr_assert_not(at.decide(at.r2, at.r2.ask(0), 1500ms).granted);
    cr_assert(at.decide(at.r2, at.r2.ask(0), 1501ms).granted);
}

Test(slot_ledger, nothing_is_decided_before_all_have_reported) {
    slot_ledger ledger(start);
    asker r1("r1");
    const base::monotonic_time later = start + 1min;
    cr_assert_not(ledger.decide(r1.name, r1.ask(0), later).decided);
    cr_assert(ledger.decide(r1.name, r1.ask(0), later + slot_report_interval).decided);
    slot_ledger restarted(start);
    restarted.decide(r1.name, r1.ask(0), start);
    cr_assert_not(restarted.decide(r1.name, r1.ask(0), start + 3s).decided,
                  "a process that has just started may not be the only one that counts");
}

Test(slot_ledger, rejections_limit_the_room_for_all) {
    settled_ledger at;
    at.decide(at.r1, at.r1.report(2));
    cr_assert(at.decide(at.r2, at.r2.ask(0, 1)).room == 2);
    cr_assert_not(at.decide(at.r2, at.r2.ask(0)).granted);
}

Test(slot_ledger, an_engine_that_rejected_half_of_what_it_bears_gets_a_pause) {
    settled_ledger at;
    at.decide(at.r1, at.r1.report(0, 2));
    const quota_verdict refused = at.decide(at.r2, at.r2.ask(0), 10ms);
    cr_assert_not(refused.granted);
    cr_assert_geq(refused.retry_after.count(), base::duration(990ms).count());
    cr_assert(at.decide(at.r2, at.r2.ask(0), 1001ms).granted);
}

Test(slot_ledger, a_restarted_engine_has_all_its_slots) {
    settled_ledger at;
    at.decide(at.r1, at.r1.report(4, 2));
    at.r2.engine_process = 2;
    cr_assert(at.decide(at.r2, at.r2.ask(0)).granted);
    cr_assert_not(at.decide(at.r1, at.r1.ask(0)).decided,
                  "a router that knows the old process only");
}

Test(slot_ledger, engines_that_nobody_asks_for_are_forgotten) {
    settled_ledger at;
    at.ledger.reclaim(at.now + 1h);
    cr_assert_eq(at.ledger.size(), 0);
}
