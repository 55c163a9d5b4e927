/// Round trips of the bodies documented in docs/reference/engine-protocol.md, and malformed bodies.
#include "ferryroad/engine/protocol/answers.hpp"
#include "ferryroad/engine/protocol/requests.hpp"

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

using namespace ferryroad;
using namespace ferryroad::engine;

namespace {

constexpr const char* generate_body =
    R"({"request_id":"r1","attempt_id":"a1","namespace":{"tenant":"t","model":"m",)"
    R"("version":"v","adapter":"x"},"expected_incarnation":18446744073709551615,)"
    R"("priority":"high","prompt":"p","max_tokens":8,"first_token":2,"time_left_ms":1500,)"
    R"("idempotency_key":"k"})";
constexpr const char* order_body = R"({"expected_incarnation":7,"fencing_token":3,)"
                                   R"("order":{"kind":"load_model","model":"m","version":"v2"}})";
constexpr const char* import_body =
    R"({"expected_incarnation":7,"namespace":{"tenant":"t","model":"m","version":"v",)"
    R"("adapter":""},"pieces":["00000000000000ff"],)"
    R"("source":{"name":"e","address":"127.0.0.1:9","incarnation":4}})";
constexpr const char* events_body =
    R"({"incarnation":7,"gap":true,"next":6,"events":[{"seq":5,"change":"evicted",)"
    R"("namespace":{"tenant":"t","model":"m","version":"v","adapter":""},)"
    R"("root":"000000000000000a","piece":"000000000000000b","depth":1}]})";

enum class message { generate, order, import, events, load, line };

struct malformed_row {
    message kind;
    std::string body;
};

std::string replaced(std::string text, std::string_view part, std::string_view other) {
    return text.replace(text.find(part), part.size(), other);
}

std::vector<malformed_row> malformed_rows() {
    return {
        {message::generate, ""},
        {message::generate, "[]"},
        {message::generate, std::string(generate_body).substr(0, 60)},
        {message::generate, replaced(generate_body, R"("high")", R"("urgent")")},
        {message::generate, replaced(generate_body, R"("attempt_id":"a1",)", "")},
        {message::generate, replaced(generate_body, R"("max_tokens":8)", R"("max_tokens":-8)")},
        {message::generate, replaced(generate_body, ":8,", ":4294967296,")},
        {message::generate, replaced(generate_body, R"("version":"v",)", "")},
        {message::generate, replaced(generate_body, ":1500", ":99999999999999")},
        {message::order, replaced(order_body, "load_model", "unload")},
        {message::order, replaced(order_body, R"("fencing_token":3,)", "")},
        {message::import, replaced(import_body, "00000000000000ff", "ff")},
        {message::import, replaced(import_body, "00000000000000ff", "00000000000000fg")},
        {message::import, replaced(import_body, "127.0.0.1:9", "localhost:9")},
        {message::events, replaced(events_body, "evicted", "gone")},
        {message::events, replaced(events_body, R"("seq":5,)", "")},
        {message::load, R"({"incarnation":7})"},
        {message::line, R"({"type":"token","attempt_id":"a","index":0})"},
        {message::line, R"({"type":"token","attempt_id":"a","index":1.5,"text":""})"},
        {message::line, R"({"type":"token","index":0,"text":""})"},
        {message::line, R"({"type":"end","attempt_id":"a","reason":"tired","tokens":0})"},
    };
}

bool is_refused(const malformed_row& row) {
    switch (row.kind) {
        case message::generate:
            return protocol::decode_generation(row.body).has_error();
        case message::order:
            return protocol::decode_order(row.body).has_error();
        case message::import:
            return protocol::decode_import(row.body).has_error();
        case message::events:
            return protocol::decode_events(row.body).has_error();
        case message::load:
            return protocol::decode_load(row.body).has_error();
        case message::line:
            break;
    }
    return protocol::decode_line(row.body).has_error();
}

/// Compares JSON values, so that the order of members doesn't matter.
bool same_json(const std::string& left, const std::string& right) {
    return *http::parse_json(left) == *http::parse_json(right);
}

}  // namespace

Test(engine_protocol, documented_bodies_round_trip) {
    const auto generation = protocol::decode_generation(generate_body);
    cr_assert(generation.has_value());
    cr_assert(generation->expected_incarnation.value == ~std::uint64_t{0});
    cr_assert(generation->urgency == priority::high && generation->first_token == 2U);
    cr_assert(generation->key == base::idempotency_key("k"));
    cr_assert(generation->scope.adapter == base::adapter_name("x"));
    cr_assert(same_json(protocol::encode(*generation), generate_body));

    const auto order = protocol::decode_order(order_body);
    cr_assert(order && std::get<load_model_order>(order->order).version.value == "v2");
    cr_assert(same_json(protocol::encode(*order), order_body));

    const auto import = protocol::decode_import(import_body);
    cr_assert(import && import->request.pieces.at(0) == base::piece_hash(255));
    cr_assert(same_json(protocol::encode(*import), import_body));

    const auto events = protocol::decode_events(events_body);
    cr_assert(events && events->gap && events->events.at(0).change == cache_change::evicted);
    cr_assert(same_json(protocol::encode(*events), events_body));
}

Test(engine_protocol, errors_keep_code_proof_and_retry_delay) {
    for (const error_code code :
         {error_code::refused_incarnation, error_code::refused_version,
          error_code::refused_overloaded, error_code::refused_leaving,
          error_code::refused_bad_request, error_code::refused_stale_token,
          error_code::refused_import, error_code::not_found, error_code::failed}) {
        for (const proof proves : {proof::not_run, proof::unknown}) {
            const error sent{code, proves, "why", std::chrono::milliseconds(250)};
            const protocol::error_answer answer = protocol::encode_error(sent);
            const error decoded = protocol::decode_error(answer.status, answer.body);
            cr_assert(decoded.code == code && decoded.proves == proves);
            cr_assert(decoded.message == "why" && decoded.retry_after == sent.retry_after);
        }
    }
}

ParameterizedTestParameters(engine_protocol, malformed) {
    static std::vector<std::size_t> indexes;
    for (std::size_t index = 0; index < malformed_rows().size(); ++index) {
        indexes.push_back(index);
    }
    return cr_make_param_array(std::size_t, indexes.data(), indexes.size());
}

ParameterizedTest(std::size_t* index, engine_protocol, malformed) {
    const malformed_row row = malformed_rows()[*index];
    cr_assert(is_refused(row), "%s", row.body.c_str());
}
