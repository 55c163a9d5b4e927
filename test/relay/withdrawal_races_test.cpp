/// A request that waits at an engine whose weights become too old is withdrawn, and retried at
/// another engine if its route allows that. At the same time the engine may begin or refuse the
/// request, the connection may break, the caller may disconnect, or the deadline may pass. Each
/// seed generates engines, requests and announcements of new weights such that these events are a
/// few milliseconds apart, in varying order, and checks invariants that must hold in any order.
#include "ferryroad/base/random.hpp"
#include "test/relay/queueing_upstream.hpp"

#include <algorithm>
#include <set>

using namespace ferryroad;
using namespace ferryroad::relay;
using namespace ferryroad::relay::test;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t seeds = 600;
/// Events are placed within so many milliseconds of each other, so that their order varies.
constexpr std::uint64_t max_offset_ms = 3;
/// From the router's last check of a deadline to the end of the coroutine that checks it.
constexpr base::duration answer_slack = 5ms;
/// Longer than any request takes from its arrival to the end of its answer.
constexpr base::duration longest_request = 25s;
constexpr base::duration route_timeout = 10s;

/// A response writer whose caller may disconnect. Used from the scheduler's thread.
class leaving_writer final : public recorded_writer {
  public:
    leaving_writer(runtime::scheduler& scheduler, std::optional<base::monotonic_time> leaves_at)
        : recorded_writer(scheduler), m_scheduler(scheduler), m_leaves_at(leaves_at) {}

    runtime::task<void> wait_closed() override {
        const base::monotonic_time until = m_leaves_at.value_or(m_scheduler.now() + 1h);
        co_await m_scheduler.sleep_until(until);
    }
    bool leaves() const { return m_leaves_at.has_value(); }

  private:
    runtime::scheduler& m_scheduler;
    std::optional<base::monotonic_time> m_leaves_at;
};

/// One caller, its request and its response.
struct caller {
    std::string id;
    std::string path;
    base::monotonic_time sent_at{};
    base::monotonic_time deadline{};
    std::unique_ptr<leaving_writer> writer;
    std::optional<base::monotonic_time> ended_at;

    bool is_repeatable() const { return path == "/safe/" || path == "/resumable/"; }
    bool is_stream() const { return path == "/stream/" || path == "/resumable/"; }
};

struct announcement {
    std::uint64_t version = 0;
    base::monotonic_time at{};
    base::duration learnt_after{};  ///< Until the router learns of it.
};

/// Counts of what happened over all seeds, to show that each checked case did occur.
struct coverage {
    std::size_t withdrawn = 0;
    std::size_t served_elsewhere = 0;    ///< Got status 200 after a withdrawal.
    std::size_t refused_after = 0;       ///< Got status 503 after a withdrawal.
    std::size_t unknown_after = 0;       ///< Got status 502 after a withdrawal.
    std::size_t begun_nevertheless = 0;  ///< Began at an engine that it was withdrawn from.
    std::size_t begun_outdated = 0;      ///< Began on outdated weights.
    std::size_t left = 0;
    std::size_t broken_streams = 0;
    std::size_t repeated = 0;
};

/// The simulation and checks of one seed.
class race {
  public:
    explicit race(std::uint64_t seed) : m_random(seed), m_router(draw_engines(), seed) {
        m_router.upstream.connect_time = pick<base::duration>({0ms, 1ms, 20ms, 300ms});
        m_router.upstream.vary = [this](const queueing_engine& engine, const dispatch& sent) {
            return vary(engine, sent);
        };
        declare();
        draw_announcements();
        draw_weights();
        draw_callers();
    }
    ~race() { m_router.scheduler.kill(); }
    race(const race&) = delete;
    race& operator=(const race&) = delete;

    /// @return the violated invariants, one line each.
    std::vector<std::string> run(coverage& seen) {
        m_router.time.run_until(m_last_arrival + longest_request);
        for (const caller& one : m_callers) {
            check_answer(one);
            check_runs(one);
            check_dispatches(one);
        }
        check_outdated();
        check_retries();
        check_no_leaks();
        count_cases(seen);
        return m_violations;
    }

  private:
    // ---- Generation ----

