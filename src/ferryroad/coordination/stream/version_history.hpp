/// @file
/// Software versions that the engines of each pool have had, as far as this process has seen.
#pragma once

#include "ferryroad/coordination/stream/stream_origin.hpp"

#include <map>
#include <optional>
#include <set>

namespace ferryroad::coordination::stream {

/// Not thread-safe.
class version_history {
  public:
    /// Records the versions of a pool's engines. Must be called after each change of them.
    void observe(const base::pool_name& pool, std::set<software_version> versions,
                 base::monotonic_time now);
    /// Records that every change of the engines before `as_of` has been observed.
    /// @param max_gap engines that came and went in a longer time between two confirmations may
    /// have been missed.
    void confirm(base::monotonic_time as_of, base::duration max_gap);
    /// @return since when the pool's engines have been observed without a gap; nothing if they
    /// never were.
    std::optional<base::monotonic_time> observed_since(const base::pool_name& pool) const;
    /// @param within time that no other version may have been seen in.
    /// @return the version of all engines of the pool, if no other one has been seen recently.
    std::optional<software_version> sole_version(const base::pool_name& pool, base::duration within,
                                                 base::monotonic_time now) const;

  private:
    struct pool_versions {
        std::set<software_version> current;
        base::monotonic_time first_observed{};
        /// When engines of several versions, or of a version that is gone, were last seen.
        std::optional<base::monotonic_time> others_until;
    };

    std::map<base::pool_name, pool_versions> m_pools;
    std::optional<base::monotonic_time> m_confirmed_at;
    base::monotonic_time m_unbroken_since{};  ///< Meaningful once `m_confirmed_at` is set.
};

}  // namespace ferryroad::coordination::stream
