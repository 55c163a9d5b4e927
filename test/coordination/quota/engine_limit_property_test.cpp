/// A simulated fleet of routers counts requests to engines with limits in virtual time under
/// faults. The tests check how many requests an engine gets in any 4 s, and how much of the limits
/// is used.
#include "ferryroad/base/random.hpp"
#include "ferryroad/coordination/quota/equal_shares.hpp"
#include "ferryroad/coordination/quota/quota_homes.hpp"
#include "ferryroad/coordination/quota/quota_ledger.hpp"

#include <criterion/criterion.h>

#include <algorithm>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace {

using namespace ferryroad;
using namespace ferryroad::coordination::quota;
using namespace std::chrono_literals;

constexpr double rate = 1.4;
constexpr double burst_seconds = 0.5;
constexpr base::duration step = 5ms;
constexpr base::duration window = 4s;
constexpr std::size_t max_engines_asked = 4;
/// One and a half times what the limit allows in a window, and five requests.
constexpr double allowed = 1.5 * rate * 4 + 5;

class fleet {
  public:
    fleet(std::size_t routers, std::size_t engines, std::uint64_t seed)
        : m_random(seed), m_routers(routers), m_arrivals(engines) {
        for (std::size_t index = 0; index < routers; ++index) {
            m_names.emplace_back("r" + std::to_string(index));
        }
        for (std::size_t index = 0; index < engines; ++index) {
            m_engines.emplace_back("e" + std::to_string(index));
        }
        for (std::size_t index = 0; index < routers; ++index) {
            start(index);
        }
        m_now += 1min;  // The traffic starts long after the processes.
    }

    /// Advances the time by `period` with `per_second` requests, each to any engine that takes it.
    void run(base::duration period, double per_second) {
        const base::monotonic_time end = m_now + period;
        for (; m_now < end; m_now += step) {
            for (m_due += per_second * base::to_seconds(step); m_due >= 1; m_due -= 1) {
                const std::size_t index = m_random.below(m_routers.size());
                if (m_routers[index].up) {
                    send(index);
                }
            }
        }
        m_run += period;
    }

    void start(std::size_t index) {
        router& one = m_routers[index];
        one = router();
        one.ledger = quota_ledger(m_now, engine_ledger_tunables());
        one.ledger.expect_routers(m_routers.size());
        one.homes.declare(m_names);
    }
    void start_all() {
        for (std::size_t index = 0; index < m_routers.size(); ++index) {
            start(index);
        }
    }
    void kill(std::size_t index) { m_routers[index].up = false; }
    void lose(double share) { m_lost = share; }
    /// Makes all routers decide without each other.
    void cut_all() { m_cut = true; }
    std::size_t home() const { return index_of(*m_routers[0].homes.home_of(m_engines[0], m_now)); }

    /// @return the most requests that one engine got within any window.
    std::size_t most_in_window() const {
        std::size_t most = 0;
        for (const auto& times : m_arrivals) {
            std::size_t oldest = 0;
            for (std::size_t last = 0; last < times.size(); ++last) {
                while (times[last] - times[oldest] >= window) {
                    ++oldest;
                }
                most = std::max(most, last - oldest + 1);
            }
        }
        return most;
    }
    /// @return the share of all limits that was used.
    double used() const {
        std::size_t sent = 0;
        for (const auto& times : m_arrivals) {
            sent += times.size();
        }
        const double engines = static_cast<double>(m_engines.size());
        return static_cast<double>(sent) / (rate * engines * base::to_seconds(m_run));
    }

  private:
    struct router {
        quota_ledger ledger{base::monotonic_time{}};
        quota_homes homes;
        equal_shares own_shares;
        std::map<std::size_t, std::uint32_t> known_askers;
        std::map<std::size_t, base::monotonic_time> paused_until;
        bool up = true;
    };

