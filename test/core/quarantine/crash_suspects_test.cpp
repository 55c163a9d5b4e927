/// A crash is charged to the request that caused it, and hardly ever to one that was merely in
/// progress.
#include "ferryroad/core/quarantine/crash_suspects.hpp"

#include "ferryroad/base/random.hpp"

#include <criterion/criterion.h>
#include <rapidcheck.h>

#include <algorithm>
#include <map>
#include <string>
#include <vector>

namespace {

using namespace ferryroad;
using namespace ferryroad::core::quarantine;
using namespace std::chrono_literals;

request_identity request(std::uint64_t number) {
    return {{number, number * 7919}};
}

engine_crash crash(const std::string& engine, base::monotonic_time at,
                   const std::vector<std::uint64_t>& silent,
                   const std::vector<std::uint64_t>& running = {}) {
    engine_crash made;
    made.engine = base::engine_name(engine);
    made.at = at;
    made.began = at - 20ms;
    for (const std::uint64_t number : silent) {
        made.candidates.push_back({request(number), true});
    }
    for (const std::uint64_t number : running) {
        made.candidates.push_back({request(number), false});
    }
    return made;
}

constexpr base::monotonic_time start{std::chrono::hours(1)};

part_identity part(std::uint64_t number) {
    return {{number, number * 104729}};
}

struct request_with_parts {
    std::uint64_t number;
    std::vector<std::uint64_t> parts;
    bool silent = false;
};

engine_crash crash_with_parts(int engine, base::monotonic_time at,
                              const std::vector<request_with_parts>& in_progress) {
    engine_crash made = crash("p" + std::to_string(engine), at, {});
    for (const request_with_parts& one : in_progress) {
        made.candidates.push_back({request(one.number), one.silent, {}});
        for (const std::uint64_t number : one.parts) {
            made.candidates.back().parts.push_back(part(number));
        }
    }
    return made;
}

}  // namespace

Test(crash_suspects, two_crashes_alone_are_enough) {
    crash_suspects suspects;
    cr_assert(suspects.record_crash(crash("a", start, {1}), start));
    cr_assert_null(suspects.find(request(1), start + 1s), "one crash is chance");
    suspects.record_crash(crash("b", start + 2s, {1}), start + 2s);
    const auto* found = suspects.find(request(1), start + 3s);
    cr_assert_not_null(found);
    cr_assert_eq(found->crashes, 2);
    cr_assert_eq(found->engines.size(), 2);
    cr_assert_null(suspects.find(request(2), start + 3s));
}

Test(crash_suspects, reports_of_other_routers_are_waited_for) {
    crash_suspects suspects;
    suspects.record_crash(crash("a", start, {1}), start);
    suspects.record_crash(crash("b", start + 2s, {1}), start + 2s);
    cr_assert_null(suspects.find(request(1), start + 2s));
    // Another router had two more requests in progress at each of the two engines.
    suspects.record_crash(crash("a", start, {2, 3}), start + 2s + 30ms);
    suspects.record_crash(crash("b", start + 2s, {4, 5}), start + 2s + 30ms);
    cr_assert_null(suspects.find(request(1), start + 10s), "a third of two crashes");
    suspects.record_crash(crash("c", start + 11s, {1, 6}), start + 11s);
    cr_assert_not_null(suspects.find(request(1), start + 12s), "three are enough");
}

Test(crash_suspects, a_request_with_output_is_charged_only_if_no_silent_one_ran) {
    crash_suspects suspects;
    for (int number = 0; number < 4; ++number) {
        const auto at = start + number * 2s;
        suspects.record_crash(crash("a" + std::to_string(number), at, {100U + number}, {1}), at);
    }
    cr_assert_null(suspects.find(request(1), start + 20s));
    for (int number = 0; number < 4; ++number) {
        const auto at = start + 30s + number * 2s;
        cr_assert_null(suspects.find(request(1), at), "a silent request had run with it each time");
        suspects.record_crash(crash("b" + std::to_string(number), at, {}, {1}), at);
    }
    cr_assert_not_null(suspects.find(request(1), start + 40s));
}

