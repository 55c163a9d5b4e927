/// @file
/// Test double for the table row of the rollout's lease, and a router that contends for the lease.
#pragma once

#include "ferryroad/relay/rollout_lease.hpp"
#include "test/http/loopback.hpp"

#include <functional>
#include <string>
#include <utility>
#include <vector>

namespace ferryroad::relay::test {

/// Table with a single row. Writes are conditional on the row's version, and may be refused.
/// `on_committed` is called after each write that took effect, before its answer arrives.
class single_row_table final : public platform::table {
  public:
    runtime::task<platform::result<std::vector<platform::transaction_outcome>>> transact(
        std::vector<platform::transaction> transactions) override {
        std::vector<platform::transaction_outcome> outcomes;
        if (writes_refused) {
            co_return platform::error{platform::error_code::unavailable, "down", std::nullopt};
        }
        for (const platform::transaction& wanted : transactions) {
            platform::transaction_outcome outcome;
            outcome.committed = wanted.conditions.at(0).version == row.version;
            if (outcome.committed) {
                row = {wanted.writes.at(0).key, *wanted.writes.at(0).value,
                       platform::row_version(row.version.value + 1)};
                outcome.version = row.version;
                if (on_committed) {
                    on_committed();
                }
            } else {
                outcome.conflicting = row;
            }
            outcomes.push_back(outcome);
        }
        co_return outcomes;
    }
    runtime::task<platform::result<std::vector<platform::row>>> read(
        std::vector<platform::row_key>) override {
        std::vector<platform::row> rows;
        if (row.version.value > 0) {
            rows.push_back(row);
        }
        co_return rows;
    }
    runtime::task<platform::result<std::vector<platform::row>>> scan(std::string, platform::row_key,
                                                                     std::uint32_t) override {
        co_return std::vector<platform::row>{};
    }
    platform::row row;
    bool writes_refused = false;
    std::function<void()> on_committed;  ///< May be empty.
};

/// A router that contends for the lease; its clock equals the table owner's, where it knows that.
struct lease_router {
    enum class clock_state { known, unknown };

    lease_router(ferryroad::test::loopback& loop, platform::table& table, std::uint64_t process,
                 base::duration handover_gap = std::chrono::milliseconds(200),
                 clock_state owner = clock_state::known)
        : leases(loop.scheduler, table, {"router", base::incarnation(process)}, settings()),
          lease(loop.scheduler, leases, clock, leases::lease_name("x"), handover_gap) {
        if (owner == clock_state::known) {
            clock.observe(loop.scheduler.now(), loop.scheduler.now(),
                          std::chrono::milliseconds(
                              base::to_milliseconds(loop.scheduler.now().time_since_epoch())));
        }
        lease.contend([this] { return wanted; });
    }
    static leases::lease_service_settings settings() {
        leases::lease_service_settings all;
        all.lease.duration = std::chrono::milliseconds(400);
        all.lease.margin = std::chrono::milliseconds(20);
        all.lease.renew_after = std::chrono::milliseconds(50);
        all.lease.poll_period = std::chrono::milliseconds(20);
        all.lease.first_delay = std::chrono::milliseconds(5);
        all.check_period = std::chrono::milliseconds(2);
        return all;
    }
    /// Begins a planned stop as the program does: from then on it does not want the lease.
    void stop() {
        wanted = false;
        lease.finish();
        leases.stop();
    }

    bool wanted = true;
    owner_clock clock;
    leases::lease_service leases;
    rollout_lease lease;
};

}  // namespace ferryroad::relay::test
