/// @file
/// Operators of the simulated system: apply changes through any router, repeat those whose
/// answer was lost, and remember what was accepted.
#pragma once

#include "bench/simulation/cluster/simulated_router.hpp"
#include "ferryroad/catalog/types.hpp"
#include "ferryroad/router/configuration/control.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace ferryroad::bench::simulation {

/// A change that a router told an operator is in force.
struct accepted_change {
    std::string operation;
    base::revision revision;
    base::monotonic_time at{};  ///< When the operator heard so.
};

using catalog_edit = std::function<void(catalog::catalog&)>;
/// Told of the change's own revision.
using edit_accepted = std::function<void(base::revision)>;

/// What an operator does whose change met another's.
enum class on_conflict { give_up, edit_again };

/// Calls from outside processes. Routers outlive it, and it outlives the run's events.
class operators {
  public:
    operators(virtual_time& time, std::vector<simulated_router*> routers);

    /// Applies the whole desired state, through the routers in turn until one says yes.
    void apply_all(catalog::catalog desired, std::string author);
    /// Reads the configuration at a router, edits it and applies it there, expecting the
    /// revision read.
    void edit(std::size_t router, const std::string& author, const catalog_edit& change,
              on_conflict conflict, const edit_accepted& accepted = nullptr);

    const std::vector<accepted_change>& accepted() const { return accepted_; }
    std::uint64_t conflicts() const { return conflicts_; }
    std::uint64_t unanswered() const { return unanswered_; }

  private:
    /// One operation over its tries.
    struct order {
        router::apply_command command;
        std::size_t router = 0;
        std::uint32_t tries = 0;
        bool ended = false;
        edit_accepted accepted;
        std::function<void()> conflicting;
    };
    using order_pointer = std::shared_ptr<order>;

    order_pointer make_order(catalog::catalog desired, std::string author, std::size_t router);
    void submit(const order_pointer& wanted);
    runtime::task<void> carry_out(order_pointer wanted, simulated_router* router,
                                  std::uint32_t this_try);
    void take(const order_pointer& wanted,
              const router::configuration_result<router::change_outcome>& outcome);
    void try_later(const order_pointer& wanted);

    virtual_time& time_;
    std::vector<simulated_router*> routers_;
    std::uint64_t next_operation_ = 1;
    std::vector<accepted_change> accepted_;
    std::uint64_t conflicts_ = 0;
    std::uint64_t unanswered_ = 0;
};

}  // namespace ferryroad::bench::simulation
