/// @file
/// Puts an emulated engine on the platform's machine list, as a provider would.
#pragma once

#include "ferryroad/http/client.hpp"
#include "ferryroad/platform/services.hpp"
#include "ferryroad/runtime/scheduler.hpp"

namespace ferryroad::emulator {

/// Used from the event loop's thread.
class machine_registration {
  public:
    /// @param scheduler and `connections` outlive this.
    machine_registration(runtime::scheduler& scheduler, http::client& connections,
                         base::endpoint platform, platform::machine machine);

    /// Puts the machine on the list and again at intervals, should the list be lost; tries
    /// again soon where that fails. Ends after `mark_leaving`.
    runtime::task<void> keep();

    /// Says that the machine is leaving; gives up after a few tries.
    runtime::task<void> mark_leaving();

  private:
    runtime::task<bool> put();

    runtime::scheduler& scheduler_;
    http::client& connections_;
    base::endpoint platform_;
    platform::machine machine_;
};

}  // namespace ferryroad::emulator
