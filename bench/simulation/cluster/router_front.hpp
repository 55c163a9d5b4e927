/// @file
/// Takes callers' exchanges into a router process and answers them, as the daemon's HTTP front
/// does.
#pragma once

#include "bench/simulation/callers/caller_exchange.hpp"
#include "bench/simulation/virtual_scheduler.hpp"
#include "ferryroad/router/request_types.hpp"

#include <cstdint>
#include <map>
#include <memory>
#include <string>

namespace ferryroad::bench::simulation {

/// One process's front. Used from inside the process, but where said otherwise.
class router_front {
  public:
    /// @param scheduler and `requests` outlive the front. @param prefix of request ids, unique
    /// to the process.
    router_front(virtual_scheduler& scheduler, router::request_service& requests,
                 std::string prefix);

    /// The connection is made; from outside the process.
    /// @return the connection's number.
    std::uint64_t admit(const std::shared_ptr<caller_exchange>& exchange);
    /// Begins to work on an exchange that was admitted.
    void begin(std::uint64_t connection);
    std::size_t under_way() const { return exchanges_.size(); }
    /// The process was killed: its connections close. From outside the process.
    void break_off_all();

  private:
    class exchange_sink;

    runtime::task<void> handle(std::uint64_t connection, std::shared_ptr<caller_exchange> exchange,
                               wait_id gone);
    runtime::task<void> serve(std::shared_ptr<caller_exchange> exchange);
    runtime::task<void> generate(std::shared_ptr<caller_exchange> exchange);
    runtime::task<void> call_application(std::shared_ptr<caller_exchange> exchange);
    base::request_id next_request_id();

    virtual_scheduler& scheduler_;
    router::request_service& requests_;
    std::string prefix_;
    std::uint64_t next_request_ = 1;
    std::uint64_t next_connection_ = 1;
    /// By number: in an order that is the same in each run of a seed.
    std::map<std::uint64_t, std::shared_ptr<caller_exchange>> exchanges_;
};

/// @return the bearer key of a tenant in the simulation.
std::string bearer_key_of(const base::tenant_name& tenant);

}  // namespace ferryroad::bench::simulation
