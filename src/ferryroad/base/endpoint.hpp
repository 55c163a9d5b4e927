/// @file
/// Network endpoints. Only numeric IP addresses are supported: ferryroad does no DNS lookups.
#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace ferryroad::base {

/// A TCP or UDP endpoint: IP address and port.
struct endpoint {
    std::string address;  ///< IPv4 or IPv6 address in text form.
    std::uint16_t port = 0;

    // NOLINTNEXTLINE(modernize-use-nullptr): clang-tidy 14 misreads defaulted comparisons.
    friend auto operator<=>(const endpoint&, const endpoint&) = default;
    friend bool operator==(const endpoint&, const endpoint&) = default;

    /// @return `address:port`, with IPv6 addresses in brackets.
    std::string to_string() const;
    /// @return the endpoint; `nullopt` if `text` is not a numeric IP address and a port.
    static std::optional<endpoint> parse(std::string_view text);
};

}  // namespace ferryroad::base
