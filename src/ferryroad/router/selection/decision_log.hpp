/// @file
/// Log of this router's recent routing decisions, for `explain`.
#pragma once

#include "ferryroad/router/engine_selector.hpp"

#include <cstddef>
#include <deque>
#include <optional>
#include <unordered_map>

namespace ferryroad::router::selection {

/// Bounded log of the most recent decisions, with one entry for each request: its latest one.
class decision_log {
  public:
    /// @param capacity largest number of decisions, at least 1.
    explicit decision_log(std::size_t capacity) : capacity_(capacity) {}

    void add(decision_record record);
    std::optional<decision_record> find(const base::request_id& request) const;
    std::size_t size() const { return records_.size(); }

  private:
    std::size_t capacity_;
    std::unordered_map<base::request_id, decision_record> records_;
    std::deque<base::request_id> oldest_first_;
};

}  // namespace ferryroad::router::selection
