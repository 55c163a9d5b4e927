/// A simulated fleet of routers shares the slots of engines that crash if they reject too many
/// requests, in virtual time under faults. The tests check how many requests an engine rejects in
/// any second, and how much of its time is used.
#include "ferryroad/base/random.hpp"
#include "ferryroad/coordination/quota/quota_homes.hpp"
#include "ferryroad/coordination/quota/slot_ledger.hpp"

#include <criterion/criterion.h>

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace {

using namespace ferryroad;
using namespace ferryroad::coordination::quota;
using namespace std::chrono_literals;

constexpr std::uint32_t rejection_limit = 5;
constexpr base::duration step = 5ms;
constexpr base::duration run_time = 150ms;
constexpr base::duration longest_wait = 250ms;
constexpr std::size_t max_engines_asked = 4;

struct fleet_size {
    std::size_t routers;
    std::size_t engines;
    std::uint32_t slots;   ///< Requests that an engine runs at once; it rejects any more.
    std::uint32_t listed;  ///< Slots that its row lists.
};

class fleet {
  public:
    fleet(const fleet_size& size, std::uint64_t seed)
        : m_size(size), m_random(seed), m_routers(size.routers), m_engines(size.engines) {
        for (std::size_t index = 0; index < size.routers; ++index) {
            m_names.emplace_back("r" + std::to_string(index));
        }
        for (std::size_t index = 0; index < size.routers; ++index) {
            start(index);
        }
        m_now += 1min;  // The engines limit their rejections long after the routers' start.
    }

    /// Advances the time with requests at `load` times what the engines can do.
    void run(base::duration period, double load) {
        const base::monotonic_time end = m_now + period;
        const double slots = static_cast<double>(m_size.engines * m_size.slots);
        for (; m_now < end; m_now += step) {
            end_requests();
            end_waits();
            if ((m_now - base::monotonic_time{}) % slot_report_interval == base::duration{}) {
                report_all();
            }
            for (m_due += load * slots * (step / 1ms) / (run_time / 1ms); m_due >= 1; m_due -= 1) {
                m_waiting.push_back({next_router(), m_now});
            }
            send_waiting();
            run_granted();
            m_capacity += slots * base::to_seconds(step) / base::to_seconds(run_time);
        }
    }

    void start(std::size_t index) {
        m_routers[index] = router(m_now, m_size.engines, ++m_last_number);
        m_routers[index].homes.declare(m_names);
    }
    void kill(std::size_t index) {
        m_routers[index].up = false;
        std::erase_if(m_running, [&](const request& one) { return one.router == index; });
        std::erase_if(m_queued, [&](const auto& entry) { return entry.second.router == index; });
    }
    void lose(double share) { m_lost = share; }
    /// From now on nine tenths of the requests arrive at one router.
    void call_one(std::size_t index) { m_called = index; }
    std::size_t home() const { return index_of(*m_routers[0].homes.first_home_of(subject(0))); }

    /// @return the most requests that an engine rejected within a second.
    std::size_t most_rejected() const { return m_most_rejected; }
    /// @return requests served, as a share of what the engines can do.
    double used() const { return static_cast<double>(m_served) / m_capacity; }
    void forget_use() { m_capacity = static_cast<double>(m_served = 0); }

  private:
    struct view {
        std::uint32_t running = 0;
        std::vector<std::uint64_t> pending;  ///< Asks that wait for an answer.
        std::uint32_t rejected = 0;
        base::monotonic_time full_until{};
    };
    struct router {
        router() = default;
        router(base::monotonic_time started, std::size_t engines, std::uint64_t process)
            : ledger(started), process(process), views(engines) {}

        slot_ledger ledger{base::monotonic_time{}};
        std::uint64_t process = 0;
        quota_homes homes;
        std::vector<view> views;
        bool up = true;
    };
    struct engine {
        std::deque<base::monotonic_time> rejections;
    };
    struct request {
        std::size_t router;
        std::size_t engine;
        base::monotonic_time ends;
    };
    struct waiting_request {
        std::size_t router;
        base::monotonic_time since;
    };
    struct queued_request {
        std::size_t router;
        std::size_t engine;
        base::monotonic_time until;
    };

    static quota_subject subject(std::size_t engine) {
        return base::engine_name("e" + std::to_string(engine));
    }
    std::size_t index_of(const base::router_name& name) const {
        return static_cast<std::size_t>(std::find(m_names.begin(), m_names.end(), name) -
                                        m_names.begin());
    }
    std::size_t next_router() {
        const bool any = !m_called || m_random.unit() >= 0.9;
        return any ? m_random.below(m_routers.size()) : *m_called;
    }
    bool is_delivered(std::size_t from, std::size_t to) {
        return m_routers[to].up && (from == to || m_random.unit() >= m_lost);
    }

    std::optional<quota_verdict> ask(std::size_t from, std::size_t engine, double amount,
                                     base::duration wait = {}) {
        view& own = m_routers[from].views[engine];
        const std::uint64_t number = ++m_last_number;
        quota_ask question;
        question.subject = subject(engine);
        question.amount = amount;
        question.slots = slot_use{1,
                                  m_size.listed,
                                  own.running,
                                  own.rejected,
                                  rejection_limit,
                                  m_routers[from].process,
                                  number,
                                  own.pending};
        question.wait = wait;
        const std::size_t home = index_of(*m_routers[from].homes.first_home_of(question.subject));
        if (!is_delivered(from, home)) {
            return std::nullopt;
        }
        slot_ledger& ledger = m_routers[home].ledger;
        const auto verdict = ledger.decide(m_names[from], question, m_now);
        const bool answered = is_delivered(home, from);
        if (answered && verdict.queued) {
            own.pending.push_back(number);
            m_queued[number] = {from, engine, m_now + wait};
        }
        while (const auto granted = ledger.take_granted(question.subject, m_now)) {
            if (is_delivered(home, index_of(granted->asker))) {
                m_granted.push_back(granted->number);
            }
        }
        if (!answered) {
            return std::nullopt;
        }
        own.rejected = 0;
        return verdict;
    }
    void report_all() {
        for (std::size_t index = 0; index < m_routers.size(); ++index) {
            for (std::size_t engine = 0; engine < m_size.engines; ++engine) {
                if (m_routers[index].up && m_routers[index].views[engine].running > 0) {
                    ask(index, engine, 0);
                }
            }
        }
    }
    void end_requests() {
        std::vector<request> ended;
        std::erase_if(m_running, [&](const request& one) {
            const bool ends = one.ends <= m_now;
            if (ends) {
                ended.push_back(one);
            }
            return ends;
        });
        for (const request& one : ended) {
            ++m_served;
            --m_routers[one.router].views[one.engine].running;
            ask(one.router, one.engine, 0);
        }
    }
    void send_waiting() {
        std::erase_if(m_waiting, [&](const waiting_request& one) {
            return !m_routers[one.router].up || m_now - one.since > longest_wait ||
                   send(one.router);
        });
    }
    /// @return whether the request need not be sent again by its router.
    bool send(std::size_t index) {
        std::size_t asked = 0;
        const std::size_t first = m_random.below(m_size.engines);
        for (std::size_t tried = 0; tried < m_size.engines && asked < max_engines_asked; ++tried) {
            const std::size_t engine = (first + tried) % m_size.engines;
            view& own = m_routers[index].views[engine];
            if (m_now < own.full_until) {
                continue;
            }
            const auto verdict =
                ask(index, engine, 1, asked == 0 ? base::duration{} : longest_wait);
            if (verdict && !verdict->decided) {
                own.full_until = m_now + 10ms;  // Own shares are not simulated.
                continue;
            }
            ++asked;
            if (verdict && verdict->queued) {
                return true;
            }
            if (verdict && verdict->granted && run_at(index, engine)) {
                return true;
            }
            own.full_until = m_now + (verdict ? verdict->retry_after : 50ms);
        }
        return asked >= max_engines_asked;
    }
    /// Ends the wait of a queued ask. @return whether it waited.
    std::optional<queued_request> end_wait(std::uint64_t number) {
        const auto found = m_queued.extract(number);
        if (found.empty()) {
            return std::nullopt;
        }
        const queued_request one = found.mapped();
        std::erase(m_routers[one.router].views[one.engine].pending, number);
        return one;
    }
    void end_waits() {
        std::vector<std::uint64_t> ended;
        for (const auto& [number, one] : m_queued) {
            if (one.until <= m_now) {
                ended.push_back(number);
            }
        }
        for (const std::uint64_t number : ended) {
            const auto one = end_wait(number);
            if (one && m_routers[one->router].up) {
                ask(one->router, one->engine, 0);
            }
        }
    }
    void run_granted() {
        for (const std::uint64_t number : std::exchange(m_granted, {})) {
            const auto one = end_wait(number);
            if (one && m_routers[one->router].up) {
                run_at(one->router, one->engine);
            }
        }
    }
    bool run_at(std::size_t index, std::size_t place) {
        const auto running = static_cast<std::size_t>(
            std::count_if(m_running.begin(), m_running.end(),
                          [&](const request& one) { return one.engine == place; }));
        view& own = m_routers[index].views[place];
        if (running < m_size.slots) {
            ++own.running;
            m_running.push_back({index, place, m_now + run_time});
            return true;
        }
        ++own.rejected;
        auto& times = m_engines[place].rejections;
        times.push_back(m_now);
        while (m_now - times.front() > 1s) {
            times.pop_front();
        }
        m_most_rejected = std::max(m_most_rejected, times.size());
        ask(index, place, 0);
        return false;
    }

    fleet_size m_size;
    base::seeded_random m_random;
    std::vector<router> m_routers;
    std::vector<base::router_name> m_names;
    std::vector<engine> m_engines;
    std::vector<request> m_running;
    std::vector<waiting_request> m_waiting;
    std::map<std::uint64_t, queued_request> m_queued;  ///< By the number of the ask.
    std::vector<std::uint64_t> m_granted;              ///< Asks with slots; not running yet.
    std::uint64_t m_last_number = 0;
    std::optional<std::size_t> m_called;
    base::monotonic_time m_now{1h};
    double m_due = 0;
    double m_lost = 0;
    double m_capacity = 0;
    std::size_t m_served = 0;
    std::size_t m_most_rejected = 0;
};

constexpr fleet_size sizes[] = {{5, 8, 2, 2},  {5, 8, 2, 8},    {20, 8, 2, 2},  {12, 8, 2, 8},
                                {79, 3, 6, 6}, {79, 30, 9, 16}, {158, 3, 6, 6}, {158, 30, 9, 16}};
constexpr std::uint64_t seeds = 2;

/// Runs `scenario` on fleets of each size. No engine may reject more than it bears.
void each_fleet(const std::function<void(fleet&)>& scenario) {
    for (const fleet_size& size : sizes) {
        for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
            fleet routers(size, seed);
            routers.run(2s, 0.5);
            scenario(routers);
            cr_assert_leq(routers.most_rejected(), rejection_limit,
                          "%zu routers, %zu engines, seed %d: %zu", size.routers, size.engines,
                          static_cast<int>(seed), routers.most_rejected());
        }
    }
}

}  // namespace

