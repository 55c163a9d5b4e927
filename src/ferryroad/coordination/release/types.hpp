/// @file
/// Release of a software version: an order to move the requests of a pool to engines with another
/// software version, its progress, and the record of it that outlasts every router.
#pragma once

#include "ferryroad/base/ids.hpp"
#include "ferryroad/base/time.hpp"

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace ferryroad::coordination::release {

/// Software version as listed by engines; versions are not ordered.
using software_version = base::strong_id<struct software_version_tag, std::string>;
/// Identifies an order: the version of the row that it was read from. Later orders have greater
/// numbers.
using order_number = base::strong_id<struct order_number_tag, std::uint64_t>;
/// Milliseconds of the steady clock of the store.
using store_milliseconds = std::int64_t;

/// An operator's order to release a software version.
struct release_order {
    order_number number;
    base::pool_name pool;
    software_version target;
    base::duration allowed{};  ///< Time from the order to its deadline.

    friend bool operator==(const release_order&, const release_order&) = default;
};

/// Phase of a release.
enum class release_phase : std::uint8_t {
    trial,       ///< Under grants, a small share of requests may go to the target version.
    promoted,    ///< All new requests go to the target version, while requests on replaced engines
                 ///< finish.
    completed,   ///< Replaced engines may stop at any moment.
    rolled_back  ///< No request goes to the target version.
};

/// @return the name of the phase as stored in the record.
std::string_view to_string(release_phase phase);
/// @return whether no other phase follows.
inline bool is_final(release_phase phase) {
    return phase == release_phase::completed || phase == release_phase::rolled_back;
}

/// Stored record of one pool's release. Written on condition that it hasn't changed.
struct release_record {
    order_number order;
    software_version target;
    release_phase phase = release_phase::trial;
    bool status_told = false;  ///< Whether the final phase has been reported to operators.
    /// Earliest time at which the order may have been given.
    store_milliseconds ordered_after = 0;
    std::set<software_version> refused;   ///< Versions rolled back or superseded by a later order.
    std::set<software_version> replaced;  ///< Versions that get no requests from `promoted` on.

    friend bool operator==(const release_record&, const release_record&) = default;
};

/// @return the record as JSON.
std::string encode(const release_record& record);
/// @return the record, or nothing if `text` is not a valid release record.
std::optional<release_record> decode_release_record(std::string_view text);

/// Tells a router the state of a release: sent as the answer to its report and, on a roll-back, to
/// all routers at once.
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
