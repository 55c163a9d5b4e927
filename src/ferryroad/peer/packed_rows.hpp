/// @file
/// Compressed rows of an external table, as routers forward them. Rows of one table resemble each
/// other, so they are compressed as one block: a list of 10,000 engines shrinks to about a tenth.
#pragma once

#include "ferryroad/coordination/reading/record.hpp"
#include "ferryroad/peer/errors.hpp"
#include "ferryroad/peer/transport.hpp"

#include <cstddef>
#include <string>
#include <vector>

namespace ferryroad::peer {

/// Lower bound of the compression ratio of rows, used to estimate the compressed size before
/// compressing.
inline constexpr std::size_t min_compression_ratio = 4;

/// Lower bound of the encoded size of a row. It limits the number of rows in a call of maximum
/// size.
inline constexpr std::size_t min_row_bytes = 32;
inline constexpr std::size_t max_table_rows = max_call_bytes / min_row_bytes;

/// A compressed block of rows.
struct packed_rows {
    std::string block;               ///< Compressed with zstd.
    std::size_t unpacked_bytes = 0;  ///< Size before compression.

    friend bool operator==(const packed_rows&, const packed_rows&) = default;
};

/// Compresses rows. All functions of this file are thread-safe.
packed_rows pack(const std::vector<coordination::reading::record>& rows);
/// Decompresses rows.
/// @return the rows, or `malformed` if the block is invalid or larger than a call may be.
result<std::vector<coordination::reading::record>> unpack(const packed_rows& packed);

}  // namespace ferryroad::peer
