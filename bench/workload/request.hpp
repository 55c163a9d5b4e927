/// @file
/// One request of a workload, before anything is sent.
#pragma once

#include "bench/workload/specification.hpp"
#include "ferryroad/base/ids.hpp"
#include "ferryroad/base/time.hpp"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

namespace ferryroad::bench::workload {

struct workload_request {
    std::uint64_t number = 0;  ///< From 0, in order of arrival.
    base::duration at{};       ///< Arrival since the run's start; 0 in a closed loop.
    base::tenant_name tenant;
    std::string kind;  ///< Name of the request kind.
    request_type type{};
    bool stream = false;
    std::optional<std::string> path;
    base::model_name model;
    std::shared_ptr<const std::string> prompt;  ///< Generations; unique to the request.
    std::size_t shared_bytes = 0;               ///< Leading bytes of the prompt that others share.
    std::uint32_t max_tokens = 0;
    std::string body;                          ///< Application writes.
    std::optional<base::idempotency_key> key;  ///< Application writes.
    /// The request whose key and body this one repeats.
    std::optional<std::uint64_t> repeats;
};

}  // namespace ferryroad::bench::workload
