/// Property test of leases: several processes contend for one lease with drifting clocks, pauses,
/// and writes that are lost, delayed or refused.
#include "ferryroad/base/random.hpp"
#include "ferryroad/coordination/lease/lease_holder.hpp"

#include <criterion/criterion.h>
#include <rapidcheck.h>

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <vector>

namespace {

using namespace ferryroad;
using namespace ferryroad::coordination::lease;
using namespace std::chrono_literals;

constexpr base::duration step = 10ms;

struct fault_shares {
    double refused = 0;
    double lost = 0;     ///< The write takes effect, but no answer arrives.
    double delayed = 0;  ///< No answer arrives, and the write takes effect seconds later.
};

/// The row of the lease, and writes that may take effect late.
struct model_table {
    stored_row row;
    std::uint64_t versions = 0;

    /// @return whether the write took effect.
    bool apply(const write_row& write) {
        if (write.expected != row.version) {
            return false;
        }
        row = {row_version(++versions), write.value};
        return true;
    }
};

class contest {
  public:
    contest(std::size_t size, std::uint64_t seed, double drift) : random_(seed) {
        for (std::size_t index = 0; index < size; ++index) {
            auto added = std::make_unique<process>();
            added->rate = 1.0 + drift * (2.0 * random_.unit() - 1.0);
            added->offset = base::duration(random_.below(3'600'000'000'000));
            added->holder = std::make_unique<lease_holder>(
                lease_identity{"router-" + std::to_string(index), base::incarnation(1)},
                lease_settings{}, random_);
            added->holder->want(true);
            processes_.push_back(std::move(added));
        }
    }

    void run_for(base::duration period) {
        const base::duration end = now_ + period;
        while (now_ < end) {
            now_ += step;
            while (!late_writes_.empty() && late_writes_.begin()->first <= now_) {
                table_.apply(late_writes_.begin()->second);
                late_writes_.erase(late_writes_.begin());
            }
            for (auto& each : processes_) {
                run(*each);
            }
            look();
        }
    }

    void pause(std::size_t index, base::duration period) {
        processes_[index]->paused_until = now_ + period;
    }
    void want(std::size_t index, bool wanted) { processes_[index]->holder->want(wanted); }
    void end_faults() {
        shares = {};
        for (std::size_t index = 0; index < processes_.size(); ++index) {
            processes_[index]->paused_until = now_;
            want(index, true);
        }
    }
    /// @return the number of processes that believe they hold the lease.
    std::size_t believers() const {
        return static_cast<std::size_t>(std::count_if(
            processes_.begin(), processes_.end(),
            [&](const auto& each) { return each->holder->token(clock_of(*each)).has_value(); }));
    }

    fault_shares shares;
    std::size_t most_believers = 0;
    bool tokens_rose = true;
    std::size_t acquisitions = 0;

  private:
    struct process {
        std::unique_ptr<lease_holder> holder;
        double rate = 1.0;
        base::duration offset{};
        base::duration paused_until{};
        std::optional<event> answer;
        base::duration answer_at{};
        base::fencing_token last_token;
    };

    base::monotonic_time clock_of(const process& each) const {
        return base::monotonic_time(each.offset +
                                    base::from_seconds(base::to_seconds(now_) * each.rate));
    }
    void run(process& each) {
        if (now_ < each.paused_until) {
            return;
        }
        if (each.answer && now_ >= each.answer_at) {
            const event happened = *each.answer;
            each.answer.reset();
            each.holder->handle(happened, clock_of(each));
        }
        while (!each.answer) {
            const action wanted = each.holder->next(clock_of(each));
            if (std::holds_alternative<wait_until>(wanted)) {
                break;
            }
            each.answer = carry_out(wanted);
            each.answer_at = now_ + base::duration(random_.below(200'000'000));
        }
    }
    event carry_out(const action& wanted) {
        const double chance = random_.unit();
        if (chance < shares.refused) {
            return refused{random_.below(2) == 0 ? std::optional<base::duration>(300ms)
                                                 : std::nullopt};
        }
        const auto* write = std::get_if<write_row>(&wanted);
        if (write == nullptr) {
            return row_read{table_.row};
        }
        if (chance < shares.refused + shares.delayed) {
            late_writes_.emplace(now_ + base::duration(random_.below(8'000'000'000)), *write);
            return write_lost{};
        }
        const bool committed = table_.apply(*write);
        if (chance < shares.refused + shares.delayed + shares.lost) {
            return write_lost{};
        }
        return committed ? event(write_committed{table_.row.version})
                         : event(write_conflicted{table_.row});
    }
    /// Paused processes count as well: when they wake, they act on what they believe.
    void look() {
        most_believers = std::max(most_believers, believers());
        for (auto& each : processes_) {
            const auto token = each->holder->token(clock_of(*each));
            if (token && *token != each->last_token) {
                tokens_rose = tokens_rose && *token > highest_token_;
                highest_token_ = std::max(highest_token_, *token);
                each->last_token = *token;
                ++acquisitions;
            }
        }
    }

    base::seeded_random random_;
    base::duration now_{};
    model_table table_;
    std::multimap<base::duration, write_row> late_writes_;
    std::vector<std::unique_ptr<process>> processes_;
    base::fencing_token highest_token_;
};

}  // namespace

Test(lease, never_two_holders) {
    std::size_t acquisitions = 0;
    cr_assert(rc::check("at most one believes; tokens rise; the lease is held again", [&] {
        const auto size = *rc::gen::inRange<std::size_t>(2, 6);
        const auto seed = *rc::gen::arbitrary<std::uint64_t>();
        contest leases(size, seed, lease_settings{}.drift_bound);
        base::seeded_random schedule(seed ^ 1U);
        for (int round = 0; round < 25; ++round) {
            leases.shares.refused = 0.3 * schedule.unit();
            leases.shares.lost = 0.3 * schedule.unit();
            leases.shares.delayed = 0.3 * schedule.unit();
            const std::size_t victim = schedule.below(size);
            if (schedule.below(2) == 0) {
                leases.pause(victim, base::duration(schedule.below(25'000'000'000)));
            } else {
                leases.want(victim, schedule.below(3) != 0);
            }
            leases.run_for(base::duration(schedule.below(8'000'000'000)));
            RC_ASSERT(leases.most_believers <= 1U);
            RC_ASSERT(leases.tokens_rose);
        }
        leases.end_faults();
        leases.run_for(40s);
        RC_ASSERT(leases.believers() == 1U);
        RC_ASSERT(leases.most_believers <= 1U);
        RC_ASSERT(leases.tokens_rose);
        acquisitions += leases.acquisitions;
    }));
    cr_assert_gt(acquisitions, 100, "the property must see the lease change hands");
}

Test(lease, the_check_detects_a_clock_beyond_the_drift_bound) {
    // Validates the check: with clock rates that differ by 40%, two processes do believe at once
    // that they hold the lease.
    std::size_t most = 0;
    for (std::uint64_t seed = 0; seed < 40 && most < 2; ++seed) {
        contest leases(3, seed, 0.4);
        for (std::size_t round = 0; round < 12; ++round) {
            leases.pause(round % 3, 12s);
            leases.run_for(20s);
        }
        most = std::max(most, leases.most_believers);
    }
    cr_assert_geq(most, 2);
}

Test(lease, is_renewed_without_a_gap_without_faults) {
    contest leases(3, 7, 0.01);
    leases.run_for(120s);
    cr_assert_eq(leases.acquisitions, 1);
    cr_assert_eq(leases.believers(), 1);
}
