/// @file
/// Messages between routers about where streams began, with their encoding (schema/wire.fbs). Each
/// is a datagram of its own.
#pragma once

#include "ferryroad/base/ids.hpp"
#include "ferryroad/coordination/stream/stream_origin.hpp"
#include "ferryroad/peer/errors.hpp"
#include "ferryroad/peer/transport.hpp"

#include <cstdint>
#include <optional>
#include <string_view>
#include <variant>

namespace ferryroad::peer {

/// Asks the receiver to keep a replica of a stream's origin.
struct origin_record {
    coordination::stream::aged_origin recorded;  ///< The age has millisecond precision.

    friend bool operator==(const origin_record&, const origin_record&) = default;
};

/// Asks the receiver where a stream began.
struct origin_query {
    std::uint64_t number = 0;  ///< Chosen by the sender to match the answer.
    coordination::stream::stream_key stream;

    friend bool operator==(const origin_query&, const origin_query&) = default;
};

/// Answer to a query.
struct origin_answer {
    std::uint64_t number = 0;  ///< Number of the query.
    /// Nothing if the sender doesn't know it.
    std::optional<coordination::stream::aged_origin> found;

    friend bool operator==(const origin_answer&, const origin_answer&) = default;
};

/// Asks the receiver to write a stream's origin to the table and to confirm that.
struct origin_store_request {
    std::uint64_t number = 0;                    ///< Chosen by the sender to match the answer.
    coordination::stream::aged_origin recorded;  ///< The age has millisecond precision.

    friend bool operator==(const origin_store_request&, const origin_store_request&) = default;
};

/// Answer to `origin_store_request`: the table has the origin.
struct origin_stored {
    std::uint64_t number = 0;  ///< Number of the request.

    friend bool operator==(const origin_stored&, const origin_stored&) = default;
};

using origin_body =
    std::variant<origin_record, origin_query, origin_answer, origin_store_request, origin_stored>;

struct stream_origin_message {
    base::router_name sender;
    origin_body body;

    friend bool operator==(const stream_origin_message&, const stream_origin_message&) = default;
};

/// All functions of this file are thread-safe.
message_bytes encode(const stream_origin_message& message);
/// @return whether the datagram carries the identifier of this message; it may still be malformed.
bool is_stream_origin_message(std::string_view bytes);
/// @return the message, or `malformed`.
result<stream_origin_message> decode_stream_origin_message(std::string_view bytes);

}  // namespace ferryroad::peer
