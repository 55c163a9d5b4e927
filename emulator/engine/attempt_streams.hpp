/// @file
/// Which connection reads which attempt's events.
#pragma once

#include "emulator/engine/model_types.hpp"
#include "emulator/engine/notifier.hpp"

#include <deque>
#include <memory>
#include <unordered_map>
#include <vector>

namespace ferryroad::emulator {

/// One connection's claim on an attempt's events.
struct attempt_reader {
    explicit attempt_reader(const boost::asio::any_io_executor& executor) : changed(executor) {}

    std::deque<model_output> pending;
    bool replaced = false;  ///< Another connection reads the attempt now.
    notifier changed;
};

/// The newest reader of an attempt gets its events; an older one is told that it is replaced.
class attempt_streams {
  public:
    explicit attempt_streams(boost::asio::any_io_executor executor)
        : executor_(std::move(executor)) {}

    std::shared_ptr<attempt_reader> open(attempt_handle attempt);

    /// @return true where `reader` was still the attempt's own.
    bool close(attempt_handle attempt, const std::shared_ptr<attempt_reader>& reader);

    /// Hands events to their readers; those nobody reads are dropped.
    void dispatch(std::vector<model_output> outputs);

  private:
    boost::asio::any_io_executor executor_;
    std::unordered_map<attempt_handle, std::shared_ptr<attempt_reader>> readers_;
};

}  // namespace ferryroad::emulator
