/// @file
/// A router's copy of an outside table, from which it answers other routers: what changed after
/// a version, and as of which moment the copy is known to be complete.
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

/// Whether two values of one row mean the same, so that the change need not be passed on.
using same_meaning = std::function<bool(const record& before, const record& after)>;

/// Versions never fall: what is older than the copy changes nothing. Not thread-safe.
class table_mirror {
  public:
    /// @param same nothing where any other value means something else.
    explicit table_mirror(same_meaning same = {}) : m_same(std::move(same)) {}
    table_mirror(const table_mirror&) = delete;
    table_mirror& operator=(const table_mirror&) = delete;
    table_mirror(table_mirror&&) = default;
    table_mirror& operator=(table_mirror&&) = default;
    ~table_mirror() = default;

    /// Takes the whole table as of `version`; a row that is missing was removed.
    /// @pre `version` is not below that of the copy.
    void replace(const std::vector<record>& rows, std::uint64_t version);
    /// Takes a changed row; the copy is complete only once `confirm` says so.
    void change(const record& row);
    /// The copy holds everything that the owner accepted before `told.as_of`.
    void confirm(const confirmation& told);

    /// @return the newest confirmation; nothing before the first.
    const std::optional<confirmation>& confirmed() const { return m_confirmed; }
    /// @return 0 before the first confirmation.
    std::uint64_t version() const { return m_confirmed ? m_confirmed->version : 0; }

    /// @return a count that rises with each change that is told to others.
    std::uint64_t revision() const { return m_revision; }

    /// @return whether `changes_after` would tell of something, or of a lost history.
    bool has_changes_after(std::uint64_t version) const {
        return version < m_forgotten || version < m_changed;
    }
    /// @return rows whose meaning changed after `version`, removed ones among them; nothing
    /// where removals since then are no longer all known.
    std::optional<std::vector<record>> changes_after(std::uint64_t version) const;
    /// @return the rows that there are.
    std::vector<record> rows() const;

  private:
    /// Removed rows that are remembered for those who ask later, at least.
    static constexpr std::size_t least_removed = 256;

    /// When a row changed last, or was removed, with its key, which lives in one of the maps.
    using change_mark = std::pair<std::uint64_t, std::string_view>;

    void put(const record& row);
    void remove(const std::string& key, std::uint64_t version);
    void mark(std::uint64_t version, std::string_view key);
    void forget_removed();
    /// As many as there are rows: a part of a table may be removed at once, however large it is,
    /// and a copy that can't tell of it has to be taken anew by all who take theirs from here.
    std::size_t most_removed() const { return std::max(least_removed, m_rows.size()); }

    same_meaning m_same;
    std::map<std::string, record> m_rows;  ///< With the version of the last change of meaning.
    std::map<std::string, std::uint64_t> m_removed;
    /// Of all rows and removed ones, the oldest first: each of the routers below this one asks
    /// several times a second, and mostly next to nothing has changed.
    std::set<change_mark> m_marks;
    std::uint64_t m_forgotten = 0;  ///< Removals up to this version may be missing.
    std::uint64_t m_changed = 0;    ///< The newest change of meaning.
    std::uint64_t m_revision = 0;
    std::optional<confirmation> m_confirmed;
};

}  // namespace ferryroad::coordination::reading
