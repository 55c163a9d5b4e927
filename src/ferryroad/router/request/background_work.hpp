/// @file
/// Counts coroutines that outlive the request that started them, for a planned stop.
#pragma once

#include <cstddef>
#include <memory>
#include <utility>

namespace ferryroad::router {

/// Handle on the count; copies count together. Used from the event loop's thread.
class background_work {
  public:
    /// Counts one from its construction to its destruction. Goes into the coroutine by value.
    class token {
      public:
        explicit token(std::shared_ptr<std::size_t> count) : count_(std::move(count)) { ++*count_; }
        token(token&& other) noexcept = default;
        token& operator=(token&&) = delete;
        token(const token&) = delete;
        token& operator=(const token&) = delete;
        ~token() {
            if (count_) {
                --*count_;
            }
        }

      private:
        std::shared_ptr<std::size_t> count_;
    };

    token begin() const { return token(count_); }
    std::size_t count() const { return *count_; }

  private:
    std::shared_ptr<std::size_t> count_ = std::make_shared<std::size_t>(0);
};

}  // namespace ferryroad::router
