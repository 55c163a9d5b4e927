/// @file
/// News still to be spread: each piece is sent a bounded number of times, the least sent first.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace ferryroad::coordination::membership {

/// Holds the names of what changed; the content is looked up as it is sent, so that the newest
/// state goes out. Not thread-safe.
class news_queue {
  public:
    /// Starts over the transmissions of `subject`.
    void add(const std::string& subject);
    void remove(const std::string& subject);
    /// Takes up to `count` subjects, the least sent first, and counts one transmission each;
    /// a subject sent `limit` times leaves the queue.
    std::vector<std::string> take(std::size_t count, std::uint32_t limit);
    /// Counts one transmission of every subject: a receiver is known to have them all.
    void credit(std::uint32_t limit);
    bool empty() const { return order_.empty(); }
    std::size_t size() const { return order_.size(); }

  private:
    struct entry {
        std::uint32_t transmissions = 0;
        std::uint64_t age = 0;  ///< Higher is newer.
        std::string subject;
        friend bool operator<(const entry& left, const entry& right) {
            if (left.transmissions != right.transmissions) {
                return left.transmissions < right.transmissions;
            }
            return left.age > right.age;
        }
    };
    std::set<entry> order_;
    std::map<std::string, std::set<entry>::iterator> by_subject_;
    std::uint64_t next_age_ = 0;
};

}  // namespace ferryroad::coordination::membership
