#include "ferryroad/core/canary/canary_judge.hpp"

#include "ferryroad/core/canary/canary_trial.hpp"

#include <algorithm>
#include <cmath>

namespace ferryroad::core::canary {

std::string_view to_string(verdict found) {
    switch (found) {
        case verdict::undecided:
            return "undecided";
        case verdict::good:
            return "good";
        case verdict::bad:
            return "bad";
    }
    return "unknown";
}

judgement judge(const counts_by_route& counts, const judge_tunables& tunables) {
    return canary_trial(tunables).look(counts);
}

verdict judge_at_deadline(const counts_by_route& counts, const judge_tunables& tunables) {
    canary_trial trial(tunables);
    trial.look(counts);
    return trial.at_deadline();
}

std::size_t duration_class_of(base::duration taken) {
    const double milliseconds = 1000 * base::to_seconds(taken);
    if (milliseconds < 1) {
        return 0;
    }
    const auto half_octaves = static_cast<std::size_t>(2 * std::log2(milliseconds));
    return std::min(half_octaves, duration_classes - 1);
}

}  // namespace ferryroad::core::canary
