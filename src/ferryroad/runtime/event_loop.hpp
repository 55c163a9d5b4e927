/// @file
/// The event loop of a process, which can end its coroutines before the objects that they use.
#pragma once

#include <boost/asio/io_context.hpp>

namespace ferryroad::runtime {

/// Runs in one thread.
class event_loop : public boost::asio::io_context {
  public:
    event_loop() : io_context(1) {}

    /// Destroys the coroutines that are still suspended. To be called once, after `run` has
    /// returned for good. Else they are destroyed with the loop, after all that was made after it:
    /// a planned stop that outlasted its grace ended with a fault, as requests still under way took
    /// themselves out of lists that were gone.
    void finish() { shutdown(); }
};

}  // namespace ferryroad::runtime
