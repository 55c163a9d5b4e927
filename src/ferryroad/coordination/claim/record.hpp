/// @file
/// A claim as it stands in the table: one row for each key.
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

/// Names a process of the embedder, unique over the whole system.
using holder_name = base::strong_id<struct holder_name_tag, std::string>;

/// The process that claimed; one of the same name and another incarnation is another holder.
struct holder {
    holder_name name;
    base::incarnation incarnation;
    friend bool operator==(const holder&, const holder&) = default;
};

enum class record_state {
    in_progress,  ///< Its holder may dispatch, or has.
    finished,     ///< Ran once; the outcome is kept.
    unknown       ///< May have run; closed without an outcome.
};

/// What the request came to, in the embedder's own terms.
struct outcome {
    std::uint32_t status = 0;
    std::string content_type;
    std::string body;  ///< Any bytes.
    friend bool operator==(const outcome&, const outcome&) = default;
};

struct record {
    record_state state{};
    base::attempt_id attempt;  ///< The one attempt that the claim was granted to.
    holder owner;
    std::string content_digest;           ///< A key used for other content is refused.
    std::int64_t claimed_at_ms = 0;       ///< Unix time of the holder's calendar.
    std::int64_t ended_at_ms = 0;         ///< 0 while in progress.
    std::optional<outcome> kept_outcome;  ///< Where finished.
    friend bool operator==(const record&, const record&) = default;
};

/// @return JSON text, one line, with a format version.
std::string encode(const record& claimed);

/// Errors are LEAF error objects of type `record_error`.
boost::leaf::result<record> decode(std::string_view text);

/// @return nothing where `text` is no record that this library can read.
std::optional<record> try_decode(std::string_view text);

}  // namespace ferryroad::coordination::claim
