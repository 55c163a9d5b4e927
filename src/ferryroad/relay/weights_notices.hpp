/// @file
/// What this router learns of newer weights, and from whom: their naming from the table of
/// operators, and the versions that engines have or are announced to load, which may be learnt
/// before the naming.
#pragma once

#include "ferryroad/relay/policy_source.hpp"
#include "ferryroad/runtime/scheduler.hpp"

#include <cstdint>
#include <functional>
#include <string>
#include <utility>

namespace ferryroad::relay {

struct weights_notice_ports {
    const runtime::scheduler& scheduler;
    policy_source& policies;
    /// @return whether no other router was heard recently although there are others.
    std::function<bool()> is_isolated;
    /// Called when a version newer than all versions known was learnt of.
    std::function<void()> on_newer_weights;
};

/// Not thread-safe: to be used from the event loop's thread. The objects referred to by the ports
/// must outlive it.
class weights_notices {
  public:
    explicit weights_notices(weights_notice_ports ports) : m_ports(std::move(ports)) {}

    /// Handles that operators named a version of a model's weights.
    void record_naming(const std::string& model, std::uint64_t version);
    /// Handles that an engine has, or is announced to load, a version of a model's weights.
    void record_observation(const std::string& model, std::uint64_t version);
    /// @return whether this router would learn without delay that newer weights are named or
    /// loaded: its copy of the namings is fresh, or it hears other routers, which announce loads.
    bool is_informed() const;
    /// To be called on a planned stop, as this router no longer exchanges notices with others: it
    /// counts as not informed from then on.
    void stop() { m_stopped = true; }

  private:
    weights_notice_ports m_ports;
    bool m_stopped = false;
};

}  // namespace ferryroad::relay
