/// Request limits that engines state in their answers.
#include "ferryroad/relay/engine_limits.hpp"

#include "test/relay/fake_upstream.hpp"

using namespace ferryroad;
using namespace ferryroad::relay;
using namespace ferryroad::relay::test;

Test(engine_limits, a_limit_holds_until_an_answer_without_it) {
    relay_fixture fixture;
    engine_limits limits(fixture.loop.scheduler, fixture.registry);
    known_engine* engine = fixture.registry.find(base::engine_name("e1"));
    cr_assert_not_null(engine);
    limits.record_answer(*engine, {1.4});
    limits.record_answer(*engine, {1.4});
    cr_assert(engine->limit.per_second == 1.4);
    cr_assert_eq(limits.limited(), 1);
    cr_assert_eq(limits.counters().changes, 1);
    limits.record_answer(*engine, {});
    cr_assert_not(engine->limit.per_second);
    cr_assert_eq(limits.limited(), 0);
    cr_assert_eq(limits.counters().changes, 2);
}
