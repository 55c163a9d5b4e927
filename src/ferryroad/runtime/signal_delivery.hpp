/// @file
/// Delivery of the signals that a router handles. They are blocked from the process's first
/// instruction (`launcher/launcher.cpp`) to its last, and delivered only while handlers are in
/// place: the default action of each would end the process.
#pragma once

namespace ferryroad::runtime {

/// Unblocks the handled signals in the calling thread while it lives. Handlers of all of them are
/// in place before it is made and after it has ended. A process may have been started with the
/// signals blocked; that ends here, too. To be used in one thread, the event loop's.
class signal_delivery {
  public:
    signal_delivery();
    ~signal_delivery();
    signal_delivery(const signal_delivery&) = delete;
    signal_delivery& operator=(const signal_delivery&) = delete;
};

}  // namespace ferryroad::runtime
