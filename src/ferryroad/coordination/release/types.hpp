/// @file
/// An order to move a pool's requests to engines of another software version, how far it has
/// come, and what lasts of it beyond any router.
#pragma once

#include "ferryroad/base/ids.hpp"
#include "ferryroad/base/time.hpp"

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace ferryroad::coordination::release {

/// A software version of engines, as they list it; unordered.
using software_version = base::strong_id<struct software_version_tag, std::string>;
/// Names an order: version of the row that it was read from. Later orders are greater.
using order_number = base::strong_id<struct order_number_tag, std::uint64_t>;
/// Milliseconds of the store's steady clock.
using store_milliseconds = std::int64_t;

struct release_order {
    order_number number;
    base::pool_name pool;
    software_version target;
    base::duration allowed{};  ///< From the order to when it should be completed.

    friend bool operator==(const release_order&, const release_order&) = default;
};

enum class release_phase : std::uint8_t {
    trial,       ///< A small share of requests may go to the target version, under grants.
    promoted,    ///< All requests go there, while those at old engines end.
    completed,   ///< Old engines may stop at any moment.
    rolled_back  ///< Nothing goes there.
};

std::string_view to_string(release_phase phase);
/// @return whether the phase is never left.
inline bool is_final(release_phase phase) {
    return phase == release_phase::completed || phase == release_phase::rolled_back;
}

/// Of one pool, in the table; written under the condition that it hasn't changed.
struct release_record {
    order_number order;
    software_version target;
    release_phase phase = release_phase::trial;
    bool status_told = false;  ///< Operators have been told of a final phase.
    /// The order may have been given as early as this.
    store_milliseconds ordered_after = 0;
    std::set<software_version> refused;   ///< Rolled back or overtaken by a later order.
    std::set<software_version> replaced;  ///< Get nothing from `promoted` on.

    friend bool operator==(const release_record&, const release_record&) = default;
};

/// JSON, as `rollout/naming_record` is.
std::string encode(const release_record& record);
/// @return nothing where `text` is no such record.
std::optional<release_record> decode_release_record(std::string_view text);

/// What a router is told of a release, as the answer to its report and, on a roll-back, at once.
struct phase_notice {
    base::pool_name pool;
    order_number order;
    software_version target;
    release_phase phase = release_phase::trial;
    std::set<software_version> refused;
    std::set<software_version> replaced;

    friend bool operator==(const phase_notice&, const phase_notice&) = default;
};

}  // namespace ferryroad::coordination::release