Test(slot_fleet, engines_are_kept_busy) {
    each_fleet([](fleet& routers) {
        routers.forget_use();
        routers.run(10s, 0.75);
        cr_assert_geq(routers.used(), 0.9 * 0.75, "%f", routers.used());
        routers.forget_use();
        routers.run(10s, 1.5);
        cr_assert_geq(routers.used(), 0.85, "%f", routers.used());
    });
}

Test(slot_fleet, most_callers_come_to_one_router_and_then_to_another) {
    each_fleet([](fleet& routers) {
        routers.forget_use();
        for (const std::size_t called : {0U, 3U}) {
            routers.call_one(called);
            routers.run(5s, 0.75);
        }
        cr_assert_geq(routers.used(), 0.9 * 0.75);
    });
}

Test(slot_fleet, a_router_that_counts_is_killed_and_starts_again) {
    each_fleet([](fleet& routers) {
        routers.run(3s, 1.2);
        const std::size_t home = routers.home();
        routers.kill(home);
        routers.run(1500ms, 1.2);
        routers.start(home);
        routers.run(8s, 1.2);
    });
}

Test(slot_fleet, datagrams_are_lost) {
    each_fleet([](fleet& routers) {
        routers.lose(0.1);
        routers.run(15s, 1.2);
    });
}
