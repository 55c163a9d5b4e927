/// @file
/// What must always hold, as far as a simulated run can see it broken.
#pragma once

#include "ferryroad/base/time.hpp"

#include <string>
#include <string_view>

namespace ferryroad::bench::simulation {

enum class invariant {
    audit,                   ///< What callers saw against what engines ran; see bench/audit.
    configuration_reverted,  ///< A process, or a ready successor, went back.
    configuration_late,      ///< Accepted, and not in force at an undisturbed router in time.
    configuration_diverged,  ///< Not the same everywhere after all faults were over.
    restart_not_serving,     ///< A restarted router was not ready in time.
    not_recovered,           ///< A router does not serve after all faults were over.
    leaving_engine_used,     ///< New work sent to a leaving engine after the bound.
    old_weights_used,        ///< New work with weights replaced before the bound.
    planned_stop_cut,        ///< A planned stop cut a request, or did not end.
    answer_cut,              ///< A router that was not killed closed a caller's connection.
    answer_late,             ///< No answer by the deadline.
    coroutine_failed         ///< An exception left a coroutine.
};

/// @return the name used in reports, such as `configuration-reverted`.
std::string_view to_string(invariant broken);

struct violation {
    invariant broken{};
    base::monotonic_time at{};
    std::string detail;
};

/// How soon things must hold.
struct invariant_bounds {
    base::duration configuration = std::chrono::seconds(5);
    base::duration restart = std::chrono::seconds(5);
    base::duration leaving = std::chrono::seconds(5);
    base::duration answer_slack = std::chrono::seconds(3);  ///< After the route's deadline.
};

}  // namespace ferryroad::bench::simulation
