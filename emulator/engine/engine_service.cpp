#include "emulator/engine/engine_service.hpp"

#include "ferryroad/engine/protocol/answers.hpp"
#include "ferryroad/engine/protocol/headers.hpp"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <utility>

namespace ferryroad::emulator {

namespace {

namespace json = boost::json;
namespace protocol = engine::protocol;

constexpr std::array<protocol::named_value<execution_state>, 5> state_names{{
    {execution_state::queued, "queued"},
    {execution_state::running, "running"},
    {execution_state::complete, "complete"},
    {execution_state::cancelled, "cancelled"},
    {execution_state::failed, "failed"},
}};

json::object execution_json(const execution_record& record) {
    json::object row{{"incarnation", record.process.value},
                     {"request_id", record.request.value},
                     {"attempt_id", record.attempt.value},
                     {"tenant", record.scope.tenant.value},
                     {"model", record.scope.model.value},
                     {"version", record.scope.version.value},
                     {"adapter", record.scope.adapter.value},
                     {"kind", protocol::name_in(protocol::kind_names, record.kind)},
                     {"state", protocol::name_in(state_names, record.state)},
                     {"tokens", record.tokens},
                     {"first_token", record.first_token},
                     {"cached_pieces", record.cached_pieces},
                     {"total_pieces", record.total_pieces},
                     {"prompt_sha256", record.prompt_sha256}};
    row["idempotency_key"] =
        record.key ? json::value(json::string(record.key->value)) : json::value(nullptr);
    return row;
}

}  // namespace

std::string executions_json(base::incarnation process,
                            const std::vector<execution_record>& executions) {
    json::array rows;
    rows.reserve(executions.size());
    for (const execution_record& record : executions) {
        rows.emplace_back(execution_json(record));
    }
    return json::serialize(
        json::object{{"incarnation", process.value}, {"executions", std::move(rows)}});
}

http::response json_response(unsigned status, std::string body) {
    http::response answer;
    answer.status = status;
    answer.headers.add(std::string(protocol::content_type_header),
                       std::string(protocol::json_content));
    answer.body = std::move(body);
    return answer;
}

http::response error_response(const engine::error& failure) {
    protocol::error_answer encoded = protocol::encode_error(failure);
    http::response answer = json_response(encoded.status, std::move(encoded.body));
    answer.headers.add(std::string(protocol::execution_header),
                       failure.proves == engine::proof::unknown ? "unknown" : "not-run");
    return answer;
}

http::response error_response(const engine::error& failure, const base::attempt_id& attempt) {
    http::response answer = error_response(failure);
    answer.headers.add(std::string(protocol::attempt_id_header), attempt.value);
    return answer;
}

http::response malformed_response(const http::error& fault) {
    return error_response({engine::error_code::refused_bad_request, engine::proof::not_run,
                           fault.message, std::nullopt});
}

}  // namespace ferryroad::emulator
