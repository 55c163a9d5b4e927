/// @file
/// Routes the events of each attempt to the connection that reads them.
#pragma once

#include "emulator/engine/model_types.hpp"
#include "emulator/engine/notifier.hpp"

#include <deque>
#include <memory>
#include <unordered_map>
#include <vector>

namespace ferryroad::emulator {

/// The queue of events for one connection that reads an attempt.
struct attempt_reader {
    explicit attempt_reader(const boost::asio::any_io_executor& executor) : changed(executor) {}

    std::deque<model_output> pending;
    bool replaced = false;  ///< Another connection has taken over the attempt.
    notifier changed;       ///< Notified when `pending` or `replaced` has changed.
};

/// Keeps one reader per attempt. A new reader replaces the older one, which is notified. Used on
/// the event loop's thread.
class attempt_streams {
  public:
    explicit attempt_streams(boost::asio::any_io_executor executor)
        : executor_(std::move(executor)) {}

    /// Registers a new reader for the attempt, in place of an earlier one.
    std::shared_ptr<attempt_reader> open(attempt_handle attempt);

    /// Removes the reader unless it was replaced. @return whether it was removed.
    bool close(attempt_handle attempt, const std::shared_ptr<attempt_reader>& reader);

    /// Queues events at their readers. Events of attempts without a reader are dropped.
    void dispatch(std::vector<model_output> outputs);

  private:
    boost::asio::any_io_executor executor_;
    std::unordered_map<attempt_handle, std::shared_ptr<attempt_reader>> readers_;
};

}  // namespace ferryroad::emulator
