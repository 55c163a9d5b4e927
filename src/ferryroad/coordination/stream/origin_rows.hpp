/// @file
/// Rows that hold origins of streams in a table outside of the routers. The keys begin with the
/// time of writing, so that rows can be read from a time on.
#pragma once

#include "ferryroad/coordination/rollout/naming_record.hpp"
#include "ferryroad/coordination/stream/stream_origin.hpp"

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace ferryroad::coordination::stream {

using rollout::store_clock_milliseconds;

/// An origin with the time of the stream's first event.
struct dated_origin {
    stream_origin origin;
    store_clock_milliseconds began_at = 0;

    friend bool operator==(const dated_origin&, const dated_origin&) = default;
};

/// All functions of this file are thread-safe.

/// @return values of rows that together hold the origins, each of at most `max_bytes`. An origin
/// that exceeds this by itself is left out.
std::vector<std::string> encode_origin_rows(const std::vector<dated_origin>& origins,
                                            std::size_t max_bytes);
/// @return the origins of a row, or nothing if `text` is not a valid row.
std::optional<std::vector<dated_origin>> decode_origin_row(std::string_view text);

/// Keys of all rows with origins begin with it.
inline constexpr std::string_view origin_row_prefix = "origins/";

/// @return the key of a row that `writer` writes.
/// @param index number of the row among those written at the same time.
std::string origin_row_key(store_clock_milliseconds written_at, const base::router_name& writer,
                           std::size_t index);
/// @return a key that is less than those of all rows written at `time` or later, and greater than
/// those of all others.
std::string first_origin_key(store_clock_milliseconds time);

}  // namespace ferryroad::coordination::stream
