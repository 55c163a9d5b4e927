/// Round trips and sizes of table calls; invalid or corrupted bytes must give an error and never
/// crash.
#include "ferryroad/peer/table_call.hpp"

#include "ferryroad/base/random.hpp"

#include <criterion/criterion.h>

using namespace ferryroad;
using namespace ferryroad::peer;
using namespace std::chrono_literals;

namespace {

table_request sample_request() {
    return {base::router_name("r1"), "t", 77, false, 600ms, true, true};
}

table_answer sample_answer() {
    table_answer answer;
    answer.known = true;
    answer.version = 120;
    answer.rows = {{"a", "value", 118, false}, {"b", "", 120, true}};
    answer.confirmed_after = -1500us;
    answer.owner_time = 86400ms;
    return answer;
}

/// Rows as engines write them, each with another address.
std::vector<coordination::reading::record> engine_rows(std::size_t count) {
    std::vector<coordination::reading::record> rows;
    for (std::size_t index = 0; index < count; ++index) {
        const std::string number = std::to_string(index);
        rows.push_back({"i-" + number,
                        R"({"service":"huvo11a","address":"10.128.7.)" + number +
                            R"(:8080","zone":"sala-norte","version":"v1","slots":16,)" +
                            R"("state":"ready","cold_remaining_ms":0,"stage":"both","models":)" +
                            R"([{"name":"daka510000","version":1,"adapters":[]}],"sequence":4})",
                        index + 1, false});
    }
    return rows;
}

table_answer packed_answer(const std::vector<coordination::reading::record>& rows) {
    table_answer answer;
    answer.known = true;
    answer.whole = true;
    answer.version = rows.size();
    answer.packed = pack(rows);
    return answer;
}

}  // namespace

Test(table_call, round_trips) {
    const auto request = decode_table_request(encode(sample_request()));
    cr_assert(request.has_value());
    cr_assert(*request == sample_request());
    const auto answer = decode_table_answer(encode(sample_answer()));
    cr_assert(answer.has_value());
    cr_assert(*answer == sample_answer());
}

Test(table_call, answer_may_redirect_to_the_owner) {
    table_answer answer = sample_answer();
    answer.rows.clear();
    answer.at_owner = true;
    cr_assert(*decode_table_answer(encode(answer)) == answer);
}

Test(table_call, answer_without_a_copy) {
    const auto answer = decode_table_answer(encode(table_answer{}));
    cr_assert(answer.has_value());
    cr_assert(!answer->known);
}

Test(table_call, invalid_content_is_malformed) {
    table_answer newer_row = sample_answer();
    newer_row.version = 119;
    cr_assert(!decode_table_answer(encode(newer_row)));
    table_answer long_key = sample_answer();
    long_key.rows.front().key = std::string(1000, 'k');
    cr_assert(!decode_table_answer(encode(long_key)));
    table_answer many_rows = sample_answer();
    many_rows.rows.assign(max_table_rows + 1, {"a", "", 1, false});
    cr_assert(!decode_table_answer(encode(many_rows)));
    table_request no_sender = sample_request();
    no_sender.sender.value.clear();
    cr_assert(!decode_table_request(encode(no_sender)));
}

Test(table_call, hold_time_is_bounded) {
    table_request request = sample_request();
    request.hold = 24h;
    cr_assert(decode_table_request(encode(request))->hold <= 1min);
    request.hold = -5ms;
    cr_assert(decode_table_request(encode(request))->hold == 0ms);
}

Test(table_call, random_corruption_does_not_crash) {
    base::seeded_random random(11);
    const std::string request = encode(sample_request());
    const std::string answer = encode(sample_answer());
    for (int round = 0; round < 20000; ++round) {
        std::string bytes = round % 2 == 0 ? request : answer;
        const std::uint64_t changes = 1 + random.below(4);
        for (std::uint64_t change = 0; change < changes; ++change) {
            bytes[random.below(bytes.size())] = static_cast<char>(random.below(256));
        }
        bytes.resize(random.below(bytes.size() + 1));
        static_cast<void>(decode_table_request(bytes));
        static_cast<void>(decode_table_answer(bytes));
    }
}

Test(table_call, list_of_20000_engines_is_compressed_into_one_answer) {
    const auto rows = engine_rows(20'000);
    const table_answer answer = packed_answer(rows);
    cr_assert_lt(answer.packed->block.size() * min_compression_ratio,
                 answer.packed->unpacked_bytes);
    const auto decoded = decode_table_answer(encode(answer));
    cr_assert(decoded.has_value());
    cr_assert(decoded->rows == rows);
    cr_assert(!decoded->packed);
}

Test(table_call, invalid_packed_rows_are_malformed) {
    table_answer newer_row = packed_answer(engine_rows(3));
    newer_row.version = 2;
    cr_assert(!decode_table_answer(encode(newer_row)));
    table_answer truncated = packed_answer(engine_rows(100));
    truncated.packed->block.resize(truncated.packed->block.size() / 2);
    cr_assert(!decode_table_answer(encode(truncated)));
    table_answer oversized = packed_answer(engine_rows(3));
    oversized.packed->unpacked_bytes = max_call_bytes + 1;
    cr_assert(!decode_table_answer(encode(oversized)));
    table_answer wrong_size = packed_answer(engine_rows(3));
    ++wrong_size.packed->unpacked_bytes;
    cr_assert(!decode_table_answer(encode(wrong_size)));
}

Test(table_call, random_corruption_of_packed_rows_does_not_crash) {
    base::seeded_random random(12);
    const table_answer original = packed_answer(engine_rows(20));
    for (int round = 0; round < 5000; ++round) {
        table_answer answer = original;
        std::string& block = answer.packed->block;
        block[random.below(block.size())] = static_cast<char>(random.below(256));
        answer.packed->unpacked_bytes = random.below(4 * original.packed->unpacked_bytes);
        static_cast<void>(decode_table_answer(encode(answer)));
    }
}