    bool chance(double share) { return m_random.unit() < share; }
    base::duration up_to(base::duration most) {
        const auto bound = static_cast<std::uint64_t>(base::to_milliseconds(most)) + 1;
        return std::chrono::milliseconds(m_random.below(bound));
    }
    template <typename T>
    T pick(const std::vector<T>& among) {
        return among[m_random.below(among.size())];
    }
    /// @return a time shortly before, at or shortly after another.
    base::monotonic_time around(base::monotonic_time moment) {
        const auto offset = static_cast<int>(m_random.below(2 * max_offset_ms + 1));
        return moment + std::chrono::milliseconds(offset - static_cast<int>(max_offset_ms));
    }
    /// @return a limit that follows from an announcement: the router's own limit, the end of its
    /// wait for a refusal, or the latest time that is allowed.
    base::monotonic_time draw_limit() {
        const base::monotonic_time named = pick(m_announcements).at;
        const base::duration limit = outdated_limit_for(queueing_router::allowed);
        const base::duration refusal_wait = driver_tunables{}.refusal_wait;
        return named +
               pick<base::duration>({limit, limit, limit + refusal_wait, queueing_router::allowed});
    }

    std::map<std::string, queueing_engine> draw_engines() {
        std::map<std::string, queueing_engine> engines;
        const std::uint64_t count = 2 + m_random.below(4);
        for (std::uint64_t index = 1; index <= count; ++index) {
            queueing_engine one;
            one.drops_closed = chance(0.6);
            one.refuses_at_end = chance(0.6);
            one.close_delay = chance(0.5) ? base::duration{} : up_to(100ms);
            engines["e" + std::to_string(index)] = one;
        }
        return engines;
    }

    void declare() {
        core::traffic::declaration declared = relay_fixture::declared(2);
        for (core::traffic::route& one : declared.routes) {
            one.timeout = route_timeout;
            one.attempts = 1 + static_cast<std::uint32_t>(m_random.below(2));
            one.target_latency = pick<base::duration>({300ms, 2s, 6s});
            m_attempts[one.path_prefix] = one.attempts;
        }
        m_router.policies.offer(std::move(declared));
        m_router.policies.confirm(m_router.scheduler.now());
    }

    void at(base::monotonic_time when, std::function<void()> work) {
        m_router.time.at(when, m_router.scheduler.process(), std::move(work));
    }

    void draw_announcements() {
        const base::monotonic_time start = m_router.scheduler.now();
        const base::duration wait = chance(0.5) ? 1ms : 1ms + up_to(6s);
        m_announcements.push_back({2, start + wait, chance(0.6) ? base::duration{} : up_to(400ms)});
        if (chance(0.3)) {
            const base::monotonic_time second = m_announcements[0].at + 500ms + up_to(6s);
            m_announcements.push_back({3, second, chance(0.6) ? base::duration{} : up_to(400ms)});
        }
        for (const announcement& one : m_announcements) {
            at(one.at, [this] {
                confirm();
                ++m_unknown_announcements;
            });
            at(one.at + one.learnt_after, [this, one] {
                m_router.policies.add_named_version("m", one.version);
                --m_unknown_announcements;
            });
        }
    }
    /// A copy of the policy is confirmed only if it includes all announcements.
    void confirm() {
        if (m_unknown_announcements == 0) {
            m_router.policies.confirm(m_router.scheduler.now());
        }
    }

    /// Some engines load the announced weights; the router may learn of it before its next
    /// dispatch.
    void draw_weights() {
        for (const auto& [name, engine] : m_router.upstream.engines) {
            for (const announcement& one : m_announcements) {
                if (chance(0.5)) {
                    continue;
                }
                const base::duration later = chance(0.3) ? 1ms : up_to(9s);
                const bool told = chance(0.5);
                at(one.at + later, [this, name = name, version = one.version, told] {
                    take_weights(name, version, told);
                });
            }
        }
    }
    void take_weights(const std::string& name, std::uint64_t version, bool told) {
        queueing_engine& engine = m_router.upstream.engines[name];
        engine.version = std::max(engine.version, version);
        if (told) {
            m_router.registry.record_version(base::engine_name(name), "m", engine.version);
        }
    }

