#include "ferryroad/peer/codec_fields.hpp"
#include "ferryroad/peer/stream_origin_message.hpp"

#include <chrono>
#include <string>

namespace ferryroad::peer {

namespace {

using coordination::stream::aged_origin;

/// Distinguishes this message from other datagrams.
constexpr const char* origin_identifier = "FRSO";

/// Fields of a message, of whichever kind.
struct message_fields {
    wire::StreamOriginKind kind{};
    std::uint64_t number = 0;
    aged_origin recorded;
};

message_fields fields_of(const origin_record& body) {
    return {wire::StreamOriginKind::record, 0, body.recorded};
}

message_fields fields_of(const origin_query& body) {
    return {wire::StreamOriginKind::query, body.number, {{body.stream, {}, {}}, {}}};
}

message_fields fields_of(const origin_answer& body) {
    if (!body.found) {
        return {wire::StreamOriginKind::unknown, body.number, {}};
    }
    return {wire::StreamOriginKind::answer, body.number, *body.found};
}

message_fields fields_of(const origin_store_request& body) {
    return {wire::StreamOriginKind::store, body.number, body.recorded};
}

message_fields fields_of(const origin_stored& body) {
    return {wire::StreamOriginKind::stored, body.number, {}};
}

coordination::stream::stream_key read_key(const wire::StreamOriginMessage& encoded) {
    return {{encoded.stream_high(), encoded.stream_low()}};
}

aged_origin read_origin(field_reader& reader, const wire::StreamOriginMessage& encoded) {
    aged_origin read;
    read.origin.stream = read_key(encoded);
    read.origin.pool = reader.name<base::pool_name>(encoded.pool());
    read.origin.software =
        reader.optional_name<coordination::stream::software_version>(encoded.software());
    read.age = std::chrono::milliseconds(encoded.age_milliseconds());
    return read;
}

origin_body read_body(field_reader& reader, const wire::StreamOriginMessage& encoded) {
    switch (encoded.kind()) {
        case wire::StreamOriginKind::record:
            return origin_record{read_origin(reader, encoded)};
        case wire::StreamOriginKind::query:
            return origin_query{encoded.number(), read_key(encoded)};
        case wire::StreamOriginKind::answer:
            return origin_answer{encoded.number(), read_origin(reader, encoded)};
        case wire::StreamOriginKind::unknown:
            return origin_answer{encoded.number(), std::nullopt};
        case wire::StreamOriginKind::store:
            return origin_store_request{encoded.number(), read_origin(reader, encoded)};
        case wire::StreamOriginKind::stored:
            return origin_stored{encoded.number()};
    }
    reader.require(false, "a known kind");
    return origin_query{};
}

}  // namespace

message_bytes encode(const stream_origin_message& message) {
    const message_fields fields =
        std::visit([](const auto& body) { return fields_of(body); }, message.body);
    buffer_builder builder(max_datagram_bytes);
    const auto sender = write_text(builder, message.sender.value);
    const base::hash128& stream = fields.recorded.origin.stream.digest;
    const auto pool = write_text(builder, fields.recorded.origin.pool.value);
    const auto software = write_text(builder, fields.recorded.origin.software.value);
    return finish(builder,
                  wire::CreateStreamOriginMessage(builder, sender, fields.kind, fields.number,
                                                  stream.high, stream.low, pool, software,
                                                  to_wire_milliseconds(fields.recorded.age)),
                  origin_identifier);
}

bool is_stream_origin_message(std::string_view bytes) {
    return has_identifier(bytes, origin_identifier);
}

result<stream_origin_message> decode_stream_origin_message(std::string_view bytes) {
    const aligned_bytes aligned(bytes);
    const auto* root = verified_root<wire::StreamOriginMessage>(aligned.view(), origin_identifier);
    if (root == nullptr) {
        return malformed("not a message about a stream's origin");
    }
    field_reader reader;
    stream_origin_message message;
    message.sender = reader.name<base::router_name>(root->sender());
    message.body = read_body(reader, *root);
    if (reader.fault() != nullptr) {
        return malformed(std::string("message about a stream's origin: expected ") +
                         reader.fault());
    }
    return message;
}

}  // namespace ferryroad::peer
