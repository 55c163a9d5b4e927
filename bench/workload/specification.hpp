/// @file
/// What a workload file says: who sends what, how often, with which shared prefixes.
#pragma once

#include "ferryroad/base/ids.hpp"
#include "ferryroad/base/time.hpp"
#include "ferryroad/core/prefix/pieces.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace ferryroad::bench::workload {

/// Requests arrive by a Poisson process, whether or not earlier ones have ended.
struct open_arrivals {
    double requests_per_second = 1.0;
};

/// A fixed number of callers, each sending its next request once the last has ended.
struct closed_arrivals {
    std::uint32_t concurrency = 1;
};

using arrivals = std::variant<open_arrivals, closed_arrivals>;

/// Sizes and latencies of the place that the workload belongs to. The simulator builds
/// its system from them; against real processes they describe nothing.
struct environment {
    std::vector<base::zone_name> zones;
    base::duration zone_latency{};    ///< One way, between two zones.
    base::duration client_latency{};  ///< One way, between callers and routers.
    std::uint32_t routers = 2;
    std::uint32_t engines = 4;
    std::uint32_t application_engines = 1;
};

struct tenant_share {
    base::tenant_name name;
    double weight = 1.0;  ///< Share of the requests.
};

/// One level of a tree of nested prefixes.
struct prefix_level {
    std::uint32_t children = 1;  ///< Under each node of the level above.
    std::size_t bytes = 0;       ///< Of text that a node of this level adds.
    double stop_share = 0.0;     ///< Share of the requests whose shared prefix ends here.
};

/// A tree of shared texts. Requests choose a node at each level by Zipf's law, so that a few
/// paths are very hot. The same corpus read by two tenants gives the same texts.
struct corpus {
    std::string name;
    double zipf_exponent = 1.0;  ///< 0: all nodes alike.
    std::vector<prefix_level> levels;
    std::size_t tail_bytes_min = 64;  ///< Text of the request's own after the shared prefix.
    std::size_t tail_bytes_max = 64;
};

enum class request_type {
    generation,        ///< To a model route.
    application_read,  ///< GET that may be repeated.
    application_write  ///< POST that may not be repeated; carries an idempotency key.
};

/// One kind of request that callers send.
struct request_kind {
    std::string name;
    request_type type{};
    double weight = 1.0;              ///< Share of the requests.
    bool stream = true;               ///< Generations only.
    std::optional<std::string> path;  ///< Absent: the route of that type that the system offers.
    base::model_name model;           ///< Empty: the first model that the system offers.
    std::string corpus;               ///< Generations only: name of the corpus.
    std::uint32_t max_tokens_min = 16;
    std::uint32_t max_tokens_max = 16;
    std::size_t body_bytes = 128;  ///< Application writes only: about the body's size.
    /// Application writes only: share of requests whose caller sends them a second time.
    double repeat_share = 0.0;
};

struct specification {
    std::string name;
    /// Tells one run from another on the same system: stands in keys and prompts, behind the
    /// shared prefixes. Not part of the file.
    std::string run;
    std::uint64_t seed = 1;
    std::uint64_t requests = 1;
    std::size_t piece_bytes = core::prefix::default_piece_bytes;
    workload::arrivals arrival;
    workload::environment place;
    std::vector<tenant_share> tenants;
    std::vector<corpus> corpora;
    std::vector<request_kind> kinds;
    /// Points of the run, as a share of the requests, at which other prefixes turn hot.
    std::vector<double> hot_set_shifts;
};

}  // namespace ferryroad::bench::workload
