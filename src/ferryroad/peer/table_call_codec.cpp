#include "ferryroad/peer/codec_fields.hpp"
#include "ferryroad/peer/table_call.hpp"

#include <algorithm>

namespace ferryroad::peer {

namespace {

using coordination::reading::record;

/// Longer than the keys of the tables that are followed.
constexpr std::size_t key_bytes = 256;
/// Longer than any router holds a call.
constexpr std::uint32_t longest_hold_milliseconds = 60'000;

offset<wire::TableRow> write_row(buffer_builder& builder, const record& row) {
    const auto key = write_text(builder, row.key);
    const auto value = write_text(builder, row.value);
    return wire::CreateTableRow(builder, key, value, row.version, row.deleted);
}

record read_row(field_reader& reader, const wire::TableRow& row, std::uint64_t newest) {
    reader.require(row.version() <= newest, "rows no newer than the copy");
    return {reader.text(row.key(), key_bytes), reader.value(row.value()), row.version(),
            row.deleted()};
}

}  // namespace

message_bytes encode(const table_request& request) {
    buffer_builder builder;
    const auto sender = write_text(builder, request.sender.value);
    const auto table = write_text(builder, request.table);
    const auto hold = std::clamp<std::int64_t>(request.hold.count(), 0, longest_hold_milliseconds);
    return finish(builder,
                  wire::CreateTableRequest(builder, sender, table, request.after, request.whole,
                                           static_cast<std::uint32_t>(hold), request.may_redirect));
}

message_bytes encode(const table_answer& answer) {
    buffer_builder builder;
    const auto rows = write_list<wire::TableRow>(
        builder, answer.rows, [&](const record& row) { return write_row(builder, row); });
    const auto owner_time = std::max<std::int64_t>(0, answer.owner_time.count());
    return finish(builder,
                  wire::CreateTableAnswer(builder, answer.known, answer.whole, answer.version, rows,
                                          answer.confirmed_after.count(),
                                          static_cast<std::uint64_t>(owner_time), answer.at_owner));
}

result<table_request> decode_table_request(std::string_view bytes) {
    const aligned_bytes aligned(bytes);
    const auto* root = verified_root<wire::TableRequest>(aligned.view());
    if (root == nullptr) {
        return malformed("not a table request");
    }
    field_reader reader;
    table_request request;
    request.sender = reader.name<base::router_name>(root->sender());
    request.table = reader.text(root->name(), codec_limits::name_bytes);
    request.after = root->after();
    request.whole = root->whole();
    reader.require(root->hold_milliseconds() <= longest_hold_milliseconds, "a shorter hold");
    request.hold = std::chrono::milliseconds(root->hold_milliseconds());
    request.may_redirect = root->may_redirect();
    if (reader.fault() != nullptr) {
        return malformed(std::string("table request: expected ") + reader.fault());
    }
    return request;
}

result<table_answer> decode_table_answer(std::string_view bytes) {
    const aligned_bytes aligned(bytes);
    const auto* root = verified_root<wire::TableAnswer>(aligned.view());
    if (root == nullptr) {
        return malformed("not a table answer");
    }
    field_reader reader;
    table_answer answer;
    answer.known = root->known();
    answer.whole = root->whole();
    answer.version = root->version();
    answer.rows = reader.list(root->rows(), most_table_rows, [&](const auto& row) {
        return read_row(reader, row, answer.version);
    });
    answer.confirmed_after = std::chrono::microseconds(root->confirmed_after());
    answer.owner_time = std::chrono::milliseconds(root->owner_milliseconds());
    answer.at_owner = root->at_owner();
    if (reader.fault() != nullptr) {
        return malformed(std::string("table answer: expected ") + reader.fault());
    }
    return answer;
}

}  // namespace ferryroad::peer
