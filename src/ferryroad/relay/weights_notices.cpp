#include "ferryroad/relay/weights_notices.hpp"

#include "ferryroad/runtime/log.hpp"

#include <string_view>

namespace ferryroad::relay {

namespace {

constexpr std::string_view component = "relay.weights_notices";

}  // namespace

void weights_notices::record_naming(const std::string& model, std::uint64_t version) {
    if (!m_ports.policies.add_named_version(model, version)) {
        return;
    }
    runtime::log(runtime::log_level::info, component, "weights version set by operators",
                 {{"model", model}, {"version", std::to_string(version)}});
    m_ports.on_newer_weights();
}

void weights_notices::record_observation(const std::string& model, std::uint64_t version) {
    const base::monotonic_time now = m_ports.scheduler.now();
    if (!m_ports.policies.record_observed_version(model, version, now)) {
        return;
    }
    const base::duration age = m_ports.policies.age(now);
    runtime::log(runtime::log_level::info, component, "weights observed before their naming",
                 {{"model", model},
                  {"version", std::to_string(version)},
                  {"policy_age_ms", std::to_string(base::to_milliseconds(age))}});
    m_ports.on_newer_weights();
}

bool weights_notices::is_informed() const {
    const bool is_copy_fresh = m_ports.policies.refusals_valid(m_ports.scheduler.now());
    return !m_stopped && (is_copy_fresh || !m_ports.is_isolated());
}

}  // namespace ferryroad::relay
