/// @file
/// Group commit: many small transactions and reads share the table's rate-limited calls.
#pragma once

#include "ferryroad/platform/services.hpp"
#include "ferryroad/router/claims/tunables.hpp"
#include "ferryroad/runtime/scheduler.hpp"

#include <memory>

namespace ferryroad::router {

/// Sends at once while few calls are in flight; what comes meanwhile waits and goes out
/// together. Used from the event loop's thread; outlives its callers.
class table_batcher {
  public:
    table_batcher(runtime::scheduler& scheduler, platform::table& table, claim_tunables limits);
    ~table_batcher();
    table_batcher(const table_batcher&) = delete;
    table_batcher& operator=(const table_batcher&) = delete;

    /// Cancelling the coroutine leaves the transaction on its way.
    runtime::task<platform::result<platform::transaction_outcome>> transact(
        platform::transaction wanted);
    /// @return the row; version 0 where it is absent.
    runtime::task<platform::result<platform::row>> read(platform::row_key key);

    /// @return calls made to the table so far.
    std::uint64_t calls() const;

  private:
    struct state;
    std::shared_ptr<state> state_;
};

}  // namespace ferryroad::router
