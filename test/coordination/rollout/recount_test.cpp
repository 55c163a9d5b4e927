/// Compares the decisions of a rollout step with a reference model that counts the whole fleet
/// again for each engine: small fleets in all their states, and one of the size that the product is
/// designed for.
#include "ferryroad/base/random.hpp"
#include "ferryroad/coordination/rollout/weights_rollout.hpp"

#include <criterion/criterion.h>
#include <rapidcheck.h>

#include <algorithm>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <vector>

using namespace ferryroad;
using namespace ferryroad::coordination::rollout;
using namespace std::chrono_literals;

namespace {

constexpr base::monotonic_time start{100s};
constexpr base::duration period = 50ms;
constexpr std::uint64_t newest = 3;
const rollout_tunables tunables;

/// State of a started engine.
struct started_engine {
    bool calling = false;
    bool unanswered = false;
    bool ready = false;
    bool ordering = false;
    bool loading = false;
    base::monotonic_time last_order{};
};

struct counts {
    std::size_t total = 0;
    std::size_t loading = 0;
    std::size_t unanswered = 0;
    std::size_t repeating = 0;
    std::size_t waiting = 0;
    base::duration longest{};
};

/// Reference model: decides like the rollout, but counts all engines again for each decision.
struct recount_model {
    std::map<base::engine_name, started_engine> started;
    rollout_pace pace{
        tunables.pace};  ///< No load ends with a report, so its estimate never changes.

    counts count(const std::string& model, const std::vector<engine_view>& engines) const {
        counts all;
        for (const engine_view& one : engines) {
            if (one.model != model) {
                continue;
            }
            ++all.total;
            const auto found = started.find(one.name);
            if (found != started.end()) {
                const bool unanswered = found->second.unanswered;
                all.loading += unanswered ? 0 : 1;
                all.unanswered += unanswered ? 1 : 0;
                all.repeating += unanswered && found->second.ordering ? 1 : 0;
            } else if (one.version < newest) {
                ++all.waiting;
                all.longest = std::max(all.longest, one.outdated_for);
            }
        }
        return all;
    }
    std::size_t allowed(const counts& all) const {
        return pace.allowed(all.total, all.waiting, tunables.order_within - all.longest);
    }
    bool may_expose(const counts& all, base::duration outdated_for) const {
        const double elapsed =
            base::to_seconds(outdated_for) / base::to_seconds(tunables.order_within);
        return all.loading + all.unanswered < pace.max_exposed(all.total, elapsed);
    }
    void drop(const std::vector<engine_view>& engines) {
        for (const engine_view& one : engines) {
            const auto found = started.find(one.name);
            if (found != started.end() && !found->second.calling && one.version >= newest) {
                started.erase(found);
            }
        }
    }
    std::vector<const engine_view*> by_urgency(const std::vector<engine_view>& engines) const {
        std::vector<const engine_view*> outdated;
        for (const engine_view& one : engines) {
            if (one.version < newest && !started.contains(one.name)) {
                outdated.push_back(&one);
            }
        }
        std::map<std::string, bool> hurried;
        for (const engine_view* one : outdated) {
            const counts all = hurried.contains(one->model) ? counts{} : count(one->model, engines);
            hurried.try_emplace(one->model,
                                pace.is_behind_schedule(all.total, all.waiting,
                                                        tunables.order_within - all.longest));
        }
        const auto rank = [&](const engine_view* one) {
            const auto unread = static_cast<std::int64_t>(one->unread_tokens);
            const std::int64_t load = one->load;
            return hurried.at(one->model) ? std::tuple(one->version, -unread, -load)
                                          : std::tuple(one->version, std::int64_t{0}, load);
        };
        std::stable_sort(outdated.begin(), outdated.end(),
                         [&](const auto* a, const auto* b) { return rank(a) < rank(b); });
        return outdated;
    }
    void begin(const std::vector<engine_view>& engines) {
        auto outdated = by_urgency(engines);
        std::map<base::zone_name, std::size_t> zones;
        for (const engine_view& one : engines) {
            zones[one.zone] += started.contains(one.name) ? 1 : 0;
        }
        while (!outdated.empty()) {
            const auto next = std::min_element(outdated.begin(), outdated.end(),
                                               [&](const auto* a, const auto* b) {
                                                   return std::pair(a->version, zones[a->zone]) <
                                                          std::pair(b->version, zones[b->zone]);
                                               });
            const engine_view* one = *next;
            outdated.erase(next);
            const counts all = count(one->model, engines);
            if (all.loading < allowed(all) && may_expose(all, one->outdated_for)) {
                ++zones[one->zone];
                started[one->name] = {};
            }
        }
    }
    /// @return the engines whose lost order is sent again, in this order.
    std::vector<base::engine_name> repeat(const std::vector<engine_view>& engines,
                                          base::monotonic_time now) {
        std::vector<std::pair<base::monotonic_time, base::engine_name>> lost;
        for (const auto& [name, state] : started) {
            if (state.unanswered && state.ready && !state.calling) {
                lost.emplace_back(state.last_order, name);
            }
        }
        std::sort(lost.begin(), lost.end());
        std::vector<base::engine_name> repeated;
        for (const auto& entry : lost) {
            const base::engine_name& name = entry.second;
            const auto seen = std::find_if(engines.begin(), engines.end(),
                                           [&](const auto& one) { return one.name == name; });
            const counts all = count(seen->model, engines);
            const bool first_orders = all.waiting > 0 && may_expose(all, all.longest);
            const std::size_t kept =
                first_orders ? std::max(all.loading, allowed(all)) : all.loading;
            if (kept + all.repeating < pace.max_loading(all.total)) {
                sent(name, now);
                repeated.push_back(name);
            }
        }
        return repeated;
    }
    void sent(const base::engine_name& name, base::monotonic_time now) {
        started_engine& state = started.at(name);
        state.calling = true;
        state.ready = false;
        state.ordering = true;
        state.last_order = now;
    }
};

/// A fleet under a rollout, and the reference model that follows it.
struct simulation {
    base::seeded_random random;
    std::vector<engine_view> engines;
    weights_rollout rollout{tunables};
    recount_model plain;
    base::monotonic_time now = start;
    std::size_t started = 0;
    std::size_t repeated = 0;

