/// @file
/// Serves callers' requests: resolves, admits and claims them, selects an engine, dispatches the
/// attempt and follows it to the end.
#pragma once

#include "ferryroad/core/admission/retry_budget.hpp"
#include "ferryroad/router/configuration_view.hpp"
#include "ferryroad/router/request/admission.hpp"
#include "ferryroad/router/request/call_resolution.hpp"
#include "ferryroad/router/request/execution_driver.hpp"
#include "ferryroad/router/request/token_relay.hpp"
#include "ferryroad/router/request/tunables.hpp"
#include "ferryroad/router/request_types.hpp"

#include <boost/asio/experimental/channel.hpp>

#include <map>
#include <memory>
#include <optional>
#include <tuple>

namespace ferryroad::router {

/// The router's `request_service`. All collaborators must outlive it. Used from the event loop's
/// thread only.
class routing_request_service final : public request_service {
  public:
    routing_request_service(const configuration_view& configuration, admission_control& admission,
                            const request_collaborators& collaborators,
                            request_tunables limits = {});

    runtime::task<runtime::result<generation_summary, refusal>> generate(generation_call call,
                                                                         token_sink& sink) override;
    runtime::task<runtime::result<application_reply, refusal>> call_application(
        application_call call) override;

    /// Notifies `observer` of each request that ends from now on.
    /// @param observer must outlive the service.
    void observe(request_observer& observer) { observer_ = &observer; }

    /// Part of a graceful shutdown; call this when no caller is left.
    /// @return when all claimed requests without a caller have ended, all outcomes are recorded
    /// and all cancellations are sent.
    runtime::task<void> drain();

  private:
    /// Requests of the same route and tenant share a retry budget.
    struct budget_key {
        base::route_name route;
        base::tenant_name tenant;
        friend bool operator<(const budget_key& left, const budget_key& right) {
            return std::tie(left.route, left.tenant) < std::tie(right.route, right.tenant);
        }
    };

    template <typename Call>
    runtime::result<resolved_call, refusal> resolve(const Call& call);
    request_context make_context(const base::request_id& request, resolved_call resolved,
                                 base::monotonic_time arrived);
    std::shared_ptr<core::admission::retry_budget> budget_of(const resolved_call& resolved);
    admission_query admission_query_of(const request_context& context) const;
    /// Admits and runs the request within its deadline. If the caller's coroutine is cancelled,
    /// the request is interrupted.
    runtime::task<std::optional<refusal>> serve(execution_driver& driver, admission_query query);
    /// Serves a request that has or will have a claim. It runs to its end even if the caller
    /// leaves, so that the caller can repeat the key and get the outcome.
    /// @param relay null for application calls.
    /// @param sink null for application calls.
    runtime::task<std::optional<refusal>> serve_claimed(std::shared_ptr<execution_driver> driver,
                                                        admission_query query,
                                                        std::shared_ptr<token_relay> relay,
                                                        token_sink* sink);
    using completion_channel =
        boost::asio::experimental::channel<void(boost::system::error_code, std::optional<refusal>)>;
    runtime::task<void> run_to_end(std::shared_ptr<execution_driver> driver, admission_query query,
                                   std::shared_ptr<token_relay> relay,
                                   std::shared_ptr<completion_channel> completion,
                                   background_work::token counted);
    runtime::task<std::optional<refusal>> admit_and_drive(execution_driver& driver,
                                                          admission_query query);

    /// Logs the request's end and notifies the observer.
    void record_end(const execution_driver& driver);

    const configuration_view& configuration_;
    admission_control& admission_;
    request_collaborators collaborators_;
    request_tunables limits_;
    call_resolver resolver_;
    background_work background_;
    request_observer* observer_ = nullptr;
    std::map<budget_key, std::shared_ptr<core::admission::retry_budget>> budgets_;
};

}  // namespace ferryroad::router
