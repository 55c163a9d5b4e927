#include "ferryroad/coordination/membership/update_queue.hpp"

#include <utility>

namespace ferryroad::coordination::membership {

void update_queue::add(const std::string& subject) {
    remove(subject);
    by_subject_[subject] = order_.insert(entry{0, next_age_++, subject}).first;
}

void update_queue::remove(const std::string& subject) {
    const auto found = by_subject_.find(subject);
    if (found != by_subject_.end()) {
        order_.erase(found->second);
        by_subject_.erase(found);
    }
}

void update_queue::credit(std::uint32_t limit) {
    std::set<entry> credited;
    for (entry queued : order_) {
        if (++queued.transmissions >= limit) {
            by_subject_.erase(queued.subject);
        } else {
            by_subject_[queued.subject] = credited.insert(credited.end(), queued);
        }
    }
    order_ = std::move(credited);
}

std::vector<std::string> update_queue::take(std::size_t count, std::uint32_t limit) {
    std::vector<entry> sent;
    while (sent.size() < count && !order_.empty()) {
        entry next = *order_.begin();
        order_.erase(order_.begin());
        ++next.transmissions;
        sent.push_back(std::move(next));
    }
    std::vector<std::string> subjects;
    for (const entry& queued : sent) {
        subjects.push_back(queued.subject);
        if (queued.transmissions < limit) {
            by_subject_[queued.subject] = order_.insert(queued).first;
        } else {
            by_subject_.erase(queued.subject);
        }
    }
    return subjects;
}

}  // namespace ferryroad::coordination::membership