Test(crash_suspects, a_crash_counts_against_no_other_request_once_its_cause_is_known) {
    crash_suspects suspects;
    for (int number = 0; number < 4; ++number) {
        const auto at = start + number * 2s;
        suspects.record_crash(crash("a" + std::to_string(number), at, {1}), at);
    }
    cr_assert_not_null(suspects.find(request(1), start + 8s));
    for (int number = 0; number < 4; ++number) {
        const auto at = start + 8s + number * 10ms;  // These requests were dispatched before.
        suspects.record_crash(crash("b" + std::to_string(number), at, {1, 2}), at);
    }
    cr_assert_null(suspects.find(request(2), start + 20s));
}

Test(crash_suspects, a_success_clears_a_request) {
    crash_suspects suspects;
    suspects.record_crash(crash("a", start, {1}), start);
    cr_assert(suspects.record_success(request(1), start + 1s));
    cr_assert_not(suspects.record_success(request(1), start + 1s), "nothing left to clear");
    suspects.record_crash(crash("b", start + 2s, {1}), start + 2s);
    cr_assert_null(suspects.find(request(1), start + 3s));
    suspects.record_crash(crash("c", start + 14s, {1}), start + 14s);
    suspects.record_crash(crash("d", start + 16s, {1}), start + 16s);
    cr_assert_not_null(suspects.find(request(1), start + 30s), "the good end is long past");
    cr_assert(suspects.record_success(request(1), start + 31s), "a run that began before");
    cr_assert_null(suspects.find(request(1), start + 32s));
}

Test(crash_suspects, a_frequent_request_is_not_charged) {
    crash_suspects suspects;
    for (int number = 0; number < 50; ++number) {
        const auto at = start + number * 400ms;
        suspects.record_success(request(1), at);
        suspects.record_crash(crash("a" + std::to_string(number), at + 1ms, {1}), at + 1ms);
        cr_assert_null(suspects.find(request(1), at + 300ms));
    }
}

Test(crash_suspects, reports_of_several_routers_count_as_one_crash) {
    crash_suspects suspects;
    for (int reporter = 0; reporter < 7; ++reporter) {
        // The last routers were suspended when the engine crashed and report it late.
        engine_crash late = crash("a", start + reporter * 600ms, {1});
        late.began = start - 20ms;
        suspects.record_crash(late, start + 5s);
    }
    cr_assert_eq(suspects.crashes(), 1);
    cr_assert_null(suspects.find(request(1), start + 10s));
    cr_assert_not(suspects.record_crash(crash("a", start, {1}), start + 11s), "nothing new");
}

Test(crash_suspects, exchanges_after_a_crash_were_with_the_next_process) {
    crash_suspects suspects;
    suspects.record_crash(crash("a", start, {1}), start);
    suspects.record_crash(crash("a", start + 3s, {1}), start + 3s);
    cr_assert_eq(suspects.crashes(), 2);
    cr_assert_not_null(suspects.find(request(1), start + 4s));
    suspects.record_crash(crash("a", start + 3s + 100ms, {2}), start + 3s + 100ms);
    cr_assert_eq(suspects.crashes(), 2, "another router's report of the second end");
}

Test(crash_suspects, a_repeated_quarantine_lasts_longer) {
    crash_suspects suspects;
    suspects.record_crash(crash("a", start, {1}), start);
    suspects.record_crash(crash("b", start + 2s, {1}), start + 2s);
    cr_assert_not_null(suspects.find(request(1), start + 3s));
    cr_assert_null(suspects.find(request(1), start + 11min), "what was wrong may have been fixed");
    suspects.record_crash(crash("c", start + 12min, {1}), start + 12min);
    cr_assert_not_null(suspects.find(request(1), start + 12min + 1s), "one is enough now");
    cr_assert_not_null(suspects.find(request(1), start + 31min));
    cr_assert_null(suspects.find(request(1), start + 33min));
}

