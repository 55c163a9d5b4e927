/// Encoding of error responses: HTTP status, error code and proof about execution.
#include "ferryroad/engine/protocol/answers.hpp"

#include <boost/json/serialize.hpp>

#include <algorithm>
#include <iterator>

namespace ferryroad::engine::protocol {

namespace {

namespace json = boost::json;

/// An error code with its name on the wire and its HTTP status.
struct error_row {
    error_code code;
    std::string_view name;
    unsigned status;
};

constexpr error_row error_rows[] = {
    {error_code::failed, "failed", 500},
    {error_code::refused_incarnation, "incarnation_mismatch", 409},
    {error_code::refused_version, "version_mismatch", 409},
    {error_code::refused_overloaded, "overloaded", 503},
    {error_code::refused_leaving, "leaving", 503},
    {error_code::refused_bad_request, "bad_request", 400},
    {error_code::refused_stale_token, "stale_token", 409},
    {error_code::refused_import, "import_refused", 409},
    {error_code::not_found, "not_found", 404},
};

constexpr std::string_view not_run_name = "not-run";

error protocol_error(std::string message) {
    return {error_code::protocol_violation, proof::unknown, std::move(message), std::nullopt};
}

}  // namespace

error_answer encode_error(const error& failure) {
    const auto* row =
        std::find_if(std::begin(error_rows), std::end(error_rows),
                     [&](const error_row& known) { return known.code == failure.code; });
    if (row == std::end(error_rows)) {
        row = std::begin(error_rows);
    }
    json::object body{{"code", row->name},
                      {"message", failure.message},
                      {"execution", failure.proves == proof::unknown ? "unknown" : not_run_name}};
    if (failure.retry_after) {
        body["retry_after_ms"] = base::to_milliseconds(*failure.retry_after);
    }
    return {row->status, json::serialize(json::object{{"error", std::move(body)}})};
}

error decode_error(unsigned status, std::string_view body) {
    const std::string status_text = "status " + std::to_string(status);
    const auto value = http::parse_json(body);
    if (value.has_error()) {
        return protocol_error(status_text + " with an unreadable body: " + value.error().message);
    }
    http::object_reader outer(*value);
    http::object_reader reader = read_object(outer, "error");
    const std::string code = reader.text("code");
    const std::string execution = reader.text("execution");
    const bool has_retry = reader.find("retry_after_ms") != nullptr;
    const base::duration retry_after = read_milliseconds(reader, "retry_after_ms");
    propagate_fault(outer, "error", reader);
    const auto* row = std::find_if(std::begin(error_rows), std::end(error_rows),
                                   [&](const error_row& known) { return known.name == code; });
    if (outer.fault() || row == std::end(error_rows)) {
        return protocol_error(status_text +
                              " with a malformed error or an unknown error code: " + code);
    }
    error failure;
    failure.code = row->code;
    failure.proves = execution == not_run_name ? proof::not_run : proof::unknown;
    failure.message = reader.text_or("message", {});
    if (has_retry) {
        failure.retry_after = retry_after;
    }
    return failure;
}

}  // namespace ferryroad::engine::protocol
