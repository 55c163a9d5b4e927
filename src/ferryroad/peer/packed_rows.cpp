#include "ferryroad/peer/packed_rows.hpp"

#include "ferryroad/peer/codec_fields.hpp"
#include "ferryroad/peer/table_row_codec.hpp"

#include <new>
#include <zstd.h>

namespace ferryroad::peer {

namespace {

using coordination::reading::record;

/// The fastest level: it suffices because rows resemble each other, and routers have little CPU.
constexpr int compression_level = 1;

}  // namespace

packed_rows pack(const std::vector<record>& rows) {
    buffer_builder builder;
    const auto list = write_rows(builder, rows);
    builder.Finish(wire::CreateTableRows(builder, list));
    packed_rows packed;
    packed.unpacked_bytes = builder.GetSize();
    packed.block.resize(ZSTD_compressBound(packed.unpacked_bytes));
    const std::size_t written =
        ZSTD_compress(packed.block.data(), packed.block.size(), builder.GetBufferPointer(),
                      packed.unpacked_bytes, compression_level);
    if (ZSTD_isError(written) != 0) {
        throw std::bad_alloc();  // The only error possible with a buffer of the bound's size.
    }
    packed.block.resize(written);
    packed.block.shrink_to_fit();
    return packed;
}

result<std::vector<record>> unpack(const packed_rows& packed) {
    if (packed.unpacked_bytes > max_call_bytes) {
        return malformed("packed rows: uncompressed size exceeds the limit of a call");
    }
    std::string bytes(packed.unpacked_bytes, '\0');
    const std::size_t written =
        ZSTD_decompress(bytes.data(), bytes.size(), packed.block.data(), packed.block.size());
    if (ZSTD_isError(written) != 0 || written != bytes.size()) {
        return malformed(
            "packed rows: compressed block is damaged or has another size than stated");
    }
    const aligned_bytes aligned(bytes);
    const auto* root = verified_root<wire::TableRows>(aligned.view());
    if (root == nullptr) {
        return malformed("packed rows: block does not contain a valid table of rows");
    }
    field_reader reader;
    std::vector<record> rows = read_rows(reader, root->rows());
    if (reader.fault() != nullptr) {
        return malformed(std::string("packed rows: expected ") + reader.fault());
    }
    return rows;
}

}  // namespace ferryroad::peer
