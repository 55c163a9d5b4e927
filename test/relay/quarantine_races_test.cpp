/// A request is quarantined while repeats of it wait at engines, have just begun there, or are
/// being sent; newer weights may be announced meanwhile. Each seed generates engines, requests and
/// events close to each other, in varying order, and checks invariants that must hold in any order.
#include "ferryroad/base/random.hpp"
#include "test/relay/queueing_upstream.hpp"

#include <criterion/criterion.h>

#include <algorithm>
#include <array>
#include <set>
#include <string>
#include <vector>

using namespace ferryroad;
using namespace ferryroad::relay;
using namespace ferryroad::relay::test;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t seeds = 400;
/// From the quarantine to the end of the coroutines that it wakes.
constexpr base::duration wake_slack = 1ms;
constexpr base::duration run_time = 30s;  ///< Longer than any request takes.
constexpr std::string_view bad_body = "bad";
constexpr std::array<const char*, 4> paths{"/safe/", "/unsafe/", "/stream/", "/resumable/"};

/// One caller.
struct caller {
    std::string id;
    std::string path;
    bool bad = false;

    bool is_repeatable() const { return path == "/safe/" || path == "/resumable/"; }
};

/// Counts of what happened over all seeds, to show that each checked case did occur.
struct coverage {
    std::size_t withdrawn = 0;      ///< Withdrawn while waiting at an engine.
    std::size_t not_sent = 0;       ///< Refused as not run, as no engine had received them.
    std::size_t begun_before = 0;   ///< Begun before the quarantine, and not withdrawn.
    std::size_t refused_later = 0;  ///< Arrived after the quarantine.
    std::size_t others = 0;         ///< Other requests.
};

class race {
  public:
    explicit race(std::uint64_t seed) : m_random(seed), m_router(draw_engines(), seed, true) {
        m_router.upstream.connect_time = milliseconds(0, 40);
        // A completed exchange would clear the request.
        m_router.upstream.vary = [](const queueing_engine& engine, const dispatch& sent) {
            queueing_engine one = engine;
            one.breaks_in_answer = sent.call->message.body == bad_body;
            return one;
        };
    }

    /// @return the violated invariants.
    std::vector<std::string> run(coverage& seen) {
        simulate();
        m_router.run_for(run_time);
        for (std::size_t index = 0; index < m_callers.size(); ++index) {
            check_answer(m_callers[index], *m_router.writers[index], seen);
        }
        check_engines();
        check_no_leaks();
        return m_violations;
    }

  private:
    base::duration milliseconds(std::uint64_t least, std::uint64_t most) {
        return std::chrono::milliseconds(least + m_random.below(most - least + 1));
    }
    bool one_chance_in(std::uint64_t count) { return m_random.below(count) == 0; }

    std::map<std::string, queueing_engine> draw_engines() {
        std::map<std::string, queueing_engine> engines;
        const std::uint64_t count = 2 + m_random.below(3);
        for (std::uint64_t number = 1; number <= count; ++number) {
            queueing_engine one;
            one.wait = milliseconds(1, one_chance_in(3) ? 1500 : 200);
            one.run = milliseconds(1, 400);
            one.turns_last = one_chance_in(2);
            one.close_delay = one_chance_in(3) ? milliseconds(0, 20) : 0ms;
            one.drops_closed = !one_chance_in(4);
            one.whole_answers = one_chance_in(3);
            engines["e" + std::to_string(number)] = one;
        }
        return engines;
    }

    void send(bool bad) {
        // The repeats of a request have its path.
        const std::string path = bad ? m_bad_path : paths.at(m_random.below(paths.size()));
        const std::string id = "r" + std::to_string(m_callers.size());
        m_callers.push_back({id, path, bad});
        m_router.send(path, 100, 10, bad ? std::string(bad_body) : id);
    }

    void simulate() {
        m_bad_path = paths.at(m_random.below(paths.size()));
        const std::uint64_t before = 4 + m_random.below(8);
        for (std::uint64_t number = 0; number < before; ++number) {
            send(!one_chance_in(3));
            m_router.run_for(milliseconds(0, 60));
        }
        m_router.run_for(one_chance_in(2) ? milliseconds(0, 5) : milliseconds(0, 150));
        if (one_chance_in(4)) {
            m_router.name_weights(2);
        }
        quarantine();
        for (std::uint64_t number = 0; number < 3; ++number) {
            send(one_chance_in(2));
            m_router.run_for(milliseconds(0, 20));
        }
    }

    /// Another router reports three engines that crashed while running the request.
    void quarantine() {
        const base::monotonic_time now = m_router.scheduler.now();
        m_reported_at = now;
        for (const char* name : {"x1", "x2", "x3"}) {
            m_router.quarantine.learn(
                {base::engine_name(name), now, now, {{bad_identity(), true}}, 0}, "r2");
        }
        // The first report is evaluated at once, the others with the next evaluation.
        m_quarantined_at = now + core::quarantine::suspects_tunables{}.evaluation_interval;
    }
    core::quarantine::request_identity bad_identity() {
        relay_call call = m_router.call_of(m_bad_path, 100, 10);
        core::quarantine::request_content content;
        content.method = call.message.method;
        content.host = call.host;
        content.target = call.message.target;
        content.body = bad_body;
        content.caller = "t";
        return core::quarantine::identity_of(content);
    }

