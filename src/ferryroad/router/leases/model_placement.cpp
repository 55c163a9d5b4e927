#include "ferryroad/router/leases/model_placement.hpp"

#include "ferryroad/runtime/log.hpp"

#include <algorithm>
#include <utility>

namespace ferryroad::router::leases {

namespace {

constexpr std::string_view component = "router.placement";

}  // namespace

model_placement::model_placement(placement_ports ports, placement_settings settings)
    : ports_(ports), settings_(settings) {}

void model_placement::start() {
    ports_.scheduler.spawn(component, run());
}

runtime::task<void> model_placement::run() {
    while (!stopped_) {
        if (ports_.leases.token(placement_lease)) {
            std::vector<addressed_order> due = due_orders();
            for (addressed_order& order : due) {
                ports_.scheduler.spawn(component, send(std::move(order)));
            }
        } else {
            pending_loads_.clear();
        }
        co_await ports_.scheduler.sleep_for(settings_.period);
    }
}

std::vector<model_placement::addressed_order> model_placement::due_orders() {
    const base::monotonic_time now = ports_.scheduler.now();
    std::erase_if(pending_loads_,
                  [&](const auto& entry) { return entry.second.expires_at <= now; });
    const auto catalog = ports_.configuration.current();
    std::vector<addressed_order> due;
    for (const auto& [name, pool] : catalog->pools) {
        const auto model = catalog->models.find(pool.model);
        if (pool.kind == catalog::pool_kind::model && model != catalog->models.end()) {
            add_due_orders(pool, model->second, due);
        }
    }
    return due;
}

void model_placement::add_due_orders(const catalog::pool& pool, const catalog::model& model,
                                     std::vector<addressed_order>& due) {
    const std::vector<engine_view> engines = ports_.directory.available(pool.name);
    // At most half of a pool's engines load at the same time, but always at least one.
    const std::size_t pool_limit = std::max<std::size_t>(engines.size() / 2, 1);
    std::size_t pool_loads = 0;
    std::vector<addressed_order> candidates;
    for (const engine_view& engine : engines) {
        const auto order = order_for(engine.load, model);
        const auto known = pending_loads_.find(engine.target.name);
        const bool in_progress =
            known != pending_loads_.end() && known->second.process == engine.target.incarnation;
        if (!order && in_progress) {
            pending_loads_.erase(known);  // The engine has loaded it.
        } else if (order && in_progress) {
            ++pool_loads;
        } else if (order) {
            candidates.push_back({engine.target, *order});
        }
    }
    for (addressed_order& order : candidates) {
        if (pool_loads >= pool_limit || pending_loads_.size() >= settings_.max_concurrent_loads) {
            return;
        }
        ++pool_loads;
        const base::monotonic_time expires_at = ports_.scheduler.now() + settings_.load_timeout;
        pending_loads_[order.target.name] = pending_load{order.target.incarnation, expires_at};
        due.push_back(std::move(order));
    }
}

std::optional<engine::engine_order> model_placement::order_for(const engine::load_report& load,
                                                               const catalog::model& model) const {
    const bool reported = !load.model.value.empty();
    if (!reported || load.kind != engine::engine_kind::model) {
        return std::nullopt;
    }
    if (load.model != model.name || load.version != model.version) {
        return engine::load_model_order{model.name, model.version};
    }
    for (const base::adapter_name& adapter : model.adapters) {
        if (std::find(load.adapters.begin(), load.adapters.end(), adapter) == load.adapters.end()) {
            return engine::load_adapter_order{adapter};
        }
    }
    return std::nullopt;
}

runtime::task<void> model_placement::send(addressed_order order) {
    // Checked right before the order is sent, since the lease may have been lost since it was
    // planned.
    const auto token = ports_.leases.token(placement_lease);
    if (!token) {
        co_return;
    }
    ++counters_.orders_sent;
    engine::engine_order content = std::move(order.order);
    const engine::result<void> sent =
        co_await ports_.engines.order(order.target, *token, std::move(content));
    if (sent) {
        runtime::log(
            runtime::log_level::info, component, "sent an order to load to an engine",
            {{"engine", order.target.name.value}, {"token", std::to_string(token->value)}});
        co_return;
    }
    ++counters_.orders_failed;
    counters_.orders_stale += sent.error().code == engine::error_code::refused_stale_token ? 1 : 0;
    const auto known = pending_loads_.find(order.target.name);
    if (known != pending_loads_.end()) {
        known->second.expires_at = ports_.scheduler.now() + settings_.retry_after;
    }
}

}  // namespace ferryroad::router::leases
