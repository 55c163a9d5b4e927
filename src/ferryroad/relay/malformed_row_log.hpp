/// @file
/// Logs rows of a followed table that cannot be decoded. Such a row may be written again many times
/// a second.
#pragma once

#include "ferryroad/runtime/log.hpp"

#include <cstddef>
#include <cstdint>
#include <set>
#include <string>
#include <utility>

namespace ferryroad::relay {

/// Not thread-safe.
class malformed_row_log {
  public:
    /// @param table name of the table, for the log.
    explicit malformed_row_log(std::string table) : m_table(std::move(table)) {}

    /// Records a malformed row. The first one of each key is logged, for a limited number of keys.
    void report(const std::string& key) {
        ++m_rows;
        if (m_keys.size() < max_keys && m_keys.insert(key).second) {
            runtime::log(runtime::log_level::warning, "relay.follower", "row malformed; not used",
                         {{"table", m_table}, {"key", key}, {"rows", std::to_string(m_rows)}});
        }
    }

  private:
    static constexpr std::size_t max_keys = 256;

    std::string m_table;
    std::set<std::string> m_keys;  ///< Of logged rows.
    std::uint64_t m_rows = 0;      ///< Received, repeated ones included.
};

}  // namespace ferryroad::relay
