/// Tests of the encoding of the naming record: it round-trips, and malformed text is refused.
#include "ferryroad/coordination/rollout/naming_record.hpp"

#include "ferryroad/base/random.hpp"

#include <criterion/criterion.h>

using namespace ferryroad;
using namespace ferryroad::coordination::rollout;

Test(naming_record, round_trip) {
    naming_record record;
    record.confirmed_at = 51230;
    record.models["m1"] = {{2, 100}, {5, 7000}};
    record.models["m2"] = {};
    cr_assert(decode_naming_record(encode(record)) == record);
}

Test(naming_record, malformed_text_is_refused) {
    for (const char* text :
         {"", "{", "[]", "{}", R"({"confirmed_at_ms":1})", R"({"confirmed_at_ms":"x","models":{}})",
          R"({"confirmed_at_ms":1,"models":[]})", R"({"confirmed_at_ms":1,"models":{"m":{}}})",
          R"({"confirmed_at_ms":1,"models":{"m":[{}]}})",
          R"({"confirmed_at_ms":1,"models":{"m":[{"version":-1,"accepted_after_ms":0}]}})"}) {
        cr_assert_not(decode_naming_record(text).has_value(), "%s", text);
    }
}

Test(naming_record, random_bytes_never_break_the_decoder) {
    base::seeded_random random(20261202);
    const std::string sample = encode({7, {{"m", {{1, 2}}}}});
    for (int round = 0; round < 3000; ++round) {
        std::string text = sample;
        const std::uint64_t changes = 1 + random.below(6);
        for (std::uint64_t change = 0; change < changes; ++change) {
            text[random.below(text.size())] = static_cast<char>(random.below(256));
        }
        decode_naming_record(text);
    }
}
