/// @file
/// One operator's watch: revisions as a stream of gRPC messages.
#pragma once

#include "ferryroad/router/configuration/control.hpp"
#include "ferryroad/runtime/scheduler.hpp"

#include <grpcpp/grpcpp.h>

#include <cstddef>
#include <deque>
#include <memory>
#include <operator/operator.grpc.pb.h>

namespace ferryroad::operators {

/// Events wait here for a slow operator; with more, the watch ends with RESOURCE_EXHAUSTED.
inline constexpr std::size_t most_waiting_events = 1024;

/// Owns itself: deleted on the event loop after gRPC's last callback. State is touched on the
/// event loop's thread only.
class watch_reactor final : public grpc::ServerWriteReactor<v1::WatchEvent> {
  public:
    /// @param after the revision that the operator knows.
    watch_reactor(router::configuration_control& control, runtime::scheduler& scheduler,
                  base::revision after);

    // gRPC's threads.
    void OnWriteDone(bool ok) override;
    void OnCancel() override;
    void OnDone() override;

  private:
    void subscribe(base::revision after);
    void add(const router::revision_event& event);
    void write_next();
    void finish(const grpc::Status& status);

    router::configuration_control& control_;
    boost::asio::any_io_executor executor_;
    std::unique_ptr<router::watch_subscription> subscription_;
    std::deque<v1::WatchEvent> waiting_;  ///< The front one is being written.
    bool writing_ = false;
    bool finished_ = false;
};

}  // namespace ferryroad::operators
