#include "ferryroad/relay/types.hpp"

namespace ferryroad::relay {

std::string_view to_string(dispatch_precondition precondition) {
    switch (precondition) {
        case dispatch_precondition::key:
            return "key";
        case dispatch_precondition::no_quarantine:
            return "no_quarantine";
        case dispatch_precondition::engine_process:
            return "engine_process";
        case dispatch_precondition::engine_stays:
            return "engine_stays";
        case dispatch_precondition::no_backoff:
            return "no_backoff";
        case dispatch_precondition::within_limit:
            return "within_limit";
        case dispatch_precondition::engine_serves:
            return "engine_serves";
        case dispatch_precondition::state_current:
            return "state_current";
        case dispatch_precondition::time_left:
            break;
    }
    return "time_left";
}

dispatch_failure withheld_for(dispatch_precondition precondition) {
    dispatch_failure failure;
    failure.kind = core::execution::failure_kind::withheld;
    failure.proof = core::execution::failure_proof::not_sent;
    failure.lost = precondition;
    failure.message = "not sent: precondition lost: " + std::string(to_string(precondition));
    return failure;
}

}  // namespace ferryroad::relay
