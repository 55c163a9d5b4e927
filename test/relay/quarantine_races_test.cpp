/// Repeats of one request wait at engines, have just begun there, or are on their way, as the
/// request is quarantined; newer weights may be named meanwhile. Each seed draws engines, requests
/// and moments close to each other, in every order; whatever the order, what the router owes to
/// callers and engines holds.
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
/// From the verdict to the end of the coroutines that it wakes.
constexpr base::duration wake_slack = 1ms;
constexpr base::duration run_time = 30s;  ///< Longer than all requests and answers last.
constexpr std::string_view bad_body = "bad";
constexpr std::array<const char*, 4> paths{"/safe/", "/unsafe/", "/stream/", "/resumable/"};

/// One caller.
struct caller {
    std::string id;
    std::string path;
    bool bad = false;

    bool is_repeatable() const { return path == "/safe/" || path == "/resumable/"; }
};

/// What happened over all seeds: a check of what never happens shows nothing.
struct coverage {
    std::size_t withdrawn = 0;      ///< As they waited at an engine.
    std::size_t not_sent = 0;       ///< Refused as not run; no engine had got them.
    std::size_t begun_before = 0;   ///< And not cut by the verdict.
    std::size_t refused_later = 0;  ///< Came after the verdict.
    std::size_t others = 0;         ///< Of other requests.
};

class race {
  public:
    explicit race(std::uint64_t seed) : m_random(seed), m_router(draw_engines(), seed, true) {
        m_router.upstream.connect_time = milliseconds(0, 40);
        // A good end would clear the request.
        m_router.upstream.vary = [](const queueing_engine& engine, const dispatch& sent) {
            queueing_engine one = engine;
            one.breaks_in_answer = sent.call->message.body == bad_body;
            return one;
        };
    }

    /// @return what was not as it must be.
    std::vector<std::string> run(coverage& seen) {
        play();
        m_router.run_for(run_time);
        for (std::size_t index = 0; index < m_callers.size(); ++index) {
            check_answer(m_callers[index], *m_router.writers[index], seen);
        }
        check_engines();
        check_books();
        return m_faults;
    }

  private:
    base::duration milliseconds(std::uint64_t least, std::uint64_t most) {
        return std::chrono::milliseconds(least + m_random.below(most - least + 1));
    }
    bool one_in(std::uint64_t count) { return m_random.below(count) == 0; }

