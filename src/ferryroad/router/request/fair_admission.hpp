/// @file
/// Admission control by tenant limits first and then by a fair queue for each pool.
#pragma once

#include "ferryroad/core/admission/fair_queue.hpp"
#include "ferryroad/core/admission/tenant_limiter.hpp"
#include "ferryroad/router/engine_directory.hpp"
#include "ferryroad/router/request/admission.hpp"
#include "ferryroad/router/request/tenant_quota.hpp"
#include "ferryroad/router/request/tunables.hpp"
#include "ferryroad/runtime/scheduler.hpp"

#include <memory>

namespace ferryroad::router {

/// Implements admission control. The collaborators must outlive it and all its grants.
class fair_admission final : public admission_control {
  public:
    fair_admission(runtime::scheduler& scheduler, const engine_directory& directory,
                   tenant_quota& quota, admission_limits limits = {});
    ~fair_admission() override;
    fair_admission(const fair_admission&) = delete;
    fair_admission& operator=(const fair_admission&) = delete;

    runtime::task<runtime::result<admission_grant, refusal>> admit(admission_query query) override;

    /// @return the number of requests queued for the pool.
    std::size_t waiting(const base::pool_name& pool) const;

  private:
    struct state;
    std::shared_ptr<state> state_;
};

}  // namespace ferryroad::router
