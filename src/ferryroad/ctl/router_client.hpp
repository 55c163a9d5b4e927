/// @file
/// Client of the operators' service with failover: when a router can't be reached, the next one is
/// tried. A change has the same operation id in every attempt, so that it takes effect once.
#pragma once

#include "ferryroad/base/endpoint.hpp"
#include "ferryroad/ctl/errors.hpp"

#include <boost/system/result.hpp>

#include <chrono>
#include <functional>
#include <memory>
#include <operator/operator.grpc.pb.h>
#include <vector>

namespace ferryroad::ctl {

template <typename T>
using result = boost::system::result<T, error>;

/// Its calls block. Not thread-safe.
class router_client {
  public:
    /// @param timeout for one call, retries included.
    router_client(const std::vector<base::endpoint>& routers, std::chrono::milliseconds timeout);
    ~router_client();

    result<operators::v1::PlanAnswer> plan(const operators::v1::PlanRequest& request);
    result<operators::v1::ApplyAnswer> apply(const operators::v1::ApplyRequest& request);
    result<operators::v1::GetAnswer> get();
    result<operators::v1::StatusAnswer> status();
    result<operators::v1::DrainAnswer> drain(const operators::v1::DrainRequest& request);
    /// Idempotent.
    result<operators::v1::ConfirmAnswer> confirm(const operators::v1::ConfirmRequest& request);
    /// Asks the routers one after the other, because each has records of its own requests only.
    result<operators::v1::ExplainAnswer> explain(const operators::v1::ExplainRequest& request);

    /// Calls `take` with each event until it returns false. When the stream breaks, the watch is
    /// resumed at another router after the last event. Fails with
    /// `unreachable` where the stream breaks, or can't be opened, and `timeout` has passed since
    /// the start or the last event.
    result<void> watch(std::uint64_t after,
                       const std::function<bool(const operators::v1::WatchEvent&)>& take);

  private:
    struct connection;
    using clock = std::chrono::system_clock;

    template <typename Answer, typename Call>
    result<Answer> call_any(bool is_change, bool ask_all, Call call);
    /// @return the time limit of one attempt.
    std::chrono::milliseconds attempt_limit() const;

    std::vector<std::unique_ptr<connection>> connections_;
    std::chrono::milliseconds timeout_;
    std::size_t next_ = 0;  ///< Index of the router that the next call tries first.
};

}  // namespace ferryroad::ctl
