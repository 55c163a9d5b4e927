#include "ferryroad/core/admission/retry_budget.hpp"

#include <algorithm>

namespace ferryroad::core::admission {

retry_budget::retry_budget(double share, double reserve)
    : share_(share), reserve_(reserve), balance_(reserve) {}

void retry_budget::record_success() {
    balance_ = std::min(reserve_, balance_ + share_);
}

void retry_budget::give_back() {
    balance_ = std::min(reserve_, balance_ + 1);
}

void retry_budget::change_reserve(double reserve) {
    reserve_ = reserve;
    balance_ = std::min(balance_, reserve_);
}

bool retry_budget::try_retry() {
    if (balance_ < 1) {
        return false;
    }
    balance_ -= 1;
    return true;
}

}  // namespace ferryroad::core::admission