    std::map<std::string, queueing_engine> draw_engines() {
        std::map<std::string, queueing_engine> engines;
        const std::uint64_t count = 2 + m_random.below(3);
        for (std::uint64_t number = 1; number <= count; ++number) {
            queueing_engine one;
            one.wait = milliseconds(1, one_in(3) ? 1500 : 200);
            one.run = milliseconds(1, 400);
            one.turns_last = one_in(2);
            one.close_delay = one_in(3) ? milliseconds(0, 20) : 0ms;
            one.drops_closed = !one_in(4);
            one.whole_answers = one_in(3);
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

    void play() {
        m_bad_path = paths.at(m_random.below(paths.size()));
        const std::uint64_t before = 4 + m_random.below(8);
        for (std::uint64_t number = 0; number < before; ++number) {
            send(!one_in(3));
            m_router.run_for(milliseconds(0, 60));
        }
        m_router.run_for(one_in(2) ? milliseconds(0, 5) : milliseconds(0, 150));
        if (one_in(4)) {
            m_router.name_weights(2);
        }
        quarantine();
        for (std::uint64_t number = 0; number < 3; ++number) {
            send(one_in(2));
            m_router.run_for(milliseconds(0, 20));
        }
    }

    /// Another router tells of three engines that ended under the request.
    void quarantine() {
        const base::monotonic_time now = m_router.scheduler.now();
        m_told_at = now;
        for (const char* name : {"x1", "x2", "x3"}) {
            m_router.quarantine.learn(
                {base::engine_name(name), now, now, {{bad_identity(), true}}, 0}, "r2");
        }
        // The first report is looked at, the next ones with the next look.
        m_quarantined_at = now + core::quarantine::suspects_tunables{}.look_pace;
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

    void fault(std::string text) { m_faults.push_back(std::move(text)); }

    std::size_t arrivals_of(const caller& one) const {
        const auto& all = m_router.upstream.arrived;
        return std::count_if(all.begin(), all.end(),
                             [&](const arrival& each) { return each.request == one.id; });
    }
    void check_answer(const caller& one, const recorded_writer& got, coverage& seen) {
        const auto outcome = m_router.outcomes.find(one.id);
        if (got.final_answers + (got.aborted ? 1 : 0) != 1) {
            fault(one.id + " has " + std::to_string(got.final_answers) + " final answers");
        }
        if (got.status == 503 && arrivals_of(one) > 0) {
            fault(one.id + " is said not to have run, and reached an engine");
        }
        if (!one.is_repeatable() && arrivals_of(one) > 1) {
            fault(one.id + " reached engines more than once");
        }
        if (!one.bad) {
            seen.others += 1;
            if (got.status != 200) {
                fault(one.id + " has done nothing and gets " + std::to_string(got.status));
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
        const bool began = begins_before_verdict(one) > 0;
        seen.begun_before += began && !told.quarantined_waiting ? 1 : 0;
        if (told.quarantined_waiting && got.status != 502 && !got.aborted) {
            fault(one.id + " was withdrawn and gets " + std::to_string(got.status));
        }
        if (told.quarantined_waiting && began && !one.is_repeatable()) {
            fault(one.id + " had begun and was withdrawn");
        }
        const bool refused_late = told.refusal && arrivals_of(one) == 0;
        if (refused_late && told.refusal->cause != refusal_cause::quarantined) {
            fault(one.id + " is refused as " + std::string(to_string(told.refusal->cause)));
        }
    }
    std::size_t begins_before_verdict(const caller& one) const {
        const auto& all = m_router.upstream.begun;
        return std::count_if(all.begin(), all.end(), [&](const beginning& each) {
            return each.request == one.id && each.at < m_told_at;
        });
    }

    /// From the verdict on nothing of the request is sent, and nothing that waits begins, but at
    /// engines that don't see, or don't heed, that its connection was closed.
    void check_engines() {
        std::set<std::string> bad;
        for (const caller& one : m_callers) {
            if (one.bad) {
                bad.insert(one.id);
            }
        }
        for (const arrival& one : m_router.upstream.arrived) {
            if (bad.contains(one.request) && one.at > m_quarantined_at) {
                fault(one.request + " is sent after the verdict");
            }
        }
        for (const beginning& one : m_router.upstream.begun) {
            const queueing_engine& engine = m_router.upstream.engines.at(one.engine);
            const base::monotonic_time last = m_quarantined_at + engine.close_delay + wake_slack;
            if (bad.contains(one.request) && one.drops_closed && one.at > last) {
                fault(one.request + " begins after the verdict");
            }
        }
    }

    void check_books() {
        for (const auto& [name, engine] : m_router.registry.engines()) {
            if (engine.running != 0 || engine.pending_prefill_tokens != 0) {
                fault(name.value + " still counts requests");
            }
        }
        if (m_router.service.active() != 0) {
            fault("the service still counts requests");
        }
        for (const auto& failed : m_router.time.failures()) {
            fault("an exception left " + failed.coroutine + ": " + failed.message);
        }
    }

    base::seeded_random m_random;
    queueing_router m_router;
    std::string m_bad_path;
    std::vector<caller> m_callers;
    base::monotonic_time m_told_at{};         ///< Of the crashes.
    base::monotonic_time m_quarantined_at{};  ///< At the latest.
    std::vector<std::string> m_faults;
};

}  // namespace

Test(quarantine_races, every_order_keeps_the_rules) {
    coverage seen;
    std::size_t faults = 0;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        race one(seed);
        for (const std::string& each : one.run(seen)) {
            ++faults;
            cr_log_warn("seed %llu: %s", static_cast<unsigned long long>(seed), each.c_str());
        }
    }
    cr_log_info("withdrawn %zu, not sent %zu, begun before %zu, refused later %zu, others %zu",
                seen.withdrawn, seen.not_sent, seen.begun_before, seen.refused_later, seen.others);
    cr_assert_eq(faults, 0);
    cr_assert_gt(seen.withdrawn, 0);
    cr_assert_gt(seen.not_sent, 0);
    cr_assert_gt(seen.begun_before, 0);
    cr_assert_gt(seen.refused_later, 0);
    cr_assert_gt(seen.others, 0);
}