Test(crash_suspects, memory_is_bounded_however_many_requests_end_engines) {
    suspects_tunables tunables;
    tunables.crashes = 50;
    tunables.quarantined = 20;
    crash_suspects suspects(tunables);
    for (std::uint64_t number = 0; number < 500; ++number) {
        const auto at = start + number * 3s;
        for (const char* engine : {"a", "b"}) {
            suspects.record_crash(crash(engine + std::to_string(number), at, {number}), at);
        }
        cr_assert_not_null(suspects.find(request(number), at + 1s));
        cr_assert_leq(suspects.crashes(), 50);
        cr_assert_leq(suspects.quarantined(at + 1s), 20);
    }
}

Test(crash_suspects, the_order_of_reports_does_not_matter) {
    rc::check([] {
        std::vector<engine_crash> reports;
        const int crashes = *rc::gen::inRange(1, 12);
        for (int number = 0; number < crashes; ++number) {
            const auto in_progress = *rc::gen::container<std::vector<std::uint64_t>>(
                rc::gen::inRange<std::uint64_t>(0, 8));
            reports.push_back(
                crash("e" + std::to_string(number % 4), start + number * 2s, in_progress));
        }
        std::vector<engine_crash> shuffled = reports;
        std::rotate(shuffled.begin(), shuffled.begin() + *rc::gen::inRange(0, crashes),
                    shuffled.end());
        crash_suspects first;
        crash_suspects second;
        for (const auto& one : reports) {
            first.record_crash(one, start + 1min);
        }
        for (const auto& one : shuffled) {
            second.record_crash(one, start + 1min);
            second.record_crash(one, start + 1min);
        }
        for (std::uint64_t number = 0; number < 8; ++number) {
            const bool held = first.find(request(number), start + 2min) != nullptr;
            RC_ASSERT(held == (second.find(request(number), start + 2min) != nullptr));
        }
    });
}

Test(crash_suspects, a_part_that_different_requests_have_in_common_is_found) {
    crash_suspects suspects;
    for (int number = 0; number < 3; ++number) {
        cr_assert_null(suspects.find_part({part(1)}, start + number * 1s));
        const auto at = start + number * 1s;
        // Each time beside a silent request, and with the prompt's first part in common, too.
        const std::uint64_t own = 100U + 10U * static_cast<std::uint64_t>(number);
        suspects.record_part_successes({part(9)}, at - 10ms);
        suspects.record_crash(
            crash_with_parts(number, at, {{own, {9, 1}}, {own + 1, {9, own}, true}}), at);
    }
    cr_assert_null(suspects.find_part({part(1)}, start + 2s), "other routers' reports may come");
    const auto* found = suspects.find_part({part(7), part(1)}, start + 3s);
    cr_assert_not_null(found);
    cr_assert_eq(found->crashes, 3);
    cr_assert_eq(found->engines.size(), 3);
    cr_assert_null(suspects.find_part({part(9)}, start + 3s));
    cr_assert_null(suspects.find(request(101), start + 3s));
    cr_assert_null(suspects.find(request(100), start + 3s), "the part is to blame");
}

Test(crash_suspects, of_two_parts_that_come_together_only_the_narrower_is_quarantined) {
    crash_suspects suspects;
    for (int number = 0; number < 6; ++number) {
        const auto at = start + number * 1s;
        suspects.record_crash(
            crash_with_parts(number, at, {{100U + static_cast<std::uint64_t>(number), {1, 2}}}),
            at);
    }
    cr_assert_not_null(suspects.find_part({part(2)}, start + 10s));
    cr_assert_null(suspects.find_part({part(1)}, start + 10s));
}

