/// @file
/// Puts an emulated engine on the platform's machine list, as a provider would.
#pragma once

#include "ferryroad/http/client.hpp"
#include "ferryroad/platform/services.hpp"
#include "ferryroad/runtime/scheduler.hpp"

namespace ferryroad::emulator {

/// Registers an engine in the platform's machine list. Used on the event loop's thread.
class machine_registration {
  public:
    /// @param scheduler and @p connections must outlive this object.
    machine_registration(runtime::scheduler& scheduler, http::client& connections,
                         base::endpoint platform, platform::machine machine);

    /// Registers the machine and repeats that periodically in case the platform loses its list; a
    /// failed call is retried sooner. Ends after `mark_leaving`.
    runtime::task<void> keep_registered();

    /// Marks the machine as leaving; gives up after a few failed calls.
    runtime::task<void> mark_leaving();

  private:
    /// @return whether the platform accepted the machine's current state.
    runtime::task<bool> put();

    runtime::scheduler& scheduler_;
    http::client& connections_;
    base::endpoint platform_;
    platform::machine machine_;
};

}  // namespace ferryroad::emulator
