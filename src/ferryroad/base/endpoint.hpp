/// @file
/// Addresses: IP numbers only, never names (ferryroad asks no name service).
#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace ferryroad::base {

/// An IP number and a port, for TCP or UDP.
struct endpoint {
    std::string address;  ///< IPv4 or IPv6 number, as text.
    std::uint16_t port = 0;

    // NOLINTNEXTLINE(modernize-use-nullptr): clang-tidy 14 misreads defaulted comparisons.
    friend auto operator<=>(const endpoint&, const endpoint&) = default;
    friend bool operator==(const endpoint&, const endpoint&) = default;

    /// @return `address:port`, IPv6 numbers in brackets.
    std::string to_string() const;
    /// @return nothing where `text` is not an IP number and a port.
    static std::optional<endpoint> parse(std::string_view text);
};

}  // namespace ferryroad::base
