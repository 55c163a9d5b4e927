/// @file
/// Namespace within which cached prompt state may be shared.
#pragma once

#include "ferryroad/base/hash.hpp"
#include "ferryroad/base/ids.hpp"

#include <compare>
#include <cstdint>
#include <string>

namespace ferryroad::core::prefix {

/// Cached state is shared only within one namespace. Namespaces are always compared field by field;
/// the hash is only used to place them in tables and to seed the hashes of pieces.
struct cache_namespace {
    base::tenant_name tenant;
    base::model_name model;
    base::weights_version version;
    base::adapter_name adapter;  ///< Empty for the base model.

    // NOLINTNEXTLINE(modernize-use-nullptr): clang-tidy 14 misreads defaulted comparisons.
    friend auto operator<=>(const cache_namespace&, const cache_namespace&) = default;
    friend bool operator==(const cache_namespace&, const cache_namespace&) = default;

    /// @return a hash that is the same in every process.
    std::uint64_t hash() const {
        std::uint64_t chain = base::hash_bytes(tenant.value);
        chain = base::hash_bytes(model.value, chain);
        chain = base::hash_bytes(version.value, chain);
        return base::hash_bytes(adapter.value, chain);
    }
};

}  // namespace ferryroad::core::prefix

template <>
struct std::hash<ferryroad::core::prefix::cache_namespace> {
    std::size_t operator()(
        const ferryroad::core::prefix::cache_namespace& cache_namespace) const noexcept {
        return cache_namespace.hash();
    }
};