    void draw_callers() {
        const std::uint64_t count = 8 + m_random.below(25);
        m_callers.resize(count);
        for (std::uint64_t index = 0; index < count; ++index) {
            draw_caller(m_callers[index], "r" + std::to_string(index));
        }
    }
    base::monotonic_time draw_arrival() {
        const base::monotonic_time start = m_router.scheduler.now();
        if (chance(0.1)) {
            return std::max(start, around(pick(m_announcements).at));
        }
        if (chance(0.1)) {
            return around(draw_limit());
        }
        const base::monotonic_time limit = draw_limit();
        const base::duration before = up_to(chance(0.5) ? 2s : 9s);
        return std::max(start, limit - before);
    }
    void draw_caller(caller& one, std::string id) {
        one.id = std::move(id);
        one.path = pick<std::string>({"/safe/", "/unsafe/", "/stream/", "/resumable/"});
        one.sent_at = draw_arrival();
        const base::duration time_left = chance(0.6) ? route_timeout : 200ms + up_to(9s);
        one.deadline = one.sent_at + time_left;
        std::optional<base::monotonic_time> leaves_at;
        if (chance(0.2)) {
            const base::monotonic_time moment =
                chance(0.4) ? around(draw_limit()) : one.sent_at + up_to(time_left);
            leaves_at = std::max(one.sent_at + 1ms, moment);
        }
        one.writer = std::make_unique<leaving_writer>(m_router.scheduler, leaves_at);
        const std::uint64_t input_tokens = pick<std::uint64_t>({300, 300, 5000, 42509});
        const std::uint64_t output_tokens = pick<std::uint64_t>({30, 30, 4000});
        m_last_arrival = std::max(m_last_arrival, one.sent_at);
        at(one.sent_at, [this, &one, time_left, input_tokens, output_tokens] {
            relay_call call = m_router.call_of(one.path, input_tokens, output_tokens);
            call.id.value = one.id;
            call.time_left = time_left;
            confirm();
            m_router.scheduler.spawn("call", serve(std::move(call), one));
        });
    }
    runtime::task<void> serve(relay_call call, caller& one) {
        co_await m_router.service.handle(std::move(call), *one.writer);
        one.ended_at = m_router.scheduler.now();
    }

    /// @return the time until shortly before or after a limit or the caller's deadline; nothing if
    /// that is past.
    std::optional<base::duration> until_limit(const dispatch& sent) {
        const base::monotonic_time now = m_router.scheduler.now();
        const base::monotonic_time moment =
            around(chance(0.2) ? now + sent.time_left : draw_limit());
        return moment > now ? std::optional(moment - now) : std::nullopt;
    }

    queueing_engine vary(queueing_engine engine, const dispatch& sent) {
        const std::string& target = sent.call->message.target;
        engine.whole_answers = target == "/safe/x" || target == "/unsafe/x";
        engine.turns_last = chance(0.5);
        engine.wait = 1ms + up_to(pick<base::duration>({300ms, 300ms, 3s, 9500ms}));
        engine.run = 5ms + up_to(pick<base::duration>({200ms, 2s, 9s}));
        if (chance(0.45)) {
            engine.wait = until_limit(sent).value_or(engine.wait);
        }
        if (chance(0.15)) {
            engine.refuses_after = chance(0.5) ? until_limit(sent) : std::optional(up_to(3s));
        }
        if (chance(0.15)) {
            const base::duration begin = engine.wait;
            const base::duration offset = up_to(4ms) - 2ms;
            engine.breaks_after = chance(0.5)
                                      ? std::optional(std::max<base::duration>(begin + offset, 1ms))
                                      : until_limit(sent);
        }
        engine.breaks_in_answer = chance(0.1);
        return engine;
    }

    // ---- Checks ----

    void report_violation(const std::string& what) { m_violations.push_back(what); }

    std::size_t begins_of(const caller& one) const {
        const auto& begun = m_router.upstream.begun;
        return std::count_if(begun.begin(), begun.end(),
                             [&](const beginning& each) { return each.request == one.id; });
    }
    std::size_t arrivals_of(const caller& one) const {
        const auto& arrived = m_router.upstream.arrived;
        return std::count_if(arrived.begin(), arrived.end(),
                             [&](const arrival& each) { return each.request == one.id; });
    }

    /// Each request gets exactly one response, complete or aborted, by its deadline, without
    /// missing or duplicate events.
    void check_answer(const caller& one) {
        const leaving_writer& got = *one.writer;
        if (!one.ended_at || *one.ended_at > one.deadline + answer_slack) {
            report_violation(one.id + " is not answered by its deadline");
        }
        if (got.final_answers + (got.aborted ? 1 : 0) != 1 || got.streams > 1) {
            report_violation(one.id + " has no response, or more than one");
        }
        if (got.aborted && got.streams == 0 && !got.leaves()) {
            report_violation(one.id + " was aborted without a response");
        }
        const std::string whole = event(1) + event(2);
        const bool complete = got.final_answers == 1 && got.streams == 1;
        if (complete && got.body != whole) {
            report_violation(one.id + " looks complete and is not");
        }
        if (got.streams == 1 && whole.compare(0, got.body.size(), got.body) != 0) {
            report_violation(one.id + " has events out of order");
        }
    }

