#include "ferryroad/engine/protocol/answers.hpp"

#include <boost/json/serialize.hpp>

#include <utility>

namespace ferryroad::engine::protocol {

namespace {

namespace json = boost::json;

json::object load_json(const load_report& load) {
    json::array adapters;
    for (const base::adapter_name& adapter : load.adapters) {
        adapters.emplace_back(adapter.value);
    }
    return {{"incarnation", load.incarnation.value},
            {"kind", name_in(kind_names, load.kind)},
            {"role", name_in(role_names, load.role)},
            {"model", load.model.value},
            {"version", load.version.value},
            {"adapters", std::move(adapters)},
            {"leaving", load.leaving},
            {"running", load.running},
            {"queued", load.queued},
            {"queued_prefill_tokens", load.queued_prefill_tokens},
            {"cached_pieces", load.cached_pieces},
            {"capacity_pieces", load.capacity_pieces},
            {"prefill_tokens_per_second", load.prefill_tokens_per_second},
            {"decode_seconds_per_token", load.decode_seconds_per_token},
            {"age_ms", base::to_milliseconds(load.age)},
            {"name", load.name.value}};
}

load_report read_load(http::object_reader& reader) {
    load_report load;
    load.incarnation = read_id<base::incarnation>(reader, "incarnation");
    load.kind = read_name(reader, "kind", kind_names);
    load.role = read_name(reader, "role", role_names);
    load.model = base::model_name(reader.text_or("model", {}));
    load.version = base::weights_version(reader.text_or("version", {}));
    for (const json::value& value : reader.list("adapters")) {
        if (const json::string* text = value.if_string()) {
            load.adapters.emplace_back(std::string(text->data(), text->size()));
        } else {
            reader.fail("adapters", "a list of names");
        }
    }
    load.leaving = reader.boolean_or("leaving", false);
    load.running = read_count(reader, "running");
    load.queued = read_count(reader, "queued");
    load.queued_prefill_tokens = reader.unsigned_number("queued_prefill_tokens");
    load.cached_pieces = read_count(reader, "cached_pieces");
    load.capacity_pieces = read_count(reader, "capacity_pieces");
    load.prefill_tokens_per_second = reader.number("prefill_tokens_per_second");
    load.decode_seconds_per_token = reader.number("decode_seconds_per_token");
    load.age = read_milliseconds(reader, "age_ms");
    load.name = base::engine_name(reader.text_or("name", {}));
    return load;
}

load_report read_load_member(http::object_reader& reader) {
    http::object_reader inner = read_object(reader, "load");
    load_report load = read_load(inner);
    propagate_fault(reader, "load", inner);
    return load;
}

json::object event_json(const cache_event& event) {
    return {{"seq", event.sequence},
            {"change", name_in(change_names, event.change)},
            {"namespace", scope_json(event.scope)},
            {"root", piece_text(event.root)},
            {"piece", piece_text(event.piece)},
            {"depth", event.depth}};
}

cache_event read_event(http::object_reader& reader) {
    cache_event event;
    event.sequence = reader.unsigned_number("seq");
    event.change = read_name(reader, "change", change_names);
    event.scope = read_scope(reader, "namespace");
    event.root = read_piece(reader, "root");
    event.piece = read_piece(reader, "piece");
    event.depth = read_count(reader, "depth");
    return event;
}

void add_event(json::object& line, const stream_started& started) {
    line["type"] = "started";
    line["incarnation"] = started.incarnation.value;
    line["cached_pieces"] = started.cached_pieces;
    line["total_pieces"] = started.total_pieces;
    line["load"] = load_json(started.load);
}

void add_event(json::object& line, const stream_token& token) {
    line["type"] = "token";
    line["index"] = token.index;
    line["text"] = token.text;
}

void add_event(json::object& line, const stream_end& end) {
    line["type"] = "end";
    line["reason"] = name_in(finish_names, end.reason);
    line["tokens"] = end.tokens;
    line["load"] = load_json(end.load);
}

void add_event(json::object& line, const stream_break& failure) {
    line["type"] = "error";
    line["code"] = failure.code;
    line["message"] = failure.message;
}

stream_started read_started(http::object_reader& reader) {
    stream_started started;
    started.incarnation = read_id<base::incarnation>(reader, "incarnation");
    started.cached_pieces = read_count(reader, "cached_pieces");
    started.total_pieces = read_count(reader, "total_pieces");
    started.load = read_load_member(reader);
    return started;
}

stream_end read_end(http::object_reader& reader) {
    stream_end end;
    end.reason = read_name(reader, "reason", finish_names);
    end.tokens = read_count(reader, "tokens");
    end.load = read_load_member(reader);
    return end;
}

stream_line read_line(http::object_reader& reader) {
    stream_line line;
    line.attempt = read_id<base::attempt_id>(reader, "attempt_id");
    const std::string type = reader.text("type");
    if (type == "started") {
        line.event = read_started(reader);
    } else if (type == "token") {
        line.event = stream_token{read_count(reader, "index"), reader.text("text")};
    } else if (type == "end") {
        line.event = read_end(reader);
    } else if (type == "error") {
        line.event = stream_break{reader.text("code"), reader.text_or("message", {})};
    } else {
        reader.fail("type", "started, token, end or error");
    }
    return line;
}

}  // namespace

std::string encode(const load_report& load) {
    return json::serialize(load_json(load));
}

std::string encode(const cache_event_batch& batch) {
    json::array events;
    events.reserve(batch.events.size());
    for (const cache_event& event : batch.events) {
        events.emplace_back(event_json(event));
    }
    return json::serialize(json::object{{"incarnation", batch.incarnation.value},
                                        {"gap", batch.gap},
                                        {"next", batch.next_sequence},
                                        {"events", std::move(events)}});
}

std::string encode(const import_answer& answer) {
    return json::serialize(json::object{{"imported_pieces", answer.imported_pieces}});
}

std::string encode_line(const stream_line& line) {
    json::object object{{"attempt_id", line.attempt.value}};
    std::visit([&object](const auto& event) { add_event(object, event); }, line.event);
    return json::serialize(object) + '\n';
}

decoded<load_report> decode_load(std::string_view body) {
    return decode_with<load_report>(body, read_load);
}

decoded<cache_event_batch> decode_events(std::string_view body) {
    return decode_with<cache_event_batch>(body, [](http::object_reader& reader) {
        cache_event_batch batch;
        batch.incarnation = read_id<base::incarnation>(reader, "incarnation");
        batch.gap = reader.boolean_or("gap", false);
        batch.next_sequence = reader.unsigned_number("next");
        for (const json::value& value : reader.list("events")) {
            http::object_reader inner(value, "events");
            batch.events.push_back(read_event(inner));
            propagate_fault(reader, "events", inner);
        }
        return batch;
    });
}

decoded<import_answer> decode_import_answer(std::string_view body) {
    return decode_with<import_answer>(body, [](http::object_reader& reader) {
        return import_answer{read_count(reader, "imported_pieces")};
    });
}

decoded<stream_line> decode_line(std::string_view line) {
    return decode_with<stream_line>(line, read_line);
}

}  // namespace ferryroad::engine::protocol
