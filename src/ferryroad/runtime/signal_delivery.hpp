/// @file
/// Delivery of the signals that a router handles. They are blocked from the start of the process
/// (`launcher/launcher.cpp`) to its end and delivered only while handlers are installed, as the
/// default action of each would terminate the process.
#pragma once

namespace ferryroad::runtime {

/// Scope guard that unblocks the handled signals in the calling thread. Precondition: handlers for
/// all of them are installed before its construction and stay until after its destruction. Also
/// unblocks signals that the parent process had blocked. Use it in the event loop's thread only.
class signal_delivery {
  public:
    signal_delivery();
    ~signal_delivery();
    signal_delivery(const signal_delivery&) = delete;
    signal_delivery& operator=(const signal_delivery&) = delete;
};

}  // namespace ferryroad::runtime