    /// A request runs at most as often as its route allows, and not at all if its response says
    /// that it has not run.
    void check_runs(const caller& one) {
        static const std::set<unsigned> not_run = {408, 421, 429, 503};
        const std::size_t begins = begins_of(one);
        if (!one.is_repeatable() && begins > 1) {
            report_violation(one.id + " is not repeatable and began " + std::to_string(begins) +
                             " times");
        }
        if (begins > m_attempts.at(one.path)) {
            report_violation(one.id + " began more often than its route allows");
        }
        if (one.writer->final_answers == 1 && not_run.count(one.writer->status) == 1 &&
            begins > 0) {
            report_violation(one.id + " got status " + std::to_string(one.writer->status) +
                             " but began");
        }
    }

    /// The dispatches counted are those that reached an engine or timed out while connecting, and
    /// possibly one more that was cut short by the caller or the deadline.
    void check_dispatches(const caller& one) {
        const auto found = m_router.outcomes.find(one.id);
        if (found == m_router.outcomes.end()) {
            report_violation(one.id + " has no outcome");
            return;
        }
        const relay_outcome& outcome = found->second;
        const auto& unreached = m_router.upstream.unreached;
        const std::size_t arrivals =
            arrivals_of(one) + std::count(unreached.begin(), unreached.end(), one.id);
        const bool cut = one.writer->leaves() || *one.ended_at >= one.deadline;
        const std::size_t most = arrivals + (cut ? 1 : 0);
        if (outcome.dispatches < arrivals || outcome.dispatches > most) {
            report_violation(one.id + " counts " + std::to_string(outcome.dispatches) +
                             " dispatches, but " + std::to_string(arrivals) + " arrived");
        }
        if (outcome.withdrawals > arrivals) {
            report_violation(one.id + " counts more withdrawals than arrivals");
        }
    }

    /// @return when newer weights were first announced; nothing if there are none.
    std::optional<base::monotonic_time> outdated_since(std::uint64_t version) const {
        for (const announcement& one : m_announcements) {
            if (one.version > version) {
                return one.at;
            }
        }
        return std::nullopt;
    }

    /// No request begins on weights that are too old at an engine that drops closed connections or
    /// was given an earlier deadline.
    void check_outdated() {
        for (const beginning& one : m_router.upstream.begun) {
            const auto since = outdated_since(one.version);
            if (!since) {
                continue;
            }
            const base::monotonic_time limit = *since + queueing_router::allowed;
            if (one.at > limit && (one.drops_closed || one.told_end <= limit)) {
                report_violation(one.request + " began at " + one.engine + " " +
                                 std::to_string(base::to_milliseconds(one.at - *since)) +
                                 " ms after newer weights were announced");
            }
        }
    }

    std::size_t requests_within(base::monotonic_time after, base::monotonic_time until) const {
        return std::count_if(m_callers.begin(), m_callers.end(), [&](const caller& one) {
            return one.sent_at > after && one.sent_at <= until;
        });
    }
    /// In any window that ends with a retry, retries are within the reserve plus the share. A retry
    /// is charged when its connection starts to be opened.
    void check_retries() {
        const retry_settings allowed;
        std::set<std::string> seen;
        std::vector<base::monotonic_time> retries;
        for (const arrival& one : m_router.upstream.arrived) {
            if (seen.insert(one.request).second) {
                continue;
            }
            const base::monotonic_time paid = one.at - m_router.upstream.connect_time;
            retries.push_back(paid);
            const base::monotonic_time after = paid - allowed.window;
            const auto within =
                std::count_if(retries.begin(), retries.end(),
                              [&](base::monotonic_time each) { return each > after; });
            const auto requests = static_cast<double>(requests_within(after, paid));
            if (static_cast<double>(within) > allowed.reserve + allowed.share * requests) {
                report_violation(one.request + " was retried beyond the budget");
            }
        }
    }

