#include "emulator/platform/platform_answers.hpp"

#include "ferryroad/http/error_response.hpp"
#include "ferryroad/http/json.hpp"

#include <boost/json/object.hpp>

#include <cmath>

namespace ferryroad::emulator {

namespace {

constexpr unsigned status_bad_request = 400;
constexpr unsigned status_not_found = 404;
constexpr unsigned status_wrong_method = 405;
constexpr unsigned status_rate_limited = 429;
constexpr unsigned status_unavailable = 503;

base::duration milliseconds_field(http::object_reader& reader, std::string_view name) {
    const double milliseconds = reader.number_or(name, 0.0);
    if (milliseconds < 0.0) {
        reader.fail(name, "milliseconds of at least 0");
    }
    return base::from_seconds(milliseconds / 1e3);
}

http::response rate_limited(base::duration retry_after) {
    const double seconds = base::to_seconds(retry_after);
    boost::json::object fields;
    fields["code"] = "rate_limited";
    fields["message"] = "over the rate of this service; nothing was changed";
    fields["retry_after_ms"] = static_cast<std::uint64_t>(std::ceil(seconds * 1e3));
    boost::json::object body;
    body["error"] = std::move(fields);
    http::response answer = json_answer(http::to_text(body));
    answer.status = status_rate_limited;
    answer.headers.add("Retry-After", std::to_string(static_cast<int>(std::ceil(seconds))));
    return answer;
}

}  // namespace

http::response json_answer(std::string body) {
    http::response answer;
    answer.headers.add("Content-Type", "application/json");
    answer.body = std::move(body);
    return answer;
}

http::response empty_answer() {
    return json_answer("{}");
}

http::response bad_request(const http::error& fault) {
    return http::error_response(status_bad_request,
                                {"invalid_request_error", "malformed", fault.message});
}

http::response not_found(std::string_view what) {
    const std::string message = std::string(what) + " is not here";
    return http::error_response(status_not_found, {"invalid_request_error", "not_found", message});
}

http::response wrong_method() {
    return http::error_response(status_wrong_method, {"invalid_request_error", "wrong_method",
                                                      "this address has no such method"});
}

http::response refusal(const call_decision& decision) {
    if (decision.outcome == call_decision::verdict::rate_limited) {
        return rate_limited(decision.retry_after);
    }
    return http::error_response(status_unavailable, {"server_error", "outage",
                                                     "the platform is down; nothing was changed"});
}

http::response weights_answer(const weights_transfer& transfer) {
    boost::json::object body;
    body["bytes"] = transfer.bytes;
    body["checksum"] = transfer.checksum;
    return json_answer(http::to_text(body));
}

runtime::result<platform_faults, http::error> decode_faults(std::string_view body,
                                                            platform_faults current) {
    const auto parsed = http::parse_json(body);
    if (!parsed) {
        return parsed.error();
    }
    http::object_reader reader(*parsed);
    platform_faults faults = reader.boolean_or("clear", false) ? platform_faults{} : current;
    faults.outage = reader.boolean_or("outage", faults.outage);
    if (reader.find("delay_ms") != nullptr) {
        faults.delay = milliseconds_field(reader, "delay_ms");
    }
    faults.lost_answers =
        static_cast<std::uint32_t>(reader.unsigned_or("lost_answers", faults.lost_answers));
    if (reader.find("rate_limit_per_second") != nullptr) {
        const double rate = reader.number("rate_limit_per_second");
        if (rate <= 0.0) {
            reader.fail("rate_limit_per_second", "a rate above 0");
        }
        faults.rate = rate;
    }
    if (reader.find("machine_list_lag_ms") != nullptr) {
        faults.machine_list_lag = milliseconds_field(reader, "machine_list_lag_ms");
    }
    if (reader.fault()) {
        return *reader.fault();
    }
    return faults;
}

}  // namespace ferryroad::emulator
