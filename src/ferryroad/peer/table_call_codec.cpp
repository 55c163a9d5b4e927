#include "ferryroad/peer/codec_fields.hpp"
#include "ferryroad/peer/table_call.hpp"
#include "ferryroad/peer/table_row_codec.hpp"

#include <algorithm>
#include <utility>

namespace ferryroad::peer {

namespace {

using coordination::reading::record;

/// Upper bound of the hold time; routers use shorter ones.
constexpr std::uint32_t max_hold_milliseconds = 60'000;

offset<flatbuffers::Vector<std::uint8_t>> write_block(buffer_builder& builder,
                                                      const std::optional<packed_rows>& packed) {
    if (!packed) {
        return 0;
    }
    const auto* bytes = reinterpret_cast<const std::uint8_t*>(packed->block.data());
    return builder.CreateVector(bytes, packed->block.size());
}

result<std::vector<record>> read_packed(const wire::TableAnswer& answer) {
    packed_rows packed;
    packed.block.assign(reinterpret_cast<const char*>(answer.packed()->data()),
                        answer.packed()->size());
    packed.unpacked_bytes = answer.unpacked_bytes();
    return unpack(packed);
}

void require_no_newer_rows(field_reader& reader, const table_answer& answer) {
    const bool all_covered =
        std::all_of(answer.rows.begin(), answer.rows.end(),
                    [&](const record& row) { return row.version <= answer.version; });
    reader.require(all_covered, "rows no newer than the copy");
}

}  // namespace

message_bytes encode(const table_request& request) {
    buffer_builder builder;
    const auto sender = write_text(builder, request.sender.value);
    const auto table = write_text(builder, request.table);
    const auto hold = std::clamp<std::int64_t>(request.hold.count(), 0, max_hold_milliseconds);
    return finish(builder, wire::CreateTableRequest(builder, sender, table, request.after,
                                                    request.whole, static_cast<std::uint32_t>(hold),
                                                    request.may_redirect, request.may_pack));
}

message_bytes encode(const table_answer& answer) {
    buffer_builder builder;
    const auto rows = write_rows(builder, answer.rows);
    const auto block = write_block(builder, answer.packed);
    const std::size_t unpacked = answer.packed ? answer.packed->unpacked_bytes : 0;
    const auto owner_time = std::max<std::int64_t>(0, answer.owner_time.count());
    return finish(builder,
                  wire::CreateTableAnswer(builder, answer.known, answer.whole, answer.version, rows,
                                          answer.confirmed_after.count(),
                                          static_cast<std::uint64_t>(owner_time), answer.at_owner,
                                          block, static_cast<std::uint32_t>(unpacked)));
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
    reader.require(root->hold_milliseconds() <= max_hold_milliseconds, "a shorter hold");
    request.hold = std::chrono::milliseconds(root->hold_milliseconds());
    request.may_redirect = root->may_redirect();
    request.may_pack = root->may_pack();
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
    if (root->packed() != nullptr) {
        auto rows = read_packed(*root);
        if (!rows) {
            return rows.error();
        }
        answer.rows = std::move(*rows);
    } else {
        answer.rows = read_rows(reader, root->rows());
    }
    require_no_newer_rows(reader, answer);
    answer.confirmed_after = std::chrono::microseconds(root->confirmed_after());
    answer.owner_time = std::chrono::milliseconds(root->owner_milliseconds());
    answer.at_owner = root->at_owner();
    if (reader.fault() != nullptr) {
        return malformed(std::string("table answer: expected ") + reader.fault());
    }
    return answer;
}

}  // namespace ferryroad::peer
