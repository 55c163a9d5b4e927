#include "ferryroad/coordination/reading/table_mirror.hpp"

#include <algorithm>
#include <set>
#include <utility>

namespace ferryroad::coordination::reading {

void table_mirror::replace(const std::vector<record>& rows, std::uint64_t version) {
    std::set<std::string_view> present;
    for (const record& row : rows) {
        present.insert(row.key);
        put(row);
    }
    std::vector<std::string> missing;
    for (const auto& [key, row] : m_rows) {
        if (!present.contains(key)) {
            missing.push_back(key);
        }
    }
    for (const std::string& key : missing) {
        remove(key, version);
    }
}

void table_mirror::change(const record& row) {
    if (row.deleted) {
        remove(row.key, row.version);
    } else {
        put(row);
    }
}

void table_mirror::put(const record& row) {
    const auto found = m_rows.find(row.key);
    if (found == m_rows.end()) {
        const auto removed = m_removed.find(row.key);
        if (removed != m_removed.end()) {
            if (removed->second >= row.version) {
                return;  // Arrived late: the row has been removed since.
            }
            m_marks.erase({removed->second, removed->first});
            m_removed.erase(removed);
        }
        const auto added = m_rows.emplace(row.key, row).first;
        mark(row.version, added->first);
        return;
    }
    record& known = found->second;
    const bool newer = row.version > known.version;
    const bool same = known.value == row.value || (m_same_meaning && m_same_meaning(known, row));
    if (newer && !same) {
        m_marks.erase({known.version, found->first});
        known = row;
        mark(row.version, found->first);
    }
}

void table_mirror::remove(const std::string& key, std::uint64_t version) {
    const auto found = m_rows.find(key);
    if (found == m_rows.end()) {
        return;
    }
    const auto removed = m_removed.emplace(key, version).first;
    m_marks.erase({found->second.version, found->first});
    m_rows.erase(found);
    mark(version, removed->first);
    forget_removed();
}

void table_mirror::mark(std::uint64_t version, std::string_view key) {
    m_marks.emplace(version, key);
    m_changed_version = std::max(m_changed_version, version);
    ++m_revision;
}

void table_mirror::forget_removed() {
    while (m_removed.size() > max_removals()) {
        const auto oldest =
            std::min_element(m_removed.begin(), m_removed.end(),
                             [](const auto& a, const auto& b) { return a.second < b.second; });
        m_forgotten_version = std::max(m_forgotten_version, oldest->second);
        m_marks.erase({oldest->second, oldest->first});
        m_removed.erase(oldest);
    }
}

void table_mirror::confirm(const confirmation& received) {
    if (!m_confirmed) {
        m_confirmed = received;
        return;
    }
    m_confirmed->version = std::max(m_confirmed->version, received.version);
    if (received.as_of > m_confirmed->as_of) {
        m_confirmed->as_of = received.as_of;
        m_confirmed->owner_time = received.owner_time;
    }
}

std::optional<std::vector<record>> table_mirror::changes_after(std::uint64_t version) const {
    if (version < m_forgotten_version) {
        return std::nullopt;
    }
    std::vector<record> changed;
    const auto first = m_marks.lower_bound({version + 1, std::string_view()});
    for (auto one = first; one != m_marks.end(); ++one) {
        const std::string key(one->second);
        const auto row = m_rows.find(key);
        changed.push_back(row != m_rows.end() ? row->second : record{key, "", one->first, true});
    }
    return changed;
}

std::vector<record> table_mirror::rows() const {
    std::vector<record> all;
    all.reserve(m_rows.size());
    for (const auto& [key, row] : m_rows) {
        all.push_back(row);
    }
    return all;
}

}  // namespace ferryroad::coordination::reading
