/// Shared index without its network code: ownership of roots, reports to owners, and answers.
#include "ferryroad/core/prefix/ownership.hpp"
#include "ferryroad/core/prefix/prefix_owner.hpp"
#include "ferryroad/core/prefix/report_outbox.hpp"

#include <criterion/criterion.h>
#include <rapidcheck.h>

#include <algorithm>
#include <string>
#include <vector>

namespace {

using namespace ferryroad;
using namespace ferryroad::core::prefix;
using namespace std::chrono_literals;

const cache_namespace scope{
    base::tenant_name("alpha"), base::model_name("m"), base::weights_version("1"), {}};
const engine_process engine_a{base::engine_name("a"), base::incarnation(1)};
const base::router_name asking_router("asking");
const std::vector<base::router_name> one_owner{base::router_name("owner")};

base::monotonic_time at(base::duration since_start) {
    return base::monotonic_time(since_start);
}

piece_chain chain_of(std::size_t pieces) {
    piece_chain chain;
    for (std::size_t piece = 0; piece < pieces; ++piece) {
        chain.emplace_back(100 + piece);
    }
    return chain;
}

prefix_report report_of(std::size_t pieces, evidence why,
                        prefix_change change = prefix_change::held) {
    return {scope, chain_of(pieces), engine_a, change, why};
}

/// Delivers all queued reports.
/// @return the number of pieces delivered.
std::size_t deliver(report_outbox& outbox, prefix_owner& owner, base::monotonic_time now) {
    std::size_t pieces = 0;
    for (const report_batch& batch : outbox.take()) {
        for (const prefix_report& report : batch.reports) {
            owner.record(report, asking_router, now);
            pieces += report.pieces.size();
        }
    }
    return pieces;
}

std::uint32_t depth_at(prefix_owner& owner, base::monotonic_time now) {
    const auto answer = owner.lookup(scope, chain_of(20), asking_router, now);
    return answer.holders.empty() ? 0 : answer.holders.front().pieces;
}

}  // namespace

Test(ownership, loss_of_the_owner_makes_the_standby_owner) {
    cr_assert(rc::check("the standby takes over; other roots stay; a new router takes a few", [] {
        std::vector<base::router_name> routers;
        const auto count = *rc::gen::inRange(2, 20);
        for (int router = 0; router < count; ++router) {
            routers.emplace_back("router" + std::to_string(router));
        }
        const base::piece_hash root(*rc::gen::arbitrary<std::uint64_t>());
        const auto owners = *owners_of(root, routers);
        RC_ASSERT(owners.standby.has_value() && *owners.standby != owners.owner);
        const auto owner = routers[owners.owner];
        const auto standby = routers[*owners.standby];
        auto others = routers;
        std::reverse(others.begin(), others.end());
        RC_ASSERT(others[owners_of(root, others)->owner] == owner);
        std::erase(others, owner);
        RC_ASSERT(others[owners_of(root, others)->owner] == standby);
        routers.emplace_back("new");
        const auto after = *owners_of(root, routers);
        const bool unchanged = routers[after.owner] == owner;
        RC_ASSERT(unchanged ||
                  (routers[after.owner].value == "new" && routers[*after.standby] == owner));
    }));
}

Test(ownership, one_router_owns_all_and_none_owns_nothing) {
    const std::vector<base::router_name> one{base::router_name("a")};
    cr_assert_eq(owners_of(base::piece_hash(1), one)->owner, 0);
    cr_assert(!owners_of(base::piece_hash(1), one)->standby.has_value());
    cr_assert(!owners_of(base::piece_hash(1), {}).has_value());
}

Test(prefix_owner, answers_with_holders_and_the_rate_of_the_root) {
    prefix_owner owner;
    owner.record(report_of(3, evidence::answer), asking_router, at(0s));
    base::monotonic_time now = at(0s);
    for (int lookup = 0; lookup < 400; ++lookup) {
        now += 250ms;
        owner.record(report_of(3, evidence::answer), asking_router, now);
        owner.lookup(scope, chain_of(5), asking_router, now);
    }
    const auto answer = owner.lookup(scope, chain_of(5), asking_router, now);
    cr_assert_eq(answer.holders.size(), 1);
    cr_assert_eq(answer.holders.front().pieces, 3);
    cr_assert_float_eq(answer.request_rate, 4.0, 0.3);
}

Test(prefix_owner, returns_recent_dispatches_of_other_routers) {
    prefix_owner owner;
    prefix_report report = report_of(3, evidence::dispatch);
    report.prefill_tokens = 3000;
    owner.record(report, base::router_name("other"), at(1s));
    report.prefill_tokens = 500;
    owner.record(report, asking_router, at(1s));
    const auto answer = owner.lookup(scope, chain_of(3), asking_router, at(1500ms));
    cr_assert_eq(answer.dispatches.size(), 1);
    cr_assert_eq(answer.dispatches.front().prefill_tokens, 3000);
    cr_assert(answer.dispatches.front().process == engine_a);
    cr_assert(answer.dispatches.front().age == 500ms);
    cr_assert(owner.lookup(scope, chain_of(3), asking_router, at(3s)).dispatches.empty());
}