    std::size_t index_of(const base::router_name& name) const {
        return static_cast<std::size_t>(std::find(m_names.begin(), m_names.end(), name) -
                                        m_names.begin());
    }
    bool reaches(std::size_t from, std::size_t to) {
        return m_routers[to].up && (from == to || (!m_cut && m_random.unit() >= m_lost));
    }
    void send(std::size_t index) {
        router& one = m_routers[index];
        std::size_t asked = 0;
        const std::size_t first = m_random.below(m_engines.size());
        for (std::size_t tried = 0; tried < m_engines.size() && asked < max_engines_asked;
             ++tried) {
            const std::size_t engine = (first + tried) % m_engines.size();
            if (m_now < one.paused_until[engine]) {
                continue;
            }
            ++asked;
            const quota_verdict verdict = ask(index, engine);
            if (verdict.granted) {
                m_arrivals[engine].push_back(m_now);
                return;
            }
            one.paused_until[engine] = m_now + verdict.retry_after;
        }
    }
    quota_verdict ask(std::size_t index, std::size_t engine) {
        router& one = m_routers[index];
        const quota_ask question{m_engines[engine],
                                 1,
                                 {base::revision(), rate, rate * burst_seconds},
                                 one.known_askers[engine]};
        for (int attempt = 0; attempt < 2; ++attempt) {
            const auto home = one.homes.home_of(m_engines[engine], m_now);
            if (!home) {
                break;
            }
            const std::size_t place = index_of(*home);
            if (reaches(index, place)) {
                one.homes.answered(*home);
                const auto verdict =
                    m_routers[place].ledger.decide(m_names[index], question, m_now);
                one.known_askers[engine] = std::max(one.known_askers[engine], verdict.askers);
                return verdict;
            }
            one.homes.silent(*home, m_now);
        }
        quota_verdict own = one.own_shares.decide(question, m_routers.size(), m_now, m_random);
        own.retry_after = std::min<base::duration>(own.retry_after, 1s);
        return own;
    }

    base::seeded_random m_random;
    std::vector<router> m_routers;
    std::vector<base::router_name> m_names;
    std::vector<base::engine_name> m_engines;
    std::vector<std::vector<base::monotonic_time>> m_arrivals;  ///< By engine.
    base::monotonic_time m_now{1h};
    base::duration m_run{};
    double m_due = 0;
    double m_lost = 0;
    bool m_cut = false;
};

struct fleet_size {
    std::size_t routers;
    std::size_t engines;
};
constexpr fleet_size sizes[] = {{1, 1},   {5, 1},    {5, 10},  {79, 1},
                                {79, 10}, {79, 100}, {370, 1}, {370, 200}};
constexpr std::uint64_t seeds = 3;

/// Runs `scenario` on fleets of each size, each with more requests than the limits allow.
void each_fleet(const std::function<void(fleet&, double per_second)>& scenario) {
    for (const fleet_size& size : sizes) {
        for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
            fleet routers(size.routers, size.engines, seed);
            const double demand = std::max(4 * rate * static_cast<double>(size.engines),
                                           3 * static_cast<double>(size.routers));
            scenario(routers, demand);
            cr_assert_leq(static_cast<double>(routers.most_in_window()), allowed,
                          "%zu routers, %zu engines, seed %d: %zu", size.routers, size.engines,
                          static_cast<int>(seed), routers.most_in_window());
        }
    }
}

}  // namespace

Test(engine_limit_fleet, engines_get_most_of_their_limit_and_no_more) {
    each_fleet([](fleet& routers, double demand) {
        routers.run(30s, demand);
        cr_assert_geq(routers.used(), 0.6);
    });
}

Test(engine_limit_fleet, a_limited_engine_that_is_seldom_asked_for_is_not_withheld) {
    for (const std::size_t routers : {5U, 79U, 370U}) {
        fleet one(routers, 1, 7);
        one.run(60s, 0.5 * rate);
        cr_assert_geq(one.used(), 0.6 * 0.5);
    }
}

Test(engine_limit_fleet, a_router_that_counts_is_killed_and_starts_again) {
    each_fleet([](fleet& routers, double demand) {
        routers.run(6s, demand);
        const std::size_t home = routers.home();
        routers.kill(home);
        routers.run(1500ms, demand);
        routers.start(home);
        routers.run(8s, demand);
    });
}

Test(engine_limit_fleet, all_routers_start_again) {
    each_fleet([](fleet& routers, double demand) {
        routers.run(6s, demand);
        routers.start_all();
        routers.run(8s, demand);
    });
}

Test(engine_limit_fleet, datagrams_are_lost) {
    each_fleet([](fleet& routers, double demand) {
        routers.lose(0.1);
        routers.run(20s, demand);
    });
}

/// Each router then has only its own share.
Test(engine_limit_fleet, no_router_hears_another) {
    each_fleet([](fleet& routers, double demand) {
        routers.run(8s, demand);
        routers.cut_all();
        routers.run(3s, demand);
    });
}