Test(crash_suspects, the_parts_of_one_request_that_is_repeated_are_not_quarantined) {
    crash_suspects suspects;
    for (int number = 0; number < 6; ++number) {
        const auto at = start + number * 1s;
        suspects.record_crash(crash_with_parts(number, at, {{5, {1}, true}}), at);
    }
    cr_assert_not_null(suspects.find(request(5), start + 10s));
    cr_assert_null(suspects.find_part({part(1)}, start + 10s));
}

Test(crash_suspects, repeats_of_requests_with_a_part_do_not_hide_it) {
    crash_suspects suspects;
    for (int number = 0; number < 4; ++number) {
        const auto at = start + number * 1s;
        const auto repeated = static_cast<std::uint64_t>(number / 2);
        suspects.record_crash(crash_with_parts(number, at, {{100 + repeated, {1}, true}}), at);
        suspects.find(request(100), at + 500ms);
    }
    cr_assert_not_null(suspects.find_part({part(1)}, start + 10s));
}

Test(crash_suspects, a_success_clears_a_part) {
    crash_suspects suspects;
    for (int number = 0; number < 9; ++number) {
        const auto at = start + number * 12s;
        const auto own = 100U + static_cast<std::uint64_t>(number);
        suspects.record_crash(crash_with_parts(number, at, {{own, {1}}}), at);
        cr_assert_null(suspects.find_part({part(1)}, at + 1s), "crash %d", number);
        if (number % 2 == 1) {
            cr_assert(suspects.record_part_successes({part(1), part(2)}, at + 1s) ==
                      std::vector<part_identity>{part(1)});
        }
    }
    for (int number = 0; number < 2; ++number) {
        const auto at = start + 120s + number * 1s;
        const auto own = 200U + static_cast<std::uint64_t>(number);
        suspects.record_crash(crash_with_parts(20 + number, at, {{own, {1}}}), at);
    }
    cr_assert_not_null(suspects.find_part({part(1)}, start + 130s));
    cr_assert(suspects.record_part_successes({part(1)}, start + 131s) ==
              std::vector<part_identity>{part(1)});
    cr_assert_null(suspects.find_part({part(1)}, start + 131s));
}

Test(crash_suspects, one_crash_after_its_quarantine_quarantines_a_part_for_longer) {
    crash_suspects suspects;
    for (int number = 0; number < 3; ++number) {
        const auto own = 100U + static_cast<std::uint64_t>(number);
        suspects.record_crash(crash_with_parts(number, start, {{own, {1}}}), start);
    }
    const auto* first = suspects.find_part({part(1)}, start + 1s);
    cr_assert_not_null(first);
    const auto over = first->until;
    suspects.record_crash(crash_with_parts(7, over + 1s, {{200, {1}}}), over + 1s);
    const auto* again = suspects.find_part({part(1)}, over + 2s);
    cr_assert_eq(again->times, 2);
    cr_assert_geq((again->until - over).count(), base::duration(119s).count());
}

Test(crash_suspects, memory_for_parts_is_bounded) {
    suspects_tunables tunables;
    tunables.crashes = 50;
    tunables.quarantined = 20;
    crash_suspects suspects(tunables);
    int engine = 0;
    for (std::uint64_t number = 1; number < 200; ++number) {
        const auto at = start + number * 3s;
        for (std::uint64_t own = 0; own < 3; ++own) {
            suspects.record_crash(crash_with_parts(++engine, at, {{number * 10 + own, {number}}}),
                                  at);
        }
        cr_assert_not_null(suspects.find_part({part(number)}, at + 1s));
        cr_assert_leq(suspects.quarantined_parts(), 20);
    }
}