    simulation(std::size_t size, std::size_t models, std::uint64_t seed) : random(seed) {
        for (std::size_t index = 0; index < models; ++index) {
            rollout.want("m" + std::to_string(index), newest);
        }
        const std::size_t zones = 1 + below(10);
        const base::duration named = below(100) * 40ms;
        for (std::size_t index = 0; index < size; ++index) {
            engine_view one;
            one.name.value = "e" + std::to_string(index);
            one.model = "m" + std::to_string(below(models));
            one.version = 1 + below(2);
            one.load = static_cast<std::uint32_t>(below(8));
            one.outdated_for = named + (one.version == 1 ? 1500ms : 0ms);
            one.zone.value = "z" + std::to_string(below(zones));
            one.unread_tokens = 1000 * below(8);
            engines.push_back(one);
        }
    }
    std::size_t below(std::size_t bound) {
        return static_cast<std::size_t>(random.unit() * static_cast<double>(bound));
    }

    /// @return whether both made the same decisions.
    bool step() {
        std::set<base::engine_name> held;
        for (const auto& [name, state] : plain.started) {
            held.insert(name);
        }
        plain.drop(engines);
        plain.begin(engines);
        const auto again = plain.repeat(engines, now);
        const auto steps = rollout.next(engines, now);
        for (const engine_view& one : engines) {
            if (rollout.under_way(one.name) != plain.started.contains(one.name)) {
                return false;
            }
            started += plain.started.contains(one.name) && !held.contains(one.name) ? 1 : 0;
        }
        repeated += again.size();
        if (!same_repeats(steps, again)) {
            return false;
        }
        follow(steps);
        answer();
        pass();
        return true;
    }
    bool same_repeats(const rollout_steps& steps,
                      const std::vector<base::engine_name>& again) const {
        std::vector<base::engine_name> sent;
        for (const send_order& one : steps.orders) {
            if (plain.started.at(one.engine).unanswered) {
                sent.push_back(one.engine);
            }
        }
        return sent == again;
    }
    void follow(const rollout_steps& steps) {
        for (const send_order& one : steps.orders) {
            plain.sent(one.engine, now);
        }
        for (const ask_report& one : steps.reports) {
            plain.started.at(one.engine).calling = true;
        }
    }
    /// Answers some of the calls in flight.
    void answer() {
        for (auto& [name, state] : plain.started) {
            if (!state.calling || random.unit() < 0.25) {
                continue;
            }
            state.calling = false;
            if (state.ordering) {
                answer_order(name, state);
            } else {
                state.ready = !state.loading;
                rollout.reported(name, {1, 0, false}, now);
            }
        }
    }
    void answer_order(const base::engine_name& name, started_engine& state) {
        state.ordering = false;
        const double drawn = random.unit();
        if (drawn < 0.4) {
            state.unanswered = false;
            state.loading = true;
            rollout.ordered(name, order_answer::accepted, now);
        } else if (drawn < 0.9) {
            state.unanswered = true;
            rollout.ordered(name, order_answer::lost, now);
        } else {
            rollout.ordered(name, order_answer::refused, now);
        }
    }
    /// Advances the time; some engines are then seen with the newest weights.
    void pass() {
        now += period;
        for (engine_view& one : engines) {
            one.outdated_for += period;
            const auto found = plain.started.find(one.name);
            const bool loading = found != plain.started.end() && found->second.loading;
            if (loading && random.unit() < 0.1) {
                one.version = newest;
            }
        }
    }
};

}  // namespace

Test(recount, small_fleets_in_all_states) {
    std::size_t repeated = 0;
    const bool same = rc::check("a step decides like the reference model", [&] {
        const std::size_t size = *rc::gen::inRange<std::size_t>(1, 60);
        const std::size_t models = *rc::gen::inRange<std::size_t>(1, 4);
        simulation at(size, models, *rc::gen::arbitrary<std::uint64_t>());
        for (int step = 0; step < 40; ++step) {
            RC_ASSERT(at.step());
        }
        RC_ASSERT(at.started > 0U);
        repeated += at.repeated;
    });
    cr_assert(same);
    cr_assert(repeated > 0, "lost orders were sent again in some of the runs");
}

Test(recount, a_fleet_of_1200_outdated_engines) {
    simulation at(1200, 14, 20261203);
    for (int step = 0; step < 4; ++step) {
        cr_assert(at.step(), "step %d", step);
    }
    cr_assert(at.started > 0);
}
