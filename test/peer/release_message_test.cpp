/// Round trips and sizes of release reports and notices; invalid or corrupted bytes must give an
/// error and never crash.
#include "ferryroad/peer/release_message.hpp"

#include "ferryroad/base/random.hpp"
#include "ferryroad/peer/traffic_notice.hpp"

#include <criterion/criterion.h>

#include <string>

using namespace ferryroad;
using namespace ferryroad::peer;
using coordination::release::order_number;
using coordination::release::phase_notice;
using coordination::release::release_phase;
using coordination::release::software_version;

namespace {

release_report sample_report() {
    release_report report;
    report.sender.value = "r1";
    report.sender_incarnation.value = 77;
    report.pool.value = "p";
    report.order = order_number(412);
    report.phase = release_phase::trial;
    report.saw_bad = true;
    report.unrepeatable = 3;
    auto& counted = report.counts[base::route_name("a")];
    counted.current.answered = 100;
    counted.current.durations[9] = 90;
    counted.current.durations[31] = 10;
    counted.canary.answered = 7;
    counted.canary.failed = 7;
    report.counts[base::route_name("b")].current.answered = 1;
    return report;
}

release_notice sample_notice() {
    release_notice notice;
    notice.sender.value = "r2";
    notice.pool.value = "p";
    notice.order = order_number(412);
    notice.told = phase_notice{notice.pool,
                               notice.order,
                               software_version("v2"),
                               release_phase::rolled_back,
                               {software_version("v2"), software_version("v0")},
                               {software_version("v1")}};
    return notice;
}

}  // namespace

Test(release_message, round_trips) {
    const auto report = decode_release_report(encode(sample_report()));
    cr_assert(report.has_value());
    cr_assert(*report == sample_report());
    const auto notice = decode_release_notice(encode(sample_notice()));
    cr_assert(notice.has_value());
    cr_assert(*notice == sample_notice());
    release_notice unknown = sample_notice();
    unknown.told.reset();
    unknown.done = true;
    cr_assert(*decode_release_notice(encode(unknown)) == unknown);
    for (const release_phase phase :
         {release_phase::trial, release_phase::promoted, release_phase::completed}) {
        release_report one = sample_report();
        one.phase = phase;
        cr_assert(decode_release_report(encode(one))->phase == phase);
    }
}

Test(release_message, kinds_are_distinguished) {
    const message_bytes report = encode(sample_report());
    const message_bytes notice = encode(sample_notice());
    cr_assert(is_release_report(report) && !is_release_notice(report));
    cr_assert(is_release_notice(notice) && !is_release_report(notice));
    cr_assert_not(is_traffic_notice(report) || is_traffic_notice(notice));
    cr_assert_not(is_release_report("FRRR") || is_release_notice(""));
    cr_assert_not(decode_release_report(notice).has_value());
    cr_assert_not(decode_release_notice(report).has_value());
}

Test(release_message, full_reports_fit_into_a_datagram) {
    release_report report = sample_report();
    report.counts.clear();
    for (std::size_t index = 0; index < max_routes_per_release_report; ++index) {
        auto& counted =
            report.counts[base::route_name("a-route-with-a-long-name-" + std::to_string(index))];
        counted.current.durations.fill(1);
        counted.canary.durations.fill(1);
        counted.current.answered = counted.canary.answered = 32;
    }
    cr_assert_leq(encode(report).size(), max_datagram_bytes);
    cr_assert(*decode_release_report(encode(report)) == report);
}

Test(release_message, invalid_content_is_malformed) {
    release_report no_sender = sample_report();
    no_sender.sender.value.clear();
    cr_assert_not(decode_release_report(encode(no_sender)).has_value());
    release_report no_pool = sample_report();
    no_pool.pool.value.clear();
    cr_assert_not(decode_release_report(encode(no_pool)).has_value());
    release_report too_many_failures = sample_report();
    too_many_failures.counts[base::route_name("a")].canary.failed = 8;
    cr_assert_not(decode_release_report(encode(too_many_failures)).has_value());
    release_report too_many_durations = sample_report();
    too_many_durations.counts[base::route_name("a")].current.durations[3] = 1;
    cr_assert_not(decode_release_report(encode(too_many_durations)).has_value());
    release_notice no_target = sample_notice();
    no_target.told->target.value.clear();
    cr_assert_not(decode_release_notice(encode(no_target)).has_value());
    release_notice no_version = sample_notice();
    no_version.told->refused.insert(software_version(""));
    cr_assert_not(decode_release_notice(encode(no_version)).has_value());
}

Test(release_message, random_corruption_does_not_crash) {
    base::seeded_random random(20261202);
    for (const message_bytes& original : {encode(sample_report()), encode(sample_notice())}) {
        for (int round = 0; round < 10000; ++round) {
            message_bytes bytes = original;
            for (std::uint64_t change = 1 + random.below(6); change > 0; --change) {
                bytes[random.below(bytes.size())] = static_cast<char>(random.below(256));
            }
            bytes.resize(bytes.size() - random.below(3) * random.below(bytes.size()) / 2);
            (void)decode_release_report(bytes);
            (void)decode_release_notice(bytes);
        }
    }
}
