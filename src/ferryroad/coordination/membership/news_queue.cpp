#include "ferryroad/coordination/membership/news_queue.hpp"

#include <utility>

namespace ferryroad::coordination::membership {

void news_queue::add(const std::string& subject) {
    remove(subject);
    by_subject_[subject] = order_.insert(entry{0, next_age_++, subject}).first;
}

void news_queue::remove(const std::string& subject) {
    const auto found = by_subject_.find(subject);
    if (found != by_subject_.end()) {
        order_.erase(found->second);
        by_subject_.erase(found);
    }
}

void news_queue::credit(std::uint32_t limit) {
    std::set<entry> credited;
    for (entry piece : order_) {
        if (++piece.transmissions >= limit) {
            by_subject_.erase(piece.subject);
        } else {
            by_subject_[piece.subject] = credited.insert(credited.end(), piece);
        }
    }
    order_ = std::move(credited);
}

std::vector<std::string> news_queue::take(std::size_t count, std::uint32_t limit) {
    std::vector<entry> sent;
    while (sent.size() < count && !order_.empty()) {
        entry next = *order_.begin();
        order_.erase(order_.begin());
        ++next.transmissions;
        sent.push_back(std::move(next));
    }
    std::vector<std::string> subjects;
    for (const entry& piece : sent) {
        subjects.push_back(piece.subject);
        if (piece.transmissions < limit) {
            by_subject_[piece.subject] = order_.insert(piece).first;
        } else {
            by_subject_.erase(piece.subject);
        }
    }
    return subjects;
}

}  // namespace ferryroad::coordination::membership
