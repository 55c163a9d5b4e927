/// @file
/// Serves callers' requests: resolve, admit, claim, choose, dispatch, follow to the end.
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

/// The router's `request_service`. Every collaborator outlives it.
class routing_request_service final : public request_service {
  public:
    routing_request_service(const configuration_view& configuration, admission_control& admission,
                            const request_collaborators& with, request_tunables limits = {});

    runtime::task<runtime::result<generation_summary, refusal>> generate(generation_call call,
                                                                         token_sink& sink) override;
    runtime::task<runtime::result<application_reply, refusal>> call_application(
        application_call call) override;

    /// Tells `observer` of each request's end from here on; it outlives the service.
    void observe(request_observer& observer) { observer_ = &observer; }

    /// Planned stop, once no caller is left: @return when claimed requests whose callers went
    /// away have ended, and all outcomes are recorded and cancellations told.
    runtime::task<void> drain();

  private:
    /// Whose requests share one retry budget.
    struct budget_key {
        base::route_name route;
        base::tenant_name tenant;
        friend bool operator<(const budget_key& left, const budget_key& right) {
            return std::tie(left.route, left.tenant) < std::tie(right.route, right.tenant);
        }
    };

    template <typename Call>
    runtime::result<resolved_call, refusal> resolve(const Call& call);
    driver_start start_of(const base::request_id& request, resolved_call resolved,
                          base::monotonic_time arrived);
    std::shared_ptr<core::admission::retry_budget> budget_of(const resolved_call& resolved);
    admission_query admission_query_of(const driver_start& start) const;
    /// Admits and drives the request, within its deadline; a caller gone ends it.
    runtime::task<std::optional<refusal>> serve(execution_driver& driver, admission_query query);
    /// The same for a request that holds a claim, or will: it runs to its end also without its
    /// caller, so that the caller can ask again by the key.
    /// @param relay and `sink`: null for application calls.
    runtime::task<std::optional<refusal>> serve_claimed(std::shared_ptr<execution_driver> driver,
                                                        admission_query query,
                                                        std::shared_ptr<token_relay> relay,
                                                        token_sink* sink);
    using ending =
        boost::asio::experimental::channel<void(boost::system::error_code, std::optional<refusal>)>;
    runtime::task<void> run_to_end(std::shared_ptr<execution_driver> driver, admission_query query,
                                   std::shared_ptr<token_relay> relay,
                                   std::shared_ptr<ending> ended, background_work::token counted);
    runtime::task<std::optional<refusal>> admit_and_drive(execution_driver& driver,
                                                          admission_query query);

    /// Logs the request's end and tells the observer.
    void record_end(const execution_driver& driver);

    const configuration_view& configuration_;
    admission_control& admission_;
    request_collaborators with_;
    request_tunables limits_;
    call_resolver resolver_;
    background_work background_;
    request_observer* observer_ = nullptr;
    std::map<budget_key, std::shared_ptr<core::admission::retry_budget>> budgets_;
};

}  // namespace ferryroad::router