    // ---- Checks ----

    void report_violation(std::string text) { m_violations.push_back(std::move(text)); }

    std::size_t arrivals_of(const caller& one) const {
        const auto& all = m_router.upstream.arrived;
        return std::count_if(all.begin(), all.end(),
                             [&](const arrival& each) { return each.request == one.id; });
    }
    void check_answer(const caller& one, const recorded_writer& got, coverage& seen) {
        const auto outcome = m_router.outcomes.find(one.id);
        if (got.final_answers + (got.aborted ? 1 : 0) != 1) {
            report_violation(one.id + " has " + std::to_string(got.final_answers) +
                             " final answers");
        }
        if (got.status == 503 && arrivals_of(one) > 0) {
            report_violation(one.id + " is reported as not run but reached an engine");
        }
        if (!one.is_repeatable() && arrivals_of(one) > 1) {
            report_violation(one.id + " reached engines more than once");
        }
        if (!one.bad) {
            seen.others += 1;
            if (got.status != 200) {
                report_violation(one.id + " is not quarantined but gets status " +
                                 std::to_string(got.status));
            }
            return;
        }
        if (outcome == m_router.outcomes.end()) {
            seen.refused_later += got.status == 503 ? 1 : 0;
            return;
        }
        const relay_outcome& told = outcome->second;
        seen.withdrawn += told.quarantined_waiting ? 1 : 0;
        seen.not_sent += got.status == 503 && told.dispatches == 0 ? 1 : 0;
        const bool began = begins_before_quarantine(one) > 0;
        seen.begun_before += began && !told.quarantined_waiting ? 1 : 0;
        if (told.quarantined_waiting && got.status != 502 && !got.aborted) {
            report_violation(one.id + " was withdrawn and gets status " +
                             std::to_string(got.status));
        }
        if (told.quarantined_waiting && began && !one.is_repeatable()) {
            report_violation(one.id + " had begun and was withdrawn");
        }
        const bool refused_late = told.refusal && arrivals_of(one) == 0;
        if (refused_late && told.refusal->cause != refusal_cause::quarantined) {
            report_violation(one.id + " is refused as " +
                             std::string(to_string(told.refusal->cause)));
        }
    }
    std::size_t begins_before_quarantine(const caller& one) const {
        const auto& all = m_router.upstream.begun;
        return std::count_if(all.begin(), all.end(), [&](const beginning& each) {
            return each.request == one.id && each.at < m_reported_at;
        });
    }

    /// After the quarantine no repeat is sent, and no waiting repeat begins except at engines that
    /// do not notice, or ignore, that its connection was closed.
    void check_engines() {
        std::set<std::string> bad;
        for (const caller& one : m_callers) {
            if (one.bad) {
                bad.insert(one.id);
            }
        }
        for (const arrival& one : m_router.upstream.arrived) {
            if (bad.contains(one.request) && one.at > m_quarantined_at) {
                report_violation(one.request + " was sent after the quarantine");
            }
        }
        for (const beginning& one : m_router.upstream.begun) {
            const queueing_engine& engine = m_router.upstream.engines.at(one.engine);
            const base::monotonic_time last = m_quarantined_at + engine.close_delay + wake_slack;
            if (bad.contains(one.request) && one.drops_closed && one.at > last) {
                report_violation(one.request + " began after the quarantine");
            }
        }
    }

    void check_no_leaks() {
        for (const auto& [name, engine] : m_router.registry.engines()) {
            if (engine.running != 0 || engine.pending_prefill_tokens != 0) {
                report_violation(name.value + " still counts requests after the run");
            }
        }
        if (m_router.service.active() != 0) {
            report_violation("the service still counts requests after the run");
        }
        for (const auto& failed : m_router.time.failures()) {
            report_violation("uncaught exception in " + failed.coroutine + ": " + failed.message);
        }
    }

    base::seeded_random m_random;
    queueing_router m_router;
    std::string m_bad_path;
    std::vector<caller> m_callers;
    base::monotonic_time m_reported_at{};     ///< When the crashes were reported.
    base::monotonic_time m_quarantined_at{};  ///< Latest time of the quarantine.
    std::vector<std::string> m_violations;
};

}  // namespace

Test(quarantine_races, invariants_hold_in_every_order) {
    coverage seen;
    std::size_t violations = 0;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        race one(seed);
        for (const std::string& each : one.run(seen)) {
            ++violations;
            cr_log_warn("seed %llu: %s", static_cast<unsigned long long>(seed), each.c_str());
        }
    }
    cr_log_info("withdrawn %zu, not sent %zu, begun before %zu, refused later %zu, others %zu",
                seen.withdrawn, seen.not_sent, seen.begun_before, seen.refused_later, seen.others);
    cr_assert_eq(violations, 0);
    cr_assert_gt(seen.withdrawn, 0);
    cr_assert_gt(seen.not_sent, 0);
    cr_assert_gt(seen.begun_before, 0);
    cr_assert_gt(seen.refused_later, 0);
    cr_assert_gt(seen.others, 0);
}
