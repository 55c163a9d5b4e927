/// A replica never goes back to an older revision, holds exactly the content that the log has at
/// its revision, and converges when changes are lost, duplicated or reordered.
#include "ferryroad/coordination/configuration/replica.hpp"

#include "test/coordination/configuration/model_table.hpp"

#include <criterion/criterion.h>
#include <rapidcheck.h>

#include <algorithm>
#include <string>

using namespace ferryroad;
using namespace ferryroad::coordination::configuration;
using ferryroad::coordination::configuration::testing::commit_plainly;
using ferryroad::coordination::configuration::testing::model_table;

namespace {

constexpr log_limits small_limits{4, 8, 4, 6, 3};

resource_change random_resource() {
    resource_change resource{resource_key("r" + std::to_string(*rc::gen::inRange(0, 5))), {}};
    if (*rc::gen::inRange(0, 4) > 0) {
        resource.value = std::to_string(*rc::gen::inRange(0, 1000));
    }
    return resource;
}

model_table random_log(int most) {
    model_table table;
    const int length = *rc::gen::inRange(1, most);
    for (int index = 0; index < length; ++index) {
        commit_plainly(table, {random_resource(), random_resource()}, small_limits);
    }
    return table;
}

void assert_follows(const replica& held, const model_table& table) {
    RC_ASSERT(held.held().content == table.state_at(held.revision()));
    RC_ASSERT(held.newest_known() >= held.revision());
}

/// Checks that each step of the replica starts at the revision where the step before it ended.
void assert_joined(const std::vector<applied_change>& steps, base::revision from,
                   base::revision to) {
    for (const applied_change& step : steps) {
        RC_ASSERT(step.previous == from);
        RC_ASSERT(step.revision > from);
        from = step.revision;
    }
    RC_ASSERT(from == to);
}

}  // namespace

Test(replica, holds_the_log_for_any_order_of_changes) {
    cr_assert(rc::check([] {
        const model_table table = random_log(30);
        replica held(small_limits);
        const int deliveries = *rc::gen::inRange(0, 120);
        for (int index = 0; index < deliveries; ++index) {
            const base::revision before = held.revision();
            const auto& next = *rc::gen::elementOf(table.history());
            const auto steps = held.on_change(next);
            assert_joined(steps, before, held.revision());
            assert_follows(held, table);
        }
    }));
}

Test(replica, snapshots_never_move_it_back) {
    cr_assert(rc::check([] {
        const model_table table = random_log(30);
        replica held(small_limits);
        for (int index = 0; index < 20; ++index) {
            const base::revision before = held.revision();
            const auto top = static_cast<int>(table.head().head.revision.value);
            const base::revision at(static_cast<std::uint64_t>(*rc::gen::inRange(0, top + 1)));
            const auto steps = held.on_snapshot({at, table.state_at(at)});
            assert_joined(steps, before, held.revision());
            RC_ASSERT(held.revision() >=
                      std::max(before, at));  // Buffered changes may be applied as well.
            if (!table.history().empty()) {
                held.on_change(*rc::gen::elementOf(table.history()));
            }
            assert_follows(held, table);
        }
    }));
}

Test(replica, peers_converge_by_pulls_alone) {
    cr_assert(rc::check([] {
        const model_table table = random_log(40);
        std::vector<replica> routers(4, replica(small_limits));
        for (const change& next : table.history()) {
            // The push reaches a random subset of the replicas.
            for (replica& router : routers) {
                if (*rc::gen::inRange(0, 3) == 0) {
                    router.on_change(next);
                }
            }
        }
        const auto plan = plan_read({}, table.head().head, small_limits);
        if (plan) {
            routers.front().on_pull_answer(*table.read(*plan));
        }
        for (std::size_t index = 1; index < routers.size(); ++index) {
            replica& router = routers[index];
            router.on_revision_announced(routers[index - 1].revision());
            const pull_answer answer = routers[index - 1].answer_pull(router.revision(), false);
            router.on_pull_answer(answer);
            RC_ASSERT(!router.needs_pull());
            RC_ASSERT(router.held() == routers.front().held());
        }
    }));
}

Test(replica, the_table_brings_any_replica_to_the_head) {
    cr_assert(rc::check([] {
        model_table table = random_log(20);
        replica held(small_limits);
        for (int round = 0; round < 5; ++round) {
            const auto plan = plan_read(held.revision(), table.head().head, small_limits);
            RC_ASSERT(plan.has_value() == (held.revision() < table.head().head.revision));
            if (plan) {
                const auto answer = table.read(*plan);
                RC_ASSERT(answer.has_value());
                held.on_pull_answer(*answer);
            }
            RC_ASSERT(held.revision() == table.head().head.revision);
            assert_follows(held, table);
            const int more = *rc::gen::inRange(0, 15);
            for (int index = 0; index < more; ++index) {
                commit_plainly(table, {random_resource()}, small_limits);
            }
        }
        RC_ASSERT(table.rows() <= small_limits.retained_changes + 3);
    }));
}

Test(replica, steps_are_returned_completely_or_not_at_all) {
    cr_assert(rc::check([] {
        const model_table table = random_log(30);
        replica held(small_limits);
        for (const change& next : table.history()) {
            held.on_change(next);
        }
        const base::revision from(static_cast<std::uint64_t>(*rc::gen::inRange(0, 31)));
        if (const auto steps = held.steps_after(from)) {
            assert_joined(*steps, std::min(from, held.revision()), held.revision());
        } else {
            RC_ASSERT(held.revision().value - from.value > small_limits.replica_changes);
        }
    }));
}

Test(replica, buffers_a_bounded_number_of_changes) {
    replica held(small_limits);
    for (std::uint64_t revision = 100; revision > 1; --revision) {
        held.on_change({base::revision(revision), {}, {}, {}});
    }
    cr_assert_eq(held.revision().value, 0);
    cr_assert(held.needs_pull());
    cr_assert_eq(held.on_change({base::revision(1), {}, {}, {}}).size(),
                 1 + small_limits.buffered_changes);
}
