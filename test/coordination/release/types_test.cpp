/// Tests of the encoding of the release record: it round-trips, and malformed text is refused.
#include "ferryroad/coordination/release/types.hpp"

#include "ferryroad/base/random.hpp"

#include <criterion/criterion.h>

#include <limits>

using namespace ferryroad;
using namespace ferryroad::coordination::release;

namespace {

release_record sample(release_phase phase) {
    return {order_number(std::numeric_limits<std::uint64_t>::max()),
            software_version("v\"2"),
            phase,
            true,
            -51230,
            {software_version("a"), software_version("b")},
            {software_version("")}};
}

/// @return the encoded sample with one part replaced.
std::string changed(const std::string& from, const std::string& to) {
    std::string text = encode(sample(release_phase::trial));
    const std::size_t at = text.find(from);
    cr_assert_neq(at, std::string::npos, "%s", from.c_str());
    return text.replace(at, from.size(), to);
}

}  // namespace

Test(release_record, round_trip) {
    for (const release_phase phase : {release_phase::trial, release_phase::promoted,
                                      release_phase::completed, release_phase::rolled_back}) {
        cr_assert(decode_release_record(encode(sample(phase))) == sample(phase));
    }
    cr_assert(decode_release_record(encode({})) == release_record{});
}

Test(release_record, malformed_text_is_refused) {
    for (const std::string& text :
         {std::string(), std::string("{"), std::string("[]"), std::string("{}"),
          changed("\"order\"", "\"other\""), changed("18446744073709551615", "-1"),
          changed("18446744073709551615", "\"1\""), changed("\"target\"", "\"other\""),
          changed("\"trial\"", "\"trials\""), changed("\"trial\"", "0"), changed("true", "1"),
          changed("-51230", "null"), changed("[\"a\",\"b\"]", "\"a\""),
          changed("[\"a\",\"b\"]", "[1]"), changed("\"replaced\"", "\"other\"")}) {
        cr_assert_not(decode_release_record(text).has_value(), "%s", text.c_str());
    }
}

Test(release_record, random_bytes_never_break_the_decoder) {
    base::seeded_random random(20261202);
    const std::string good = encode(sample(release_phase::promoted));
    for (int round = 0; round < 3000; ++round) {
        std::string text = good;
        const std::uint64_t changes = 1 + random.below(6);
        for (std::uint64_t change = 0; change < changes; ++change) {
            text[random.below(text.size())] = static_cast<char>(random.below(256));
        }
        decode_release_record(text);
    }
}

Test(release_record, final_phases) {
    cr_assert_not(is_final(release_phase::trial));
    cr_assert_not(is_final(release_phase::promoted));
    cr_assert(is_final(release_phase::completed));
    cr_assert(is_final(release_phase::rolled_back));
}
