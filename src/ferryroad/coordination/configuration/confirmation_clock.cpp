#include "ferryroad/coordination/configuration/confirmation_clock.hpp"

#include <algorithm>

namespace ferryroad::coordination::configuration {

void confirmation_clock::on_head_known(base::revision head, base::monotonic_time asked_at,
                                       base::revision own) {
    if (own >= head) {
        confirmed_at_ = std::max(confirmed_at_.value_or(asked_at), asked_at);
        return;
    }
    if (!ahead_ || head > ahead_->revision ||
        (head == ahead_->revision && asked_at > ahead_->asked_at)) {
        ahead_ = known_head{head, asked_at};
    }
}

void confirmation_clock::on_advanced(base::revision own) {
    if (ahead_ && own >= ahead_->revision) {
        const base::monotonic_time asked_at = ahead_->asked_at;
        ahead_.reset();
        confirmed_at_ = std::max(confirmed_at_.value_or(asked_at), asked_at);
    }
}

bool confirmation_clock::confirmed(base::monotonic_time now) const {
    return confirmed_at_ && now - *confirmed_at_ <= limit_;
}

}  // namespace ferryroad::coordination::configuration
