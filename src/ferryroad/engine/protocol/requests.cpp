#include "ferryroad/engine/protocol/requests.hpp"

#include <boost/json/serialize.hpp>

#include <utility>

namespace ferryroad::engine::protocol {

namespace {

namespace json = boost::json;

std::string text_of(const json::object& object) {
    return json::serialize(object);
}

json::object order_json(const engine_order& order) {
    if (const auto* model = std::get_if<load_model_order>(&order)) {
        return {{"kind", "load_model"},
                {"model", model->model.value},
                {"version", model->version.value}};
    }
    if (const auto* adapter = std::get_if<load_adapter_order>(&order)) {
        return {{"kind", "load_adapter"}, {"adapter", adapter->adapter.value}};
    }
    const engine_role role = std::get<set_role_order>(order).role;
    return {{"kind", "set_role"}, {"role", name_in(role_names, role)}};
}

engine_order read_order(http::object_reader& reader) {
    const std::string kind = reader.text("kind");
    if (kind == "load_model") {
        return load_model_order{read_id<base::model_name>(reader, "model"),
                                read_id<base::weights_version>(reader, "version")};
    }
    if (kind == "load_adapter") {
        return load_adapter_order{read_id<base::adapter_name>(reader, "adapter")};
    }
    if (kind != "set_role") {
        reader.fail("kind", "load_model, load_adapter or set_role");
        return set_role_order{};
    }
    return set_role_order{read_name(reader, "role", role_names)};
}

engine_target read_source(http::object_reader& reader) {
    http::object_reader inner = read_object(reader, "source");
    engine_target source;
    source.name = read_id<base::engine_name>(inner, "name");
    const auto address = base::endpoint::parse(inner.text("address"));
    if (!address) {
        inner.fail("address", "IP:PORT");
    }
    source.address = address.value_or(base::endpoint{});
    source.incarnation = read_id<base::incarnation>(inner, "incarnation");
    propagate_fault(reader, "source", inner);
    return source;
}

generation_request read_generation(http::object_reader& reader) {
    generation_request request;
    request.request = read_id<base::request_id>(reader, "request_id");
    request.attempt = read_id<base::attempt_id>(reader, "attempt_id");
    if (auto key = reader.optional_text("idempotency_key")) {
        request.key.emplace(std::move(*key));
    }
    request.scope = read_scope(reader, "namespace");
    request.expected_incarnation = read_id<base::incarnation>(reader, "expected_incarnation");
    request.urgency = read_name(reader, "priority", priority_names);
    request.prompt = std::make_shared<const std::string>(reader.text("prompt"));
    request.max_tokens = read_count(reader, "max_tokens");
    request.first_token = read_count(reader, "first_token");
    request.time_left = read_milliseconds(reader, "time_left_ms");
    return request;
}

}  // namespace

std::string encode(const generation_request& request) {
    json::object body{{"request_id", request.request.value},
                      {"attempt_id", request.attempt.value},
                      {"namespace", scope_json(request.scope)},
                      {"expected_incarnation", request.expected_incarnation.value},
                      {"priority", name_in(priority_names, request.urgency)},
                      {"prompt", *request.prompt},
                      {"max_tokens", request.max_tokens},
                      {"first_token", request.first_token},
                      {"time_left_ms", base::to_milliseconds(request.time_left)}};
    if (request.key) {
        body["idempotency_key"] = request.key->value;
    }
    return text_of(body);
}

std::string encode(const resume_request& request) {
    return text_of({{"attempt_id", request.attempt.value},
                    {"first_token", request.first_token},
                    {"expected_incarnation", request.expected_incarnation.value}});
}

std::string encode(const cancel_request& request) {
    return text_of({{"attempt_id", request.attempt.value}});
}

std::string encode(const export_request& request) {
    return text_of(
        {{"namespace", scope_json(request.scope)}, {"pieces", pieces_json(request.pieces)}});
}

std::string encode(const import_call& call) {
    const engine_target& source = call.request.source;
    return text_of({{"expected_incarnation", call.expected_incarnation.value},
                    {"namespace", scope_json(call.request.scope)},
                    {"pieces", pieces_json(call.request.pieces)},
                    {"source", json::object{{"name", source.name.value},
                                            {"address", source.address.to_string()},
                                            {"incarnation", source.incarnation.value}}}});
}

std::string encode(const order_call& call) {
    return text_of({{"expected_incarnation", call.expected_incarnation.value},
                    {"fencing_token", call.token.value},
                    {"order", order_json(call.order)}});
}

decoded<generation_request> decode_generation(std::string_view body) {
    return decode_with<generation_request>(body, read_generation);
}

decoded<resume_request> decode_resume(std::string_view body) {
    return decode_with<resume_request>(body, [](http::object_reader& reader) {
        resume_request request;
        request.attempt = read_id<base::attempt_id>(reader, "attempt_id");
        request.first_token = read_count(reader, "first_token");
        request.expected_incarnation = read_id<base::incarnation>(reader, "expected_incarnation");
        return request;
    });
}

decoded<cancel_request> decode_cancel(std::string_view body) {
    return decode_with<cancel_request>(body, [](http::object_reader& reader) {
        return cancel_request{read_id<base::attempt_id>(reader, "attempt_id")};
    });
}

decoded<export_request> decode_export(std::string_view body) {
    return decode_with<export_request>(body, [](http::object_reader& reader) {
        export_request request;
        request.scope = read_scope(reader, "namespace");
        request.pieces = read_pieces(reader, "pieces");
        return request;
    });
}

decoded<import_call> decode_import(std::string_view body) {
    return decode_with<import_call>(body, [](http::object_reader& reader) {
        import_call call;
        call.expected_incarnation = read_id<base::incarnation>(reader, "expected_incarnation");
        call.request.scope = read_scope(reader, "namespace");
        call.request.pieces = read_pieces(reader, "pieces");
        call.request.source = read_source(reader);
        return call;
    });
}

decoded<order_call> decode_order(std::string_view body) {
    return decode_with<order_call>(body, [](http::object_reader& reader) {
        order_call call;
        call.expected_incarnation = read_id<base::incarnation>(reader, "expected_incarnation");
        call.token = read_id<base::fencing_token>(reader, "fencing_token");
        http::object_reader inner = read_object(reader, "order");
        call.order = read_order(inner);
        propagate_fault(reader, "order", inner);
        return call;
    });
}

}  // namespace ferryroad::engine::protocol
