/// Texts that aren't padded Base64 as a whole are rejected; all others are decoded.
#include "ferryroad/base/base64.hpp"

#include <criterion/criterion.h>
#include <rapidcheck.h>

#include <string>

using ferryroad::base::from_base64;
using ferryroad::base::to_base64;

Test(base64, decodes_what_it_encodes) {
    const bool held = rc::check(
        [](const std::string& bytes) { RC_ASSERT(from_base64(to_base64(bytes)) == bytes); });
    cr_assert(held);
}

Test(base64, rejects_texts_that_are_not_padded_base64) {
    for (const std::string text : {"%", "e30", "{}", "====", "e3==e30=", "e30=e30=", "-_-_",
                                   " e30=", "e30=\n\n\n\n", "e3\n0=", "e30\xc3\xa9"}) {
        cr_assert_not(from_base64(text), "%s", text.c_str());
    }
    cr_assert_not(from_base64(std::string(4, '\0')));
    cr_assert(from_base64("e30=") == "{}");
    cr_assert(from_base64("") == "");
}
