/// @file
/// All callers of a run: sends a workload's requests at their times and keeps what they saw.
#pragma once

#include "bench/load/record.hpp"
#include "bench/simulation/cluster/simulated_router.hpp"
#include "bench/workload/generator.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <vector>

namespace ferryroad::bench::simulation {

struct caller_habits {
    /// Without an end after so long, a caller hangs up.
    base::duration patience = std::chrono::seconds(90);
    /// A connection that isn't made takes so long to find out where the network is cut.
    base::duration connect_limit = std::chrono::seconds(1);
    /// Share of streams whose caller hangs up in the middle.
    double leaving_share = 0.02;
    /// A request that may not be repeated and got no whole answer is sent again with its key,
    /// so often at most.
    std::uint32_t repeats = 3;
    base::duration repeat_pause = std::chrono::seconds(2);
};

/// Routers outlive it, and it outlives the run's events.
class caller_population {
  public:
    /// @param machines callers' addresses, one for each zone; requests rotate over them.
    caller_population(network& carrier, std::vector<simulated_router*> routers,
                      std::vector<base::endpoint> machines, caller_habits habits);

    /// Sends all requests of `source`, the first at `begin` plus its own time.
    void send_all(workload::specification source, base::monotonic_time begin);

    /// Sends one request through one router, for probes. @param done gets the record.
    void send_one(const workload::workload_request& request, simulated_router& router,
                  caller_exchange::finished done);

    const std::vector<load::call_record>& records() const { return records_; }
    std::uint64_t under_way() const { return under_way_; }
    bool all_sent() const { return all_sent_; }

  private:
    /// One request over the routers tried for it.
    struct pending_call {
        workload::workload_request request;
        load::call_record record;
        std::size_t turn = 0;
        std::uint32_t repeated = 0;
    };
    using call_pointer = std::shared_ptr<pending_call>;

    void send_next();
    void begin(workload::workload_request request, std::uint32_t repeated);
    load::call_record begin_record(const workload::workload_request& request) const;
    void try_router(const call_pointer& call);
    void try_next(const call_pointer& call);
    void finish(const call_pointer& call, const load::call_record& record);
    double now() const;

    network& carrier_;
    std::vector<simulated_router*> routers_;
    std::vector<base::endpoint> machines_;
    caller_habits habits_;
    std::unique_ptr<workload::generator> source_;
    base::monotonic_time begin_{};
    std::vector<load::call_record> records_;
    std::uint64_t under_way_ = 0;
    bool all_sent_ = false;
};

}  // namespace ferryroad::bench::simulation
