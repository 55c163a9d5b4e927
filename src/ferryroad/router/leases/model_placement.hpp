/// @file
/// Brings the engines of each pool to the model version and adapters that operators declared,
/// by fenced orders from the one router that holds the lease.
#pragma once

#include "ferryroad/base/time.hpp"
#include "ferryroad/catalog/types.hpp"
#include "ferryroad/engine/client.hpp"
#include "ferryroad/leases/lease_service.hpp"
#include "ferryroad/router/configuration_view.hpp"
#include "ferryroad/router/engine_directory.hpp"
#include "ferryroad/runtime/scheduler.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace ferryroad::router::leases {

using ferryroad::leases::lease_name;
using ferryroad::leases::lease_service;

/// The one lease for orders to engines.
inline const lease_name placement_lease("engine-placement");

struct placement_settings {
    base::duration period = std::chrono::seconds(1);
    /// Engines that load at once, over all pools: more slow each other down.
    std::size_t loads_at_once = 2;
    /// An engine that hasn't reported what it was told to load after this is told again.
    base::duration load_limit = std::chrono::minutes(2);
    /// After a refused or lost order to one engine.
    base::duration retry_after = std::chrono::seconds(2);
};

/// What it stands on; everything outlives it.
struct placement_ports {
    runtime::scheduler& scheduler;
    engine::client& engines;
    const engine_directory& directory;
    const configuration_view& configuration;
    const lease_service& leases;
};

struct placement_counters {
    std::uint64_t orders_sent = 0;
    std::uint64_t orders_failed = 0;
    std::uint64_t orders_stale = 0;  ///< Refused because a later holder has ordered.
};

/// Used from the event loop's thread; kept until the loop has ended.
class model_placement {
  public:
    explicit model_placement(placement_ports ports, placement_settings settings = {});

    void start();
    void stop() { stopped_ = true; }
    const placement_counters& counters() const { return counters_; }

  private:
    /// An order that may still be under way in an engine.
    struct loading {
        base::incarnation process;
        base::monotonic_time until;
    };
    struct wanted_order {
        engine::engine_target target;
        engine::engine_order order;
    };

    runtime::task<void> run();
    /// @return the orders that are due now, as far as the limits allow.
    std::vector<wanted_order> due_orders();
    void add_due_orders(const catalog::pool& pool, const catalog::model& model,
                        std::vector<wanted_order>& due);
    std::optional<engine::engine_order> order_for(const engine::load_report& load,
                                                  const catalog::model& model) const;
    runtime::task<void> send(wanted_order order);

    placement_ports ports_;
    placement_settings settings_;
    std::map<base::engine_name, loading> loading_;
    placement_counters counters_;
    bool stopped_ = false;
};

}  // namespace ferryroad::router::leases
