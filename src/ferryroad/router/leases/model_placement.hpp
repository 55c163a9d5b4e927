/// @file
/// Makes the engines of each pool load the model version and adapters that operators declared. Only
/// the router that holds the placement lease sends the orders, and each order carries the lease's
/// fencing token.
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

/// The lease that a router must hold to send orders to engines.
inline const lease_name placement_lease("engine-placement");

struct placement_settings {
    /// Between two comparisons of the engines with the configuration.
    base::duration period = std::chrono::seconds(1);
    /// Engines that may load at the same time, over all pools. Loads slow each other down.
    std::size_t max_concurrent_loads = 2;
    /// An engine that doesn't report the ordered model or adapter within this time is sent the
    /// order again.
    base::duration load_timeout = std::chrono::minutes(2);
    /// Delay before an order that failed is sent to the same engine again.
    base::duration retry_after = std::chrono::seconds(2);
};

/// Dependencies of `model_placement`; all of them must outlive it.
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
    std::uint64_t orders_stale = 0;  ///< Rejected because a later lease holder has sent an order.
};

/// Not thread-safe: used from the event loop's thread only. Must exist until the event loop has
/// ended.
class model_placement {
  public:
    explicit model_placement(placement_ports ports, placement_settings settings = {});

    /// Starts the coroutine that sends orders. Call it once.
    void start();
    /// Ends that coroutine the next time it resumes.
    void stop() { stopped_ = true; }
    const placement_counters& counters() const { return counters_; }

  private:
    /// An engine's load that may still be in progress.
    struct pending_load {
        base::incarnation process;
        base::monotonic_time expires_at;  ///< Afterwards the order may be sent again.
    };
    /// An order and the engine that it is for.
    struct addressed_order {
        engine::engine_target target;
        engine::engine_order order;
    };

    runtime::task<void> run();
    /// @return the orders to send now, within the limits on concurrent loads.
    std::vector<addressed_order> due_orders();
    void add_due_orders(const catalog::pool& pool, const catalog::model& model,
                        std::vector<addressed_order>& due);
    /// @return what the engine must load next; nothing if it matches the declared model, is no
    /// model engine or hasn't reported its load yet.
    std::optional<engine::engine_order> order_for(const engine::load_report& load,
                                                  const catalog::model& model) const;
    runtime::task<void> send(addressed_order order);

    placement_ports ports_;
    placement_settings settings_;
    std::map<base::engine_name, pending_load> pending_loads_;
    placement_counters counters_;
    bool stopped_ = false;
};

}  // namespace ferryroad::router::leases
