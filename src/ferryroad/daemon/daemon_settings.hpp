/// @file
/// The settings of a router process.
#pragma once

#include "ferryroad/base/endpoint.hpp"
#include "ferryroad/base/ids.hpp"
#include "ferryroad/base/time.hpp"
#include "ferryroad/settings/schema.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace ferryroad::daemon {

/// Values of the settings; the members have the settings' names (`stop_grace` is `stop_grace_ms`).
struct daemon_settings {
    base::router_name name;
    base::zone_name zone{"zone-1"};
    base::region_name region{"region-1"};
    base::endpoint caller_listen;
    base::endpoint operator_listen;
    base::endpoint peer_listen;
    std::vector<base::endpoint> seeds;
    base::endpoint platform;
    std::string policy = "cost";
    std::uint32_t body_bytes = 8U * 1024U * 1024U;
    std::uint32_t connections = 4096;
    double memory_megabytes = 0;  ///< Memory limit of the process in MB; 0: the machine's.
    base::duration stop_grace = std::chrono::seconds(120);
    std::string log_level = "info";
};

/// Declares the settings. @param target receives the values and must outlive the schema.
settings::schema describe(daemon_settings& target);

}  // namespace ferryroad::daemon
