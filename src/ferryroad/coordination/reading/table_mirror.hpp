/// @file
/// A router's copy of an external table, from which it serves other routers: the rows that changed
/// after a given version, and the moment up to which the copy is known to be complete.
#pragma once

#include "ferryroad/coordination/reading/record.hpp"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace ferryroad::coordination::reading {

/// Returns whether two values of a row are equivalent, so that the change need not be passed on.
using same_meaning = std::function<bool(const record& before, const record& after)>;

/// Copy of one table. Versions never decrease: a row older than the copy changes nothing. Not
/// thread-safe.
class table_mirror {
  public:
    /// @param same if empty, only equal values are equivalent.
    explicit table_mirror(same_meaning same = {}) : m_same_meaning(std::move(same)) {}
    table_mirror(const table_mirror&) = delete;
    table_mirror& operator=(const table_mirror&) = delete;
    table_mirror(table_mirror&&) = default;
    table_mirror& operator=(table_mirror&&) = default;
    ~table_mirror() = default;

    /// Replaces the content by the whole table as of `version`; rows that are missing were removed.
    /// @pre `version` is not below that of the copy.
    void replace(const std::vector<record>& rows, std::uint64_t version);
    /// Applies a changed row. The copy counts as complete only after the next `confirm`.
    void change(const record& row);
    /// Records that the copy contains everything that the owner accepted before `as_of` of the
    /// confirmation.
    void confirm(const confirmation& received);

    /// @return the newest confirmation, or nothing before the first one.
    const std::optional<confirmation>& confirmed() const { return m_confirmed; }
    /// @return the confirmed version, 0 before the first confirmation.
    std::uint64_t version() const { return m_confirmed ? m_confirmed->version : 0; }

    /// @return a counter that increases with each change that is passed on to other routers.
    std::uint64_t revision() const { return m_revision; }

    /// @return whether `changes_after` would return changes, or nothing because removals are no
    /// longer known.
    bool has_changes_after(std::uint64_t version) const {
        return version < m_forgotten_version || version < m_changed_version;
    }
    /// @return rows changed after `version` (equivalent values don't count), including removed
    /// ones; nothing if the removals since `version` are no longer all known.
    std::optional<std::vector<record>> changes_after(std::uint64_t version) const;
    /// @return all rows.
    std::vector<record> rows() const;

  private:
    /// Minimum number of removed rows that are remembered for routers that ask later.
    static constexpr std::size_t min_removals = 256;

    /// Version at which a row last changed or was removed, and its key. The key refers to an entry
    /// of `m_rows` or `m_removed`.
    using change_mark = std::pair<std::uint64_t, std::string_view>;

    void put(const record& row);
    void remove(const std::string& key, std::uint64_t version);
    void mark(std::uint64_t version, std::string_view key);
    void forget_removed();
    /// As many as there are rows: a large part of a table may be removed at once, and if this copy
    /// can't report those removals, every router that takes its copy from here has to read the
    /// whole table.
    std::size_t max_removals() const { return std::max(min_removals, m_rows.size()); }

    same_meaning m_same_meaning;
    /// Each with the version of its last change to a value that is not equivalent.
    std::map<std::string, record> m_rows;
    std::map<std::string, std::uint64_t> m_removed;
    /// Marks of all rows and removed rows, oldest first, so that changes are found without a scan:
    /// each router below this one asks several times a second, and usually almost nothing has
    /// changed.
    std::set<change_mark> m_marks;
    /// Removals up to this version may have been forgotten.
    std::uint64_t m_forgotten_version = 0;
    std::uint64_t m_changed_version = 0;  ///< Version of the newest change.
    std::uint64_t m_revision = 0;
    std::optional<confirmation> m_confirmed;
};

}  // namespace ferryroad::coordination::reading
