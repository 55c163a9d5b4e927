/// @file
/// Streams configuration revisions to one operator.
#pragma once

#include "ferryroad/router/configuration/control.hpp"
#include "ferryroad/runtime/scheduler.hpp"

#include <grpcpp/grpcpp.h>

#include <cstddef>
#include <deque>
#include <memory>
#include <operator/operator.grpc.pb.h>

namespace ferryroad::operators {

/// Events queued for a client that reads slowly. When the queue is full, the watch ends with
/// RESOURCE_EXHAUSTED.
inline constexpr std::size_t max_queued_events = 1024;

/// Server side of a Watch call. Deletes itself on the event loop after gRPC's last callback. Its
/// state is accessed on the event loop's thread only.
class watch_reactor final : public grpc::ServerWriteReactor<v1::WatchEvent> {
  public:
    /// @param after the last revision that the client has seen.
    watch_reactor(router::configuration_control& control, runtime::scheduler& scheduler,
                  base::revision after);

    // Called on gRPC's threads.
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
    std::deque<v1::WatchEvent> queued_events_;  ///< The front event is being written.
    bool writing_ = false;
    bool finished_ = false;
};

}  // namespace ferryroad::operators
