/// Tests the rows in which origins of streams are stored.
#include "ferryroad/coordination/stream/origin_rows.hpp"

#include <criterion/criterion.h>

#include <algorithm>

using namespace ferryroad;
using namespace ferryroad::coordination::stream;

namespace {

std::vector<dated_origin> origins_of(std::size_t count) {
    std::vector<dated_origin> all;
    for (std::size_t index = 0; index < count; ++index) {
        const stream_key key = key_of(base::request_id("attempt " + std::to_string(index)));
        const std::string software = index % 2 == 0 ? "v1" : "";
        all.push_back({{key, base::pool_name("p"), software_version(software)},
                       static_cast<store_clock_milliseconds>(index)});
    }
    return all;
}

std::size_t count_found(const std::vector<std::string>& rows,
                        const std::vector<dated_origin>& wanted) {
    std::size_t found = 0;
    for (const std::string& row : rows) {
        const auto decoded = decode_origin_row(row);
        for (const dated_origin& one : *decoded) {
            found += std::count(wanted.begin(), wanted.end(), one);
        }
    }
    return found;
}

}  // namespace

Test(origin_rows, origins_survive_encoding) {
    const auto all = origins_of(5);
    const auto rows = encode_origin_rows(all, 65'536);
    cr_assert_eq(rows.size(), 1);
    cr_assert_eq(count_found(rows, all), 5);
    cr_assert(encode_origin_rows({}, 65'536).empty());
}

Test(origin_rows, a_batch_over_the_limit_of_a_row_is_divided) {
    const auto all = origins_of(100);
    const auto rows = encode_origin_rows(all, 1000);
    cr_assert_gt(rows.size(), 4);
    for (const std::string& row : rows) {
        cr_assert_leq(row.size(), 1000);
    }
    cr_assert_eq(count_found(rows, all), 100);
    cr_assert(encode_origin_rows(all, 10).empty());
}

Test(origin_rows, keys_are_in_the_order_of_time) {
    const base::router_name writer("r1");
    cr_assert_lt(origin_row_key(99, writer, 7), first_origin_key(100));
    cr_assert_gt(origin_row_key(100, writer, 0), first_origin_key(100));
    cr_assert_lt(origin_row_key(0xffff, writer, 0), origin_row_key(0x10000, writer, 0));
}

Test(origin_rows, malformed_rows_are_not_decoded) {
    for (const char* text : {"", "{}", "[1]", R"([{"pool":"p","software":"v1"}])",
                             R"([{"pool":"p","software":"v1","began_at_ms":{"12":3}}])",
                             R"([{"pool":"p","software":"v1","began_at_ms":{"zz":3}}])"}) {
        cr_assert_not(decode_origin_row(text), "%s", text);
    }
}
