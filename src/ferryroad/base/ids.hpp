/// @file
/// The ids that more than one folder speaks of.
#pragma once

#include "ferryroad/base/strong_id.hpp"

#include <cstdint>
#include <string>

namespace ferryroad::base {

// Names that operators choose.
using tenant_name = strong_id<struct tenant_name_tag, std::string>;
using route_name = strong_id<struct route_name_tag, std::string>;
using pool_name = strong_id<struct pool_name_tag, std::string>;
using model_name = strong_id<struct model_name_tag, std::string>;
using weights_version = strong_id<struct weights_version_tag, std::string>;
using adapter_name = strong_id<struct adapter_name_tag, std::string>;

// Machines and places. An engine's or router's name is unique over the whole system and
// outlives its process; the incarnation tells one process of that name from the next.
using engine_name = strong_id<struct engine_name_tag, std::string>;
using router_name = strong_id<struct router_name_tag, std::string>;
using zone_name = strong_id<struct zone_name_tag, std::string>;
using region_name = strong_id<struct region_name_tag, std::string>;
/// Rises with each start of a process of the same name; 0 means "not known".
using incarnation = strong_id<struct incarnation_tag, std::uint64_t>;

// One caller's request, one try of it on one engine, and the caller's own repeat key.
using request_id = strong_id<struct request_id_tag, std::string>;
using attempt_id = strong_id<struct attempt_id_tag, std::string>;
using idempotency_key = strong_id<struct idempotency_key_tag, std::string>;

/// Configuration revision; 0 means "none yet". Only ever rises.
using revision = strong_id<struct revision_tag, std::uint64_t>;
/// Orders holders of one lease: a higher token is a later holder.
using fencing_token = strong_id<struct fencing_token_tag, std::uint64_t>;
/// Chained hash of a prompt's first n pieces (see core/prefix/pieces.hpp).
using piece_hash = strong_id<struct piece_hash_tag, std::uint64_t>;

}  // namespace ferryroad::base
