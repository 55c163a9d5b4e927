#include "bench/simulation/faults/fault_counts.hpp"

namespace ferryroad::bench::simulation {

namespace {

constexpr std::array<std::string_view, fault_kinds> names = {"router-kill",
                                                             "router-herd-restart",
                                                             "router-pause",
                                                             "router-planned-stop",
                                                             "engine-crash",
                                                             "engine-slow",
                                                             "engine-freeze",
                                                             "engine-leaving",
                                                             "engine-overloaded",
                                                             "stream-cut",
                                                             "application-lost-answer",
                                                             "event-gap",
                                                             "datagram-lost",
                                                             "datagram-doubled",
                                                             "datagram-reordered",
                                                             "cut",
                                                             "slow-network",
                                                             "platform-outage",
                                                             "platform-slow",
                                                             "platform-lost-answer",
                                                             "platform-rate-limit",
                                                             "operator-race",
                                                             "weights-change"};
static_assert(!names.back().empty());

}  // namespace

std::string_view to_string(fault_kind kind) {
    return names.at(static_cast<std::size_t>(kind));
}

void fault_counts::add_all(const fault_counts& other) {
    for (std::size_t index = 0; index < fault_kinds; ++index) {
        counts_[index] += other.counts_[index];
    }
}

}  // namespace ferryroad::bench::simulation
