#include "ferryroad/router/selection/decision_log.hpp"

#include <utility>

namespace ferryroad::router::selection {

void decision_log::add(decision_record record) {
    const auto [known, is_new] = records_.try_emplace(record.request);
    if (is_new) {
        oldest_first_.push_back(record.request);
    }
    known->second = std::move(record);
    if (records_.size() > capacity_) {
        records_.erase(oldest_first_.front());
        oldest_first_.pop_front();
    }
}

std::optional<decision_record> decision_log::find(const base::request_id& request) const {
    const auto known = records_.find(request);
    if (known == records_.end()) {
        return std::nullopt;
    }
    return known->second;
}

}  // namespace ferryroad::router::selection
