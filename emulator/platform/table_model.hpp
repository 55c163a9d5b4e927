/// @file
/// In-memory model of the transactional table: versioned rows and conditional transactions.
#pragma once

#include "ferryroad/platform/services.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace ferryroad::emulator {

/// Performs no I/O and reads no clock. Not thread-safe.
class table_model {
  public:
    /// Applies the transactions in order; each commits or conflicts independently of the others.
    /// @return one outcome per transaction, in the same order.
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

    platform::transaction_outcome commit(const platform::transaction& requested);
    /// @return the current row, or a row with version 0 if there is none.
    platform::row row_at(const platform::row_key& key) const;

    std::map<std::string, cell, std::less<>> cells_;
    std::uint64_t last_version_ = 0;
};

}  // namespace ferryroad::emulator
