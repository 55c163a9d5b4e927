/// Round trip and size of traffic notices; invalid or corrupted bytes must give an error and never
/// crash.
#include "ferryroad/peer/traffic_notice.hpp"

#include "ferryroad/base/random.hpp"

#include <criterion/criterion.h>

using namespace ferryroad;
using namespace ferryroad::peer;
using namespace std::chrono_literals;
using core::prefix::part_key;

namespace {

traffic_notice sample() {
    traffic_notice notice;
    notice.sender.value = "r1";
    notice.zone.value = "z1";
    notice.loads_complete = true;
    notice.loads = {{base::engine_name("e1"), 3, 9190, 250ms, 2, 6s},
                    {base::engine_name("e2"), 1, 0, {}}};
    notice.known = {{"m", 5}, {"n", 1}};
    notice.weights = {{base::engine_name("e1"), "m", 4}};
    notice.expected = {{base::engine_name("e2"), {{part_key(7), 2520}, {part_key(8), 3780}}}};
    notice.changes = {{base::engine_name("store/10.0.0.1:1"), 77, 118, 120, {{part_key(9), 0}}}};
    notice.loading = {{base::engine_name("e3"), "m", 5, 1200ms}};
    notice.paths_lost = true;
    notice.limits = {{base::engine_name("e1"), 1764000000123, 1.4, 20ms},
                     {base::engine_name("e2"), 0, std::nullopt, {}}};
    return notice;
}

}  // namespace

Test(traffic_notice, round_trips) {
    const auto decoded = decode_traffic_notice(encode(sample()));
    cr_assert(decoded.has_value());
    cr_assert(*decoded == sample());
}

Test(traffic_notice, empty_notice_round_trips) {
    traffic_notice notice;
    notice.sender.value = "r1";
    const auto decoded = decode_traffic_notice(encode(notice));
    cr_assert(decoded.has_value());
    cr_assert(*decoded == notice);
}

Test(traffic_notice, full_notices_fit_into_a_datagram) {
    traffic_notice notice = sample();
    notice.loads.clear();
    for (int index = 0; index < 24; ++index) {
        const std::string name = "i-0123456789" + std::to_string(index);
        notice.loads.push_back({base::engine_name(name), 30, 100000, 100ms});
    }
    // Sent in separate notices, checked below.
    notice.loading.clear();
    notice.limits.clear();
    notice.known.clear();  // See peer_exchange.loads_that_fill_a_datagram_are_sent.
    cr_assert_leq(encode(notice).size(), max_datagram_bytes);
    traffic_notice rollout;
    rollout.sender.value = "front-with-a-long-name-1";
    rollout.zone.value = "a-zone-with-a-long-name";
    for (int index = 0; index < 16; ++index) {
        const std::string name = "i-0123456789" + std::to_string(index);
        rollout.loading.push_back({base::engine_name(name), "a-model-of-a-long-name", 1000, 9s});
    }
    cr_assert_leq(encode(rollout).size(), max_datagram_bytes);
    traffic_notice limits;
    limits.sender.value = "front-with-a-long-name-1";
    limits.zone.value = "a-zone-with-a-long-name";
    for (int index = 0; index < 16; ++index) {
        const std::string name = "i-0123456789" + std::to_string(index);
        limits.limits.push_back({base::engine_name(name), 1764000000123, 1.4, 20ms});
    }
    cr_assert_leq(encode(limits).size(), max_datagram_bytes);
    traffic_notice changes;
    changes.sender.value = "front-with-a-long-name-1";
    changes.changes = {{base::engine_name("i-0123456789"), 1, 1, 60, {}}};
    for (std::uint64_t part = 0; part < 64; ++part) {
        changes.changes[0].parts.push_back({part_key(part), 100});
    }
    cr_assert_leq(encode(changes).size(), max_datagram_bytes);
}

Test(traffic_notice, invalid_content_is_malformed) {
    traffic_notice no_sender = sample();
    no_sender.sender.value.clear();
    cr_assert_not(decode_traffic_notice(encode(no_sender)).has_value());
    traffic_notice backwards = sample();
    backwards.changes[0].next = 1;
    cr_assert_not(decode_traffic_notice(encode(backwards)).has_value());
    traffic_notice no_engine = sample();
    no_engine.loads[0].engine.value.clear();
    cr_assert_not(decode_traffic_notice(encode(no_engine)).has_value());
    cr_assert_not(decode_traffic_notice("").has_value());
}

Test(traffic_notice, random_corruption_does_not_crash) {
    base::seeded_random random(20261202);
    const message_bytes original = encode(sample());
    for (int round = 0; round < 20000; ++round) {
        message_bytes bytes = original;
        for (std::uint64_t change = 1 + random.below(6); change > 0; --change) {
            bytes[random.below(bytes.size())] = static_cast<char>(random.below(256));
        }
        bytes.resize(bytes.size() - random.below(3) * random.below(bytes.size()) / 2);
        (void)decode_traffic_notice(bytes);
    }
}