Test(recent_dispatches, are_bounded_and_the_newest_are_returned) {
    recent_dispatches dispatches({.window = 1s, .max_stored = 3, .max_returned = 2});
    for (std::uint32_t tokens = 1; tokens <= 5; ++tokens) {
        dispatches.record(engine_a, tokens, base::router_name("other"), at(0s));
    }
    const auto returned = dispatches.by_others(asking_router, at(0s));
    cr_assert_eq(returned.size(), 2);
    cr_assert_eq(returned[0].prefill_tokens, 5);
    cr_assert_eq(returned[1].prefill_tokens, 4);
}

Test(report_outbox, reports_to_each_owner_and_removes_repeats) {
    report_outbox outbox;
    const std::vector<base::router_name> owners{base::router_name("o"), base::router_name("s")};
    outbox.add(owners, report_of(3, evidence::dispatch), at(0s));
    outbox.add(owners, report_of(3, evidence::answer), at(1s));
    outbox.add(owners, report_of(4, evidence::dispatch), at(2s));
    const auto batches = outbox.take();
    cr_assert_eq(batches.size(), 2);
    cr_assert_eq(batches[0].reports.size(), 2);
    cr_assert_eq(batches[0].reports[1].pieces.size(), 1);
    cr_assert(outbox.empty());
    cr_assert_eq(outbox.counters().pieces_deduplicated, 6);
    // The interval of answers has passed, that of dispatches has not.
    outbox.add(owners, report_of(3, evidence::dispatch), at(6s));
    cr_assert(outbox.empty());
    outbox.add(owners, report_of(3, evidence::answer), at(6s));
    cr_assert_eq(outbox.take().front().reports.front().pieces.size(), 3);
}

Test(report_outbox, queued_reports_are_bounded) {
    report_outbox outbox({.max_queued_per_owner = 2});
    for (std::uint64_t piece = 0; piece < 5; ++piece) {
        prefix_report report = report_of(1, evidence::dispatch);
        report.pieces = {base::piece_hash(piece)};
        outbox.add(one_owner, report, at(0s));
    }
    cr_assert_eq(outbox.take().front().reports.size(), 2);
    cr_assert_eq(outbox.counters().reports_dropped, 3);
}

Test(report_outbox, a_dispatch_after_an_eviction_is_reported) {
    report_outbox outbox;
    prefix_owner owner;
    outbox.add(one_owner, report_of(3, evidence::dispatch), at(0s));
    prefix_report evicted = report_of(0, {}, prefix_change::evicted);
    evicted.pieces = {chain_of(3).back()};
    outbox.add(one_owner, evicted, at(1s));
    deliver(outbox, owner, at(1s));
    cr_assert_eq(depth_at(owner, at(1s)), 2);
    outbox.add(one_owner, report_of(3, evidence::dispatch), at(2s));
    cr_assert_eq(deliver(outbox, owner, at(2s)), 1);
    cr_assert_eq(depth_at(owner, at(2s)), 3);
}

Test(report_outbox, pieces_unknown_to_the_owner_are_reported_again) {
    report_outbox outbox;
    prefix_owner owner;
    outbox.add(one_owner, report_of(3, evidence::dispatch), at(0s));
    outbox.take();  // The batch is lost unnoticed, or the owner has restarted.
    const auto answer = owner.lookup(scope, chain_of(3), asking_router, at(1s));
    outbox.reconcile(scope, chain_of(3), answer.holders, at(1s));
    outbox.add(one_owner, report_of(3, evidence::dispatch), at(1s));
    cr_assert_eq(deliver(outbox, owner, at(1s)), 3);
}

Test(report_outbox, no_piece_is_missing_if_lost_batches_are_recorded) {
    cr_assert(rc::check("owner's view equals that of one told everything", [] {
        report_outbox outbox;
        // Nothing expires during the test, so that only deduplication could lose pieces.
        const prefix_index_settings settings{.lifetime = 1h};
        prefix_owner owner(settings);
        prefix_owner complete_owner(settings);
        base::monotonic_time now = at(0s);
        const auto steps = *rc::gen::inRange(1, 60);
        for (int step = 0; step < steps; ++step) {
            now += std::chrono::milliseconds(*rc::gen::inRange(0, 3000));
            prefix_report report =
                report_of(*rc::gen::inRange<std::size_t>(1, 8),
                          *rc::gen::element(evidence::dispatch, evidence::answer));
            report.process.engine = base::engine_name(*rc::gen::element<std::string>("a", "b"));
            report.process.incarnation = base::incarnation(*rc::gen::inRange<std::uint64_t>(1, 3));
            if (*rc::gen::inRange(0, 4) == 0) {
                report.change = prefix_change::evicted;
                report.pieces = {report.pieces.back()};
            }
            outbox.add(one_owner, report, now);
            complete_owner.record(report, asking_router, now);
            for (const report_batch& batch : outbox.take()) {
                if (*rc::gen::inRange(0, 4) == 0) {
                    outbox.record_lost(batch);
                    // The same change is observed again later.
                    outbox.add(one_owner, report, now);
                    continue;
                }
                for (const prefix_report& each : batch.reports) {
                    owner.record(each, asking_router, now);
                }
            }
            deliver(outbox, owner, now);
            const auto expected = complete_owner.lookup(scope, chain_of(8), asking_router, now);
            const auto found = owner.lookup(scope, chain_of(8), asking_router, now);
            RC_ASSERT(found.holders.size() == expected.holders.size());
            for (std::size_t holder = 0; holder < expected.holders.size(); ++holder) {
                RC_ASSERT(found.holders[holder].process == expected.holders[holder].process);
                RC_ASSERT(found.holders[holder].pieces == expected.holders[holder].pieces);
            }
        }
    }));
}
