/// @file
/// Test double: a table in memory with conditional writes, which can be slow or unavailable.
#pragma once

#include "ferryroad/platform/services.hpp"
#include "ferryroad/runtime/scheduler.hpp"

#include <algorithm>
#include <cstddef>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace ferryroad::relay::test {

class fake_table final : public platform::table {
  public:
    explicit fake_table(runtime::scheduler& scheduler) : m_scheduler(scheduler) {}

    runtime::task<platform::result<std::vector<platform::transaction_outcome>>> transact(
        std::vector<platform::transaction> transactions) override {
        ++writes;
        ++in_progress;
        most_in_progress = std::max(most_in_progress, in_progress);
        co_await m_scheduler.sleep_for(delay);
        --in_progress;
        if (down) {
            co_return unavailable();
        }
        std::vector<platform::transaction_outcome> outcomes;
        for (const platform::transaction& one : transactions) {
            outcomes.push_back(apply(one));
        }
        co_return outcomes;
    }
    runtime::task<platform::result<std::vector<platform::row>>> read(
        std::vector<platform::row_key>) override {
        co_return std::vector<platform::row>();
    }
    runtime::task<platform::result<std::vector<platform::row>>> scan(std::string prefix,
                                                                     platform::row_key after,
                                                                     std::uint32_t limit) override {
        ++scans;
        co_await m_scheduler.sleep_for(delay);
        if (down) {
            co_return unavailable();
        }
        std::vector<platform::row> page;
        for (const auto& [key, row] : rows) {
            if (key.starts_with(prefix) && key > after.value && page.size() < limit) {
                page.push_back(row);
            }
        }
        co_return page;
    }

    void put(const std::string& key, const std::string& value) {
        rows[key] = {platform::row_key(key), value, platform::row_version(++m_last_version)};
    }
    /// @return the number of rows whose keys begin with `prefix`.
    std::size_t count(const std::string& prefix) const {
        std::size_t found = 0;
        for (const auto& [key, row] : rows) {
            found += key.starts_with(prefix) ? 1 : 0;
        }
        return found;
    }

    std::map<std::string, platform::row> rows;
    base::duration delay{};
    bool down = false;
    std::size_t writes = 0;
    std::size_t scans = 0;
    std::size_t in_progress = 0;  ///< Calls of `transact`.
    std::size_t most_in_progress = 0;

  private:
    static platform::error unavailable() {
        return {platform::error_code::unavailable, "down", std::nullopt};
    }
    platform::row current(const platform::row_key& key) const {
        const auto found = rows.find(key.value);
        return found == rows.end() ? platform::row{key, "", {}} : found->second;
    }
    platform::transaction_outcome apply(const platform::transaction& change) {
        for (const platform::row_condition& one : change.conditions) {
            if (current(one.key).version != one.version) {
                return {false, {}, current(one.key)};
            }
        }
        for (const platform::row_write& one : change.writes) {
            if (one.value) {
                put(one.key.value, *one.value);
            } else {
                rows.erase(one.key.value);
            }
        }
        return {true, platform::row_version(m_last_version), std::nullopt};
    }

    runtime::scheduler& m_scheduler;
    std::uint64_t m_last_version = 0;
};

}  // namespace ferryroad::relay::test
