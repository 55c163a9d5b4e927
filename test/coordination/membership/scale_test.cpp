/// Time to converge and bytes per second and member in groups of up to 400 members, with the
/// router's own codec. The figures in docs/design/0040-membership.md are the output of this test.
#include "ferryroad/peer/codec.hpp"
#include "test/coordination/membership/simulated_group.hpp"

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

#include <cstdio>

namespace {

using namespace ferryroad;
using namespace ferryroad::coordination::membership;
using namespace ferryroad::coordination::membership::test;

/// Size of the IPv4 and UDP headers, in bytes.
constexpr double datagram_overhead = 28;
/// Bandwidth budget of a node for control traffic, in bytes per second.
constexpr double budget = 4096;
constexpr base::duration limit = 120s;

/// Counts the bytes sent since the last report.
struct meter {
    simulated_group& group;
    double datagram_bytes = 0;
    double list_bytes = 0;
    std::uint64_t datagrams = 0;
    std::size_t largest = 0;
    base::monotonic_time since;

    explicit meter(simulated_group& metered) : group(metered), since(metered.now()) {
        group.on_send = [this](std::size_t /*sender*/, const datagram& message) {
            const std::size_t size = peer::encode(message).size();
            datagram_bytes += static_cast<double>(size) + datagram_overhead;
            largest = std::max(largest, size);
            ++datagrams;
        };
        group.on_list = [this](std::size_t /*caller*/, std::size_t /*answerer*/,
                               const join_answer& answer) {
            const peer::call call{base::router_name("router-0"), base::incarnation(1), answer};
            list_bytes += static_cast<double>(peer::encode(call).size());
        };
    }

    /// @return bytes sent per second and member.
    double report(const char* what) {
        const double seconds = base::to_seconds(group.now() - since);
        const double share = seconds * static_cast<double>(group.size());
        const double rate = (datagram_bytes + list_bytes) / share;
        std::printf(
            "members %zu, %s: %.1f s, sent %.0f B/s a member (lists %.0f), "
            "%.1f datagrams/s, largest %zu\n",
            group.size(), what, seconds, rate, list_bytes / share,
            static_cast<double>(datagrams) / share, largest);
        datagram_bytes = list_bytes = 0;
        datagrams = 0;
        since = group.now();
        return rate;
    }
};

constexpr std::size_t sizes[] = {3, 50, 400};
constexpr std::size_t size_count = sizeof(sizes) / sizeof(sizes[0]);

}  // namespace

ParameterizedTestParameters(scale, bytes_and_times) {
    static std::size_t indexes[size_count];
    for (std::size_t index = 0; index < size_count; ++index) {
        indexes[index] = index;
    }
    return cr_make_param_array(std::size_t, indexes, size_count);
}

ParameterizedTest(std::size_t* index, scale, bytes_and_times) {
    const std::size_t size = sizes[*index];
    simulated_group group(size, 7);
    meter bytes(group);
    const auto converged = [&] { return group.converged(); };

    group.start_all();
    cr_assert(group.run_until(converged, limit).has_value());
    bytes.report("all start at once");
    group.run_for(30s);
    bytes.report("settling");
    group.run_for(60s);
    const double idle = bytes.report("idle");
    cr_assert_lt(idle, 350, "idle load must not grow with the group");

    const std::size_t victim = size - 1;
    group.crash(victim);
    cr_assert(group.run_until([&] { return group.all_see(victim, member_state::dead); }, 30s)
                  .has_value());
    cr_assert_lt(bytes.report("one crash, seen by all"), budget);
    group.start(victim);
    cr_assert(group.run_until(converged, 30s).has_value());
    bytes.report("it restarts");

    group.cut(size / 2);
    group.run_for(60s);
    cr_assert_lt(bytes.report("halves cut off"), budget);
    group.cut(0);
    cr_assert(group.run_until(converged, limit).has_value());
    cr_assert_lt(bytes.report("healed"), budget);
    cr_assert_leq(bytes.largest, peer::max_datagram_bytes);
}
