/// @file
/// Calls that replicate an external table from one router to another, and their encoding
/// (schema/wire.fbs).
#pragma once

#include "ferryroad/base/ids.hpp"
#include "ferryroad/base/time.hpp"
#include "ferryroad/coordination/reading/record.hpp"
#include "ferryroad/peer/errors.hpp"
#include "ferryroad/peer/packed_rows.hpp"
#include "ferryroad/peer/transport.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace ferryroad::peer {

/// Request for the rows of a table that changed after a version, or for all rows.
struct table_request {
    base::router_name sender;
    std::string table;
    std::uint64_t after = 0;  ///< The sender's copy is complete up to this version.
    bool whole = false;       ///< The sender needs all rows.
    /// How long the receiver may hold the call until rows change (long poll).
    std::chrono::milliseconds hold{};
    bool may_redirect = false;  ///< The response may direct the sender to the table's owner.
    bool may_pack = false;      ///< The sender can decode packed rows.

    friend bool operator==(const table_request&, const table_request&) = default;
};

/// Response to `table_request`.
struct table_answer {
    bool known = false;  ///< Whether the responder has a copy; if not, ignore the other fields.
    bool whole = false;  ///< Whether `rows` are all rows of the table or only changed ones.
    std::uint64_t version = 0;  ///< Version of the responder's copy; no row is newer.
    std::vector<coordination::reading::record> rows;
    /// Time from the arrival of the request to the responder's last query of the owner; negative if
    /// the query came first.
    std::chrono::microseconds confirmed_after{};
    std::chrono::milliseconds owner_time{};  ///< Steady clock of the owner at its response.
    /// The changes are too large to forward and must be read from the owner; there are no rows
    /// here.
    bool at_owner = false;
    /// Compressed rows, sent instead of `rows` if the request allows it. Decoding unpacks them into
    /// `rows`.
    std::optional<packed_rows> packed;

    friend bool operator==(const table_answer&, const table_answer&) = default;
};

/// All functions of this file are thread-safe.
message_bytes encode(const table_request& request);
message_bytes encode(const table_answer& answer);
/// @return the message, or `malformed`.
result<table_request> decode_table_request(std::string_view bytes);
result<table_answer> decode_table_answer(std::string_view bytes);

}  // namespace ferryroad::peer
