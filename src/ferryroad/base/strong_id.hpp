/// @file
/// Strong typedefs: passing a tenant name where a route name is expected doesn't compile.
#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <ostream>
#include <string>
#include <utility>

namespace ferryroad::base {

/// A value of type `Rep` that can only be compared with and assigned from ids of the same `Tag`.
template <typename Tag, typename Rep>
struct strong_id {
    using representation = Rep;

    Rep value{};

    strong_id() = default;
    explicit strong_id(Rep initial) : value(std::move(initial)) {}

    // clang-tidy 14 mistakes the 0 in `(a <=> b) < 0` for a null pointer.
    // NOLINTNEXTLINE(modernize-use-nullptr)
    friend auto operator<=>(const strong_id&, const strong_id&) = default;
    friend bool operator==(const strong_id&, const strong_id&) = default;
    friend std::ostream& operator<<(std::ostream& out, const strong_id& id) {
        return out << id.value;
    }
};

}  // namespace ferryroad::base

template <typename Tag, typename Rep>
struct std::hash<ferryroad::base::strong_id<Tag, Rep>> {
    std::size_t operator()(const ferryroad::base::strong_id<Tag, Rep>& id) const noexcept {
        return std::hash<Rep>{}(id.value);
    }
};
