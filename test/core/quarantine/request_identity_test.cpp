#include "ferryroad/core/quarantine/request_identity.hpp"

#include <criterion/criterion.h>

#include <set>
#include <string>

using namespace ferryroad::core::quarantine;

namespace {

request_content sample() {
    return {"POST", "one.example", "/label/2f?x=1", "tenant-a", "a body"};
}

}  // namespace

Test(request_identity, is_the_same_for_the_same_content) {
    cr_assert(identity_of(sample()) == identity_of(sample()));
    cr_assert_eq(to_string(identity_of(sample())).size(), 32);
}

Test(request_identity, differs_by_each_field) {
    std::set<request_identity> all = {identity_of(sample())};
    request_content other = sample();
    other.method = "GET";
    all.insert(identity_of(other));
    other = sample();
    other.host = "two.example";
    all.insert(identity_of(other));
    other = sample();
    other.target = "/label/2f?x=2";
    all.insert(identity_of(other));
    other = sample();
    other.caller = "tenant-b";
    all.insert(identity_of(other));
    other = sample();
    other.body = "a bodY";
    all.insert(identity_of(other));
    cr_assert_eq(all.size(), 6);
}

Test(request_identity, bytes_do_not_pass_from_one_field_to_the_next) {
    request_content joined = sample();
    joined.caller = "tenant-aa";
    joined.body = " body";
    cr_assert(identity_of(joined) != identity_of(sample()));
}
