/// @file
/// Admission by each tenant's own limits, without queues: a rate by token bucket and a count
/// of concurrent requests.
#pragma once

#include "ferryroad/router/request/admission.hpp"
#include "ferryroad/runtime/scheduler.hpp"

#include <memory>
#include <unordered_map>

namespace ferryroad::router {

/// Holds the limits against this router's requests alone.
class token_bucket_admission final : public admission_control {
  public:
    /// @param clock outlives the admission.
    explicit token_bucket_admission(const base::clock& clock);
    ~token_bucket_admission() override;

    runtime::task<runtime::result<admission_grant, refusal>> admit(admission_query query) override;

  private:
    struct tenant_usage;
    class ticket;

    void refill(tenant_usage& usage, const catalog::tenant_limits& limits);

    const base::clock& clock_;
    std::unordered_map<base::tenant_name, std::shared_ptr<tenant_usage>> usage_;
};

}  // namespace ferryroad::router
