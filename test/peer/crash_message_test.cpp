/// Round trip and size of crash messages; invalid or corrupted bytes must give an error and never
/// crash.
#include "ferryroad/peer/crash_message.hpp"

#include "ferryroad/base/random.hpp"
#include "ferryroad/peer/release_message.hpp"

#include <criterion/criterion.h>

#include <string>

using namespace ferryroad;
using namespace ferryroad::peer;
using namespace std::chrono_literals;

namespace {

crash_notice sample() {
    crash_notice news;
    news.sender.value = "r1";
    news.owner_time = 123456789;
    news.crashes.push_back(
        {base::engine_name("e1"),
         1234ms,
         2345ms,
         {{{{1, 2}}, true, {{{21, 22}}, {{23, 24}}}}, {{{3, 4}}, false, {{{21, 22}}}}},
         5});
    news.crashes.push_back({base::engine_name("e2"), 0ms, 0ms, {}, 0});
    news.cleared = {{{{7, 8}}}, {{{9, 10}}, {{11, 12}}}};
    return news;
}

}  // namespace

Test(crash_message, round_trips) {
    const auto news = decode_crash_notice(encode(sample()));
    cr_assert(news.has_value());
    cr_assert(*news == sample());
    cr_assert(is_crash_notice(encode(sample())));
    cr_assert_not(is_release_report(encode(sample())));
    cr_assert_not(is_crash_notice(""));
}

Test(crash_message, largest_message_fits_into_a_datagram) {
    crash_notice news;
    news.sender.value = std::string(64, 'r');
    observed_crash crash{base::engine_name(std::string(64, 'e')), 100h, 101h, {}, 9};
    for (std::uint64_t number = 0; number < max_requests_per_crash_datagram; ++number) {
        crash.candidates.push_back({{{~number, ~number}}, true, {}});
        for (std::uint64_t part = 0; part < core::quarantine::max_identified_parts; ++part) {
            const std::uint64_t digest = (number * core::quarantine::max_identified_parts + part) %
                                         max_parts_per_crash_datagram;
            crash.candidates.back().parts.push_back({{~digest, ~digest}});
        }
    }
    news.crashes.push_back(crash);
    cr_assert_leq(encode(news).size(), max_datagram_bytes);
    crash_notice cleared;
    cleared.sender.value = std::string(64, 'r');
    cleared.cleared.requests.resize(max_requests_per_crash_datagram);
    cleared.cleared.parts.resize(max_requests_per_crash_datagram);
    cr_assert_leq(encode(cleared).size(), max_datagram_bytes);
}

Test(crash_message, invalid_content_is_malformed) {
    crash_notice no_sender = sample();
    no_sender.sender.value.clear();
    cr_assert_not(decode_crash_notice(encode(no_sender)).has_value());
    crash_notice no_engine = sample();
    no_engine.crashes[0].engine.value.clear();
    cr_assert_not(decode_crash_notice(encode(no_engine)).has_value());
    crash_notice excessive_age = sample();
    excessive_age.crashes[0].age = 100h * 1000;
    cr_assert_not(decode_crash_notice(encode(excessive_age)).has_value());
}

Test(crash_message, random_corruption_does_not_crash) {
    base::seeded_random random(20261203);
    const message_bytes original = encode(sample());
    for (int round = 0; round < 20000; ++round) {
        message_bytes bytes = original;
        for (std::uint64_t change = 1 + random.below(6); change > 0; --change) {
            bytes[random.below(bytes.size())] = static_cast<char>(random.below(256));
        }
        bytes.resize(bytes.size() - random.below(3) * random.below(bytes.size()) / 2);
        (void)decode_crash_notice(bytes);
    }
}
