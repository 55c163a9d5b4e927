/// @file
/// Identifier types that are shared by several modules.
#pragma once

#include "ferryroad/base/strong_id.hpp"

#include <cstdint>
#include <string>

namespace ferryroad::base {

// Names chosen by operators.
using tenant_name = strong_id<struct tenant_name_tag, std::string>;
using route_name = strong_id<struct route_name_tag, std::string>;
using pool_name = strong_id<struct pool_name_tag, std::string>;
using model_name = strong_id<struct model_name_tag, std::string>;
using weights_version = strong_id<struct weights_version_tag, std::string>;
using adapter_name = strong_id<struct adapter_name_tag, std::string>;

// Processes and locations. The name of an engine or router is unique in the whole system and stays
// the same over restarts; the incarnation distinguishes successive processes of that name.
using engine_name = strong_id<struct engine_name_tag, std::string>;
using router_name = strong_id<struct router_name_tag, std::string>;
using zone_name = strong_id<struct zone_name_tag, std::string>;
using region_name = strong_id<struct region_name_tag, std::string>;
/// Increases with each start of a process of the same name; 0 means "unknown".
using incarnation = strong_id<struct incarnation_tag, std::uint64_t>;

// A caller's request, one attempt to execute it on one engine, and the key that the caller sends to
// make retries idempotent.
using request_id = strong_id<struct request_id_tag, std::string>;
using attempt_id = strong_id<struct attempt_id_tag, std::string>;
using idempotency_key = strong_id<struct idempotency_key_tag, std::string>;

/// Configuration revision, monotonically increasing; 0 means "none yet".
using revision = strong_id<struct revision_tag, std::uint64_t>;
/// Orders the successive holders of a lease: a later holder has a higher token.
using fencing_token = strong_id<struct fencing_token_tag, std::uint64_t>;
/// Chained hash of the first n pieces of a prompt (see core/prefix/pieces.hpp).
using piece_hash = strong_id<struct piece_hash_tag, std::uint64_t>;

}  // namespace ferryroad::base
