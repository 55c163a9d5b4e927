/// Tests what the stored versions of a pool's engines tell a process that has just started.
#include "ferryroad/coordination/stream/version_record.hpp"

#include <criterion/criterion.h>

using namespace ferryroad::coordination::stream;
using namespace std::chrono_literals;

namespace {

const software_version v1("v1");
const software_version v2("v2");

}  // namespace

Test(version_record, a_first_record_tells_of_no_other_versions) {
    const version_record first = updated(std::nullopt, {v1}, 1000);
    cr_assert(*sole_version(first, 60s, 1000) == v1);
    cr_assert_not(sole_version(updated(std::nullopt, {v1, v2}, 1000), 60s, 500'000));
    cr_assert_not(sole_version(updated(std::nullopt, {}, 1000), 60s, 500'000));
}

Test(version_record, a_version_is_not_the_only_one_until_others_are_long_gone) {
    const version_record replaced = updated(updated(std::nullopt, {v1}, 1000), {v2}, 5000);
    cr_assert_not(sole_version(replaced, 60s, 64'999));
    cr_assert(*sole_version(replaced, 60s, 65'000) == v2);
    cr_assert(updated(replaced, {v2}, 70'000) == replaced);
}

Test(version_record, what_an_undecodable_record_said_counts_as_another_version) {
    const version_record next = updated(version_record{}, {v1}, 1000);
    cr_assert_not(sole_version(next, 60s, 60'999));
}

Test(version_record, survives_encoding) {
    for (const version_record& one :
         {version_record{{v1}, std::nullopt}, version_record{{v1, v2}, 17}, version_record{}}) {
        cr_assert(*decode_version_record(encode(one)) == one);
    }
    for (const char* text : {"", "[]", "{}", R"({"versions":[1]})", R"({"versions":"v1"})",
                             R"({"versions":["v1"],"others_until_ms":"x"})"}) {
        cr_assert_not(decode_version_record(text), "%s", text);
    }
}
