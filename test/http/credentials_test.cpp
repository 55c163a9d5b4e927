#include "ferryroad/http/credentials.hpp"

#include <criterion/criterion.h>

using ferryroad::http::credentials;
using ferryroad::http::header_list;
using ferryroad::http::read_credentials;

namespace {

const credentials key_presented{"key", false};
const credentials invalid_presented{std::nullopt, true};

credentials presented_by(const char* value) {
    return read_credentials({{"Authorization", value}}, "Bearer");
}

}  // namespace

Test(credentials, a_request_without_the_header_presents_none) {
    cr_assert(read_credentials({{"Host", "h"}}, "Bearer") == credentials{});
}

Test(credentials, the_scheme_is_read_in_any_case_and_spaces_are_no_part_of_the_key) {
    for (const char* value : {"Bearer key", "bearer key", "BEARER \t key  "}) {
        cr_assert(presented_by(value) == key_presented, "%s", value);
    }
}

// Guards against credentials that aren't understood being taken for none.
Test(credentials, whatever_is_not_one_key_is_invalid) {
    for (const char* value : {"", "Bearer", "Bearer ", "Basic key", "Bearerkey", "Bearer a b"}) {
        cr_assert(presented_by(value) == invalid_presented, "%s", value);
    }
    const header_list twice = {{"Authorization", "Bearer a"}, {"authorization", "Bearer b"}};
    cr_assert(read_credentials(twice, "Bearer") == invalid_presented);
}
