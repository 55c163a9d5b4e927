/// @file
/// Rows of an outside table as routers pass them on: one compressed block, as most rows of a table
/// are alike. A list of 10,000 engines takes about a tenth of its size.
#pragma once

#include "ferryroad/coordination/reading/record.hpp"
#include "ferryroad/peer/errors.hpp"
#include "ferryroad/peer/transport.hpp"

#include <cstddef>
#include <string>
#include <vector>

namespace ferryroad::peer {

/// Text of the followed tables shrinks at least so much: an estimate of what rows take once they
/// are packed, before they are.
inline constexpr std::size_t least_packing_ratio = 4;

/// Each row takes more bytes than this, so that the bytes of a call bound the rows of an answer.
inline constexpr std::size_t least_row_bytes = 32;
inline constexpr std::size_t most_table_rows = largest_call / least_row_bytes;

struct packed_rows {
    std::string block;  ///< Compressed.
    std::size_t unpacked_bytes = 0;

    friend bool operator==(const packed_rows&, const packed_rows&) = default;
};

/// Thread-safe, as all here.
packed_rows pack(const std::vector<coordination::reading::record>& rows);
/// @return the rows, or `malformed` where the block holds none, or more than a call may carry.
result<std::vector<coordination::reading::record>> unpack(const packed_rows& packed);

}  // namespace ferryroad::peer