namespace {

/// Simulated pool in which some requests crash engines. Callers repeat requests that were lost.
struct pool_model {
    std::size_t engines = 8;
    double ordinary_per_s = 80;
    std::size_t bad = 3;
    double bad_per_s = 8;  ///< Rate of each bad request.
    double random_crashes_per_s = 0;
    double seconds = 30;
};

struct model_result {
    std::size_t ordinary = 0;
    std::size_t ordinary_refused = 0;
    std::map<std::uint64_t, std::size_t> crashed_by;  ///< Number of crashes by bad request.
};

struct running_request {
    std::uint64_t number;
    double ends_at;
};

constexpr double step_s = 0.001;
constexpr double run_s = 0.05;
constexpr double crash_after_s = 0.02;
constexpr double restart_s = 2.2;
constexpr std::size_t slots = 8;
constexpr std::uint64_t first_ordinary = 1000;

model_result simulate(const pool_model& model, std::uint64_t seed) {
    base::seeded_random random(seed);
    crash_suspects suspects;
    std::vector<std::vector<running_request>> running(model.engines);
    std::vector<double> back_at(model.engines, 0);
    std::vector<std::uint64_t> repeats;
    model_result result;
    std::uint64_t next = first_ordinary;
    const auto moment = [](double seconds) { return start + base::from_seconds(seconds); };
    const auto crash_engine = [&](std::size_t index, double at) {
        std::vector<std::uint64_t> in_progress;
        for (const running_request& one : running[index]) {
            in_progress.push_back(one.number);
            if (one.number >= first_ordinary) {
                repeats.push_back(one.number);  // The caller retries.
            }
        }
        running[index].clear();
        back_at[index] = at + restart_s;
        suspects.record_crash(crash("e" + std::to_string(index), moment(at), in_progress),
                              moment(at));
    };
    const auto send = [&](std::uint64_t number, double at) {
        const std::size_t index = random.below(model.engines);
        if (at < back_at[index] || running[index].size() >= slots) {
            return;  // The engine is down or full and refuses the request.
        }
        if (suspects.find(request(number), moment(at)) != nullptr) {
            result.ordinary_refused += number >= first_ordinary ? 1 : 0;
            return;
        }
        const bool is_bad = number < first_ordinary;
        running[index].push_back({number, at + (is_bad ? crash_after_s : run_s)});
    };
    for (double at = 0; at < model.seconds; at += step_s) {
        if (random.unit() < model.ordinary_per_s * step_s) {
            ++result.ordinary;
            send(next++, at);
        }
        for (const std::uint64_t number : std::exchange(repeats, {})) {
            send(number, at);
        }
        for (std::uint64_t number = 0; number < model.bad; ++number) {
            if (random.unit() < model.bad_per_s * step_s) {
                send(number, at);
            }
        }
        for (std::size_t index = 0; index < model.engines; ++index) {
            const bool by_chance = random.unit() < model.random_crashes_per_s * step_s /
                                                       static_cast<double>(model.engines);
            if (by_chance && at >= back_at[index]) {
                crash_engine(index, at);
                continue;
            }
            for (const running_request& one : std::vector(running[index])) {
                if (one.ends_at > at) {
                    continue;
                }
                if (one.number < first_ordinary) {
                    ++result.crashed_by[one.number];
                    crash_engine(index, at);
                    break;
                }
                suspects.record_success(request(one.number), moment(at));
                std::erase_if(running[index],
                              [&](const auto& other) { return other.number == one.number; });
            }
        }
    }
    return result;
}

}  // namespace

Test(crash_suspects, bad_requests_are_found_and_ordinary_ones_served) {
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        const model_result result = simulate({}, seed);
        cr_assert_leq(result.ordinary_refused * 1000, result.ordinary, "seed %lu: %zu of %zu", seed,
                      result.ordinary_refused, result.ordinary);
        for (const auto& [number, ended] : result.crashed_by) {
            cr_assert_leq(ended, 5, "seed %lu: request %lu ended %zu engines", seed, number, ended);
        }
    }
}

Test(crash_suspects, random_crashes_hardly_ever_quarantine_a_request) {
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        pool_model model;
        model.bad = 0;
        model.ordinary_per_s = 800;
        model.random_crashes_per_s = 2;
        const model_result result = simulate(model, seed);
        cr_assert_leq(result.ordinary_refused * 1000, result.ordinary, "seed %lu: %zu of %zu", seed,
                      result.ordinary_refused, result.ordinary);
    }
}
