/// @file
/// Calls to whichever router answers: the next one is tried when one can't be reached, and a
/// change goes under the same operation id each time, so that it takes effect once.
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

/// Synchronous; used from one thread.
class router_client {
  public:
    /// @param timeout for one call with all its retries.
    router_client(const std::vector<base::endpoint>& routers, std::chrono::milliseconds timeout);
    ~router_client();

    result<operators::v1::PlanAnswer> plan(const operators::v1::PlanRequest& request);
    result<operators::v1::ApplyAnswer> apply(const operators::v1::ApplyRequest& request);
    result<operators::v1::GetAnswer> get();
    result<operators::v1::StatusAnswer> status();
    result<operators::v1::DrainAnswer> drain(const operators::v1::DrainRequest& request);
    /// Repeating it does no harm.
    result<operators::v1::ConfirmAnswer> confirm(const operators::v1::ConfirmRequest& request);
    /// Asks every router: each knows of its own requests only.
    result<operators::v1::ExplainAnswer> explain(const operators::v1::ExplainRequest& request);

    /// Calls `take` with each event until it returns false. A broken stream goes on at
    /// another router after the last event; fails after `timeout` without any router.
    result<void> watch(std::uint64_t after,
                       const std::function<bool(const operators::v1::WatchEvent&)>& take);

  private:
    struct connection;
    using clock = std::chrono::system_clock;

    template <typename Answer, typename Call>
    result<Answer> call_any(bool is_change, bool ask_all, Call call);
    /// @return how long one attempt may take.
    std::chrono::milliseconds attempt_limit() const;

    std::vector<std::unique_ptr<connection>> connections_;
    std::chrono::milliseconds timeout_;
    std::size_t next_ = 0;  ///< The router that is tried first.
};

}  // namespace ferryroad::ctl
