#include "ferryroad/peer/table_row_codec.hpp"

#include "ferryroad/peer/packed_rows.hpp"

#include <cstddef>

namespace ferryroad::peer {

namespace {

using coordination::reading::record;

/// Limit of the size of a key, in bytes; keys of the replicated tables are shorter.
constexpr std::size_t max_key_bytes = 256;

offset<wire::TableRow> write_row(buffer_builder& builder, const record& row) {
    const auto key = write_text(builder, row.key);
    const auto value = write_text(builder, row.value);
    return wire::CreateTableRow(builder, key, value, row.version, row.deleted);
}

record read_row(field_reader& reader, const wire::TableRow& row) {
    return {reader.text(row.key(), max_key_bytes), reader.value(row.value()), row.version(),
            row.deleted()};
}

}  // namespace

offset<row_list> write_rows(buffer_builder& builder, const std::vector<record>& rows) {
    return write_list<wire::TableRow>(builder, rows,
                                      [&](const record& row) { return write_row(builder, row); });
}

std::vector<record> read_rows(field_reader& reader, const row_list* rows) {
    return reader.list(rows, max_table_rows,
                       [&](const auto& row) { return read_row(reader, row); });
}

}  // namespace ferryroad::peer
