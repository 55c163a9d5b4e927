/// @file
/// The transactional table as a value: rows with versions, conditional transactions.
#pragma once

#include "ferryroad/platform/services.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace ferryroad::emulator {

class table_model {
  public:
    /// Each transaction commits or conflicts on its own, in order.
    std::vector<platform::transaction_outcome> transact(
        const std::vector<platform::transaction>& transactions);
    /// @return the rows that exist, in the order of `keys`.
    std::vector<platform::row> read(const std::vector<platform::row_key>& keys) const;
    /// @return up to `limit` rows in key order that begin with `prefix` and come after `after`.
    std::vector<platform::row> scan(std::string_view prefix, const platform::row_key& after,
                                    std::uint32_t limit) const;

  private:
    struct cell {
        std::string value;
        platform::row_version version;
    };

    platform::transaction_outcome commit(const platform::transaction& one);
    /// @return the row as it stands; version 0 if absent.
    platform::row row_at(const platform::row_key& key) const;

    std::map<std::string, cell, std::less<>> cells_;
    std::uint64_t last_version_ = 0;
};

}  // namespace ferryroad::emulator
