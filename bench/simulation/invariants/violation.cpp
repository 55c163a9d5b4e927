#include "bench/simulation/invariants/violation.hpp"

#include <array>

namespace ferryroad::bench::simulation {

std::string_view to_string(invariant broken) {
    constexpr std::array<std::string_view, 12> names = {"audit",
                                                        "configuration-reverted",
                                                        "configuration-late",
                                                        "configuration-diverged",
                                                        "restart-not-serving",
                                                        "not-recovered",
                                                        "leaving-engine-used",
                                                        "old-weights-used",
                                                        "planned-stop-cut",
                                                        "answer-cut",
                                                        "answer-late",
                                                        "coroutine-failed"};
    return names.at(static_cast<std::size_t>(broken));
}

}  // namespace ferryroad::bench::simulation
