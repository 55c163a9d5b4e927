#include "emulator/platform/table_model.hpp"

#include <algorithm>

namespace ferryroad::emulator {

using platform::row;
using platform::row_key;
using platform::row_version;

row table_model::row_at(const row_key& key) const {
    const auto found = cells_.find(key.value);
    if (found == cells_.end()) {
        return row{key, {}, row_version(0)};
    }
    return row{key, found->second.value, found->second.version};
}

platform::transaction_outcome table_model::commit(const platform::transaction& requested) {
    platform::transaction_outcome outcome;
    for (const platform::row_condition& condition : requested.conditions) {
        row current = row_at(condition.key);
        if (current.version != condition.version) {
            outcome.conflicting = std::move(current);
            return outcome;
        }
    }
    outcome.committed = true;
    if (requested.writes.empty()) {
        return outcome;
    }
    outcome.version = row_version(++last_version_);
    for (const platform::row_write& write : requested.writes) {
        if (write.value) {
            cells_[write.key.value] = cell{*write.value, outcome.version};
        } else {
            cells_.erase(write.key.value);
        }
    }
    return outcome;
}

std::vector<platform::transaction_outcome> table_model::transact(
    const std::vector<platform::transaction>& transactions) {
    std::vector<platform::transaction_outcome> outcomes;
    outcomes.reserve(transactions.size());
    for (const platform::transaction& requested : transactions) {
        outcomes.push_back(commit(requested));
    }
    return outcomes;
}

std::vector<row> table_model::read(const std::vector<row_key>& keys) const {
    std::vector<row> rows;
    for (const row_key& key : keys) {
        row current = row_at(key);
        if (current.version.value != 0) {
            rows.push_back(std::move(current));
        }
    }
    return rows;
}

std::vector<row> table_model::scan(std::string_view prefix, const row_key& after,
                                   std::uint32_t limit) const {
    std::vector<row> rows;
    auto position =
        after.value < prefix ? cells_.lower_bound(prefix) : cells_.upper_bound(after.value);
    while (position != cells_.end() && rows.size() < limit &&
           std::string_view(position->first).starts_with(prefix)) {
        rows.push_back(
            row{row_key(position->first), position->second.value, position->second.version});
        ++position;
    }
    return rows;
}

}  // namespace ferryroad::emulator
