/// @file
/// Request bodies of the engine protocol. Routers encode them and engines decode them.
#pragma once

#include "ferryroad/engine/protocol/fields.hpp"
#include "ferryroad/engine/types.hpp"

#include <string>
#include <string_view>

namespace ferryroad::engine::protocol {

/// Reopens the stream of an attempt from `first_token` on.
struct resume_request {
    base::attempt_id attempt;
    std::uint32_t first_token = 0;
    base::incarnation expected_incarnation;
};

/// Cancels an attempt.
struct cancel_request {
    base::attempt_id attempt;
};

/// Asks an engine for the cached state of the leading pieces of a prompt.
struct export_request {
    core::prefix::cache_namespace scope;
    core::prefix::piece_chain pieces;
};

/// Makes an engine import cached state from another engine.
struct import_call {
    base::incarnation expected_incarnation;
    import_request request;
};

/// An administrative order with the fencing token of its sender.
struct order_call {
    base::incarnation expected_incarnation;
    base::fencing_token token;
    engine_order order;
};

std::string encode(const generation_request& request);
std::string encode(const resume_request& request);
std::string encode(const cancel_request& request);
std::string encode(const export_request& request);
std::string encode(const import_call& call);
std::string encode(const order_call& call);

decoded<generation_request> decode_generation(std::string_view body);
decoded<resume_request> decode_resume(std::string_view body);
decoded<cancel_request> decode_cancel(std::string_view body);
decoded<export_request> decode_export(std::string_view body);
decoded<import_call> decode_import(std::string_view body);
decoded<order_call> decode_order(std::string_view body);

}  // namespace ferryroad::engine::protocol
