/// @file
/// The event loop of a process. It can destroy its coroutines before the objects that they use.
#pragma once

#include <boost/asio/io_context.hpp>

namespace ferryroad::runtime {

/// An `io_context` that runs in one thread.
class event_loop : public boost::asio::io_context {
  public:
    event_loop() : io_context(1) {}

    /// Destroys the coroutines that are still suspended. Call once, after `run` has returned for
    /// the last time. Without this call they are destroyed with the loop, after every object that
    /// was constructed later: a shutdown that exceeded its grace period would crash, as requests
    /// in progress remove themselves from lists that are already destroyed.
    void finish() { shutdown(); }
};

}  // namespace ferryroad::runtime
