/// @file
/// Counts coroutines that outlive the request that started them, so that a graceful shutdown
/// can wait for them.
#pragma once

#include <cstddef>
#include <memory>
#include <utility>

namespace ferryroad::router {

/// Handle to a shared counter; copies share the counter. Used from the event loop's thread only.
class background_work {
  public:
    /// Represents one running coroutine: increments the counter on construction and decrements it
    /// on destruction. Pass it to the coroutine by value.
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

    /// @return a token for a coroutine that is about to start.
    token begin() const { return token(count_); }
    /// @return the number of tokens that exist.
    std::size_t count() const { return *count_; }

  private:
    std::shared_ptr<std::size_t> count_ = std::make_shared<std::size_t>(0);
};

}  // namespace ferryroad::router
