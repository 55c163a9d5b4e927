/// @file
/// Serves callers' requests: resolve, admit, claim, choose, dispatch, follow to the end.
#pragma once

#include "ferryroad/core/admission/retry_budget.hpp"
#include "ferryroad/router/configuration_view.hpp"
#include "ferryroad/router/request/admission.hpp"
#include "ferryroad/router/request/call_resolution.hpp"
#include "ferryroad/router/request/execution_driver.hpp"
#include "ferryroad/router/request/tunables.hpp"
#include "ferryroad/router/request_types.hpp"

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
    /// Admits and drives the request, within its deadline.
    runtime::task<std::optional<refusal>> serve(execution_driver& driver, admission_query query);
    runtime::task<std::optional<refusal>> admit_and_drive(execution_driver& driver,
                                                          admission_query query);

    const configuration_view& configuration_;
    admission_control& admission_;
    request_collaborators with_;
    request_tunables limits_;
    call_resolver resolver_;
    std::map<budget_key, std::shared_ptr<core::admission::retry_budget>> budgets_;
};

}  // namespace ferryroad::router
