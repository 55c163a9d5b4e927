/// @file
/// Header names, paths and content types of the engine protocol.
#pragma once

#include <string_view>

namespace ferryroad::engine::protocol {

inline constexpr std::string_view generate_path = "/v1/generate";
inline constexpr std::string_view resume_path = "/v1/resume";
inline constexpr std::string_view cancel_path = "/v1/cancel";
inline constexpr std::string_view load_path = "/v1/load";
inline constexpr std::string_view events_path = "/v1/events";
inline constexpr std::string_view export_path = "/v1/state/export";
inline constexpr std::string_view import_path = "/v1/state/import";
inline constexpr std::string_view orders_path = "/v1/orders";
/// Prepended to the caller's path in requests to an application engine.
inline constexpr std::string_view application_prefix = "/app";

inline constexpr std::string_view request_id_header = "Ferryroad-Request-Id";
inline constexpr std::string_view attempt_id_header = "Ferryroad-Attempt-Id";
inline constexpr std::string_view tenant_header = "Ferryroad-Tenant";
inline constexpr std::string_view expected_incarnation_header = "Ferryroad-Expected-Incarnation";
inline constexpr std::string_view priority_header = "Ferryroad-Priority";
inline constexpr std::string_view time_left_header = "Ferryroad-Time-Left-Ms";
inline constexpr std::string_view incarnation_header = "Ferryroad-Incarnation";
inline constexpr std::string_view execution_header = "Ferryroad-Execution";
inline constexpr std::string_view idempotency_key_header = "Idempotency-Key";
inline constexpr std::string_view content_type_header = "Content-Type";

inline constexpr std::string_view json_content = "application/json";
inline constexpr std::string_view stream_content = "application/x-ndjson";

}  // namespace ferryroad::engine::protocol