    void check_no_leaks() {
        for (const auto& [name, engine] : m_router.registry.engines()) {
            if (engine.running != 0 || engine.unrepeatable != 0 ||
                engine.pending_prefill_tokens != 0) {
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

    void count_cases(coverage& seen) const {
        for (const caller& one : m_callers) {
            const auto found = m_router.outcomes.find(one.id);
            if (found == m_router.outcomes.end()) {
                continue;
            }
            count_request(one, found->second, seen);
        }
        for (const beginning& one : m_router.upstream.begun) {
            const auto since = outdated_since(one.version);
            seen.begun_outdated += since && one.at > *since ? 1 : 0;
        }
    }
    void count_request(const caller& one, const relay_outcome& outcome, coverage& seen) const {
        const leaving_writer& got = *one.writer;
        seen.left += got.aborted && got.leaves() ? 1 : 0;
        seen.broken_streams += got.aborted && got.streams == 1 ? 1 : 0;
        seen.repeated += arrivals_of(one) > 1 ? 1 : 0;
        if (outcome.withdrawals == 0) {
            return;
        }
        const bool served = got.final_answers == 1 && got.status == 200;
        ++seen.withdrawn;
        seen.served_elsewhere += served ? 1 : 0;
        seen.refused_after += got.status == 503 ? 1 : 0;
        seen.unknown_after += got.status == 502 ? 1 : 0;
        seen.begun_nevertheless += begins_of(one) > (served ? 1U : 0U) ? 1 : 0;
    }

    base::seeded_random m_random;
    queueing_router m_router;
    std::map<std::string, std::uint32_t> m_attempts;  ///< By the route's path.
    std::vector<announcement> m_announcements;        ///< In chronological order.
    int m_unknown_announcements = 0;  ///< Announcements that the router does not know yet.
    std::vector<caller> m_callers;
    base::monotonic_time m_last_arrival{};  ///< Arrival of the last caller.
    std::vector<std::string> m_violations;
};

/// Prints violations with their seed. @return the number of violations.
std::size_t violations_of(std::uint64_t seed, coverage& seen) {
    race one(seed);
    const std::vector<std::string> violations = one.run(seen);
    for (const std::string& each : violations) {
        cr_log_warn("seed %llu: %s", static_cast<unsigned long long>(seed), each.c_str());
    }
    return violations.size();
}

}  // namespace

Test(withdrawal_races, invariants_hold_in_every_order) {
    coverage seen;
    std::size_t violations = 0;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        violations += violations_of(seed, seen);
    }
    cr_log_info(
        "withdrawn %zu, then served %zu, refused %zu, unknown %zu, begun nevertheless %zu; "
        "begun outdated %zu, left %zu, broken streams %zu, repeated %zu",
        seen.withdrawn, seen.served_elsewhere, seen.refused_after, seen.unknown_after,
        seen.begun_nevertheless, seen.begun_outdated, seen.left, seen.broken_streams,
        seen.repeated);
    cr_assert_eq(violations, 0);
    cr_assert_gt(seen.withdrawn, 0);
    cr_assert_gt(seen.served_elsewhere, 0);
    cr_assert_gt(seen.refused_after, 0);
    cr_assert_gt(seen.unknown_after, 0);
    cr_assert_gt(seen.begun_nevertheless, 0);
    cr_assert_gt(seen.begun_outdated, 0);
    cr_assert_gt(seen.left, 0);
    cr_assert_gt(seen.broken_streams, 0);
    cr_assert_gt(seen.repeated, 0);
}

/// The process is paused while the connection is being opened, and the weights become too old
/// meanwhile. Nothing is sent, so that no withdrawal is counted and no retry is charged.
Test(withdrawal_races, an_unsent_dispatch_is_not_withdrawn) {
    queueing_router router({{"e1", {1, 100ms, 50ms}}});
    router.upstream.connect_time = 300ms;
    router.name_weights(2);
    router.run_for(7s);
    router.send("/stream/", 300, 30);
    router.run_for(100ms);
    router.scheduler.pause();
    router.run_for(800ms);
    router.scheduler.resume();
    router.run_for(3s);
    cr_assert(router.upstream.asked.empty());
    cr_assert_eq(router.outcomes.at("r0").withdrawals, 0);
    cr_assert_eq(router.outcomes.at("r0").dispatches, 0);
    cr_assert_eq(router.writers[0]->status, 503);
}

/// Newer weights are announced while a request waits at an engine that had the newest until then
/// and was not given a deadline for them, as the answer is long. The seeds reproduce such cases.
Test(withdrawal_races, an_announcement_applies_to_waiting_requests) {
    coverage seen;
    cr_assert_eq(violations_of(40, seen), 0);
    cr_assert_eq(violations_of(409, seen), 0);
    cr_assert_eq(violations_of(506, seen), 0);
}

/// The head of a non-streaming answer shows that its request has begun, so that it is not withdrawn
/// at the limit.
Test(withdrawal_races, a_whole_answer_that_began_in_time_is_not_cut) {
    queueing_engine whole{1, 100ms, 1200ms};
    whole.whole_answers = true;
    queueing_router router({{"e1", whole}});
    router.name_weights(2);
    router.run_for(7s);
    router.send("/unsafe/", 300, 4000);
    router.run_for(5s);
    cr_assert_eq(router.upstream.begun.size(), 1);
    cr_assert_eq(router.writers[0]->final_answers, 1);
    cr_assert_eq(router.writers[0]->status, 200);
    cr_assert_eq(router.outcomes.at("r0").withdrawals, 0);
}
