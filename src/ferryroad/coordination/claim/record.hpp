/// @file
/// Stored form of a claim: one row of the table for each key.
#pragma once

#include "ferryroad/base/ids.hpp"
#include "ferryroad/base/strong_id.hpp"
#include "ferryroad/coordination/claim/errors.hpp"

#include <boost/leaf/result.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace ferryroad::coordination::claim {

/// Name of a process of the embedder, unique in the whole system.
using holder_name = base::strong_id<struct holder_name_tag, std::string>;

/// The process that owns a claim. A process with the same name but another incarnation is a
/// different holder.
struct holder {
    holder_name name;
    base::incarnation incarnation;
    friend bool operator==(const holder&, const holder&) = default;
};

/// State of a stored claim.
enum class record_state {
    in_progress,  ///< The holder may dispatch the request, or has done so.
    finished,     ///< Ran once; the outcome is stored.
    unknown       ///< May have run; closed without an outcome.
};

/// Outcome of the request; the meaning of its fields is up to the embedder.
struct outcome {
    std::uint32_t status = 0;
    std::string content_type;
    std::string body;  ///< Arbitrary bytes.
    friend bool operator==(const outcome&, const outcome&) = default;
};

/// A claim as stored.
struct record {
    record_state state{};
    base::attempt_id attempt;  ///< The only attempt that the claim was granted to.
    holder owner;
    std::string content_digest;      ///< A key that is reused for different content is refused.
    std::int64_t claimed_at_ms = 0;  ///< Unix time by the wall clock of the holder.
    /// Unix time at which the claim was closed; 0 while in progress.
    std::int64_t ended_at_ms = 0;
    std::optional<outcome> kept_outcome;  ///< Present if finished.
    friend bool operator==(const record&, const record&) = default;
};

/// @return the record as one line of JSON that includes a format version.
std::string encode(const record& claimed);

/// Errors are LEAF error objects of type `record_error`.
boost::leaf::result<record> decode(std::string_view text);

/// @return the record, or nothing if `text` is not a record that this library can read.
std::optional<record> try_decode(std::string_view text);

}  // namespace ferryroad::coordination::claim
