/// @file
/// Updates that are still to be sent. Each update is sent a bounded number of times, the least sent
/// first.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace ferryroad::coordination::membership {

/// Holds the subjects that changed. Their content is looked up when they are sent, so that the
/// newest state is sent. Not thread-safe.
class update_queue {
  public:
    /// Adds `subject`, or resets its number of transmissions.
    void add(const std::string& subject);
    void remove(const std::string& subject);
    /// Selects up to `count` subjects, the least sent first, and counts one transmission of each. A
    /// subject sent `limit` times leaves the queue.
    std::vector<std::string> take(std::size_t count, std::uint32_t limit);
    /// Counts one transmission of every subject, because a receiver is known to have all of them.
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
