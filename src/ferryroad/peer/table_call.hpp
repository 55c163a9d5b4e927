/// @file
/// Calls by which a router takes its copy of an outside table from another router, and their
/// encoding (schema/wire.fbs).
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

struct table_request {
    base::router_name sender;
    std::string table;
    std::uint64_t after = 0;  ///< The asker's copy is complete up to this version.
    bool whole = false;       ///< The asker needs all rows.
    /// The answer may wait so long for news.
    std::chrono::milliseconds hold{};
    bool may_redirect = false;  ///< The answer may be that the owner is to be read.
    bool may_pack = false;      ///< The asker reads packed rows.

    friend bool operator==(const table_request&, const table_request&) = default;
};

struct table_answer {
    bool known = false;  ///< Whether the sender has a copy; else the rest says nothing.
    bool whole = false;  ///< `rows` are all there are; else those that changed.
    std::uint64_t version = 0;
    std::vector<coordination::reading::record> rows;
    /// The owner was asked this long after the request arrived; negative: before.
    std::chrono::microseconds confirmed_after{};
    std::chrono::milliseconds owner_time{};  ///< The owner's steady clock, as it answered.
    /// What is new is large, and to be read from the owner: there are no rows here.
    bool at_owner = false;
    /// The rows in place of `rows`, for those who may get them so. Decoded answers have `rows`.
    std::optional<packed_rows> packed;

    friend bool operator==(const table_answer&, const table_answer&) = default;
};

/// Thread-safe, as all here.
message_bytes encode(const table_request& request);
message_bytes encode(const table_answer& answer);
/// @return the message, or `malformed`.
result<table_request> decode_table_request(std::string_view bytes);
result<table_answer> decode_table_answer(std::string_view bytes);

}  // namespace ferryroad::peer
