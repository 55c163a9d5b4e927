/// The formula is followed exactly, however the text is cut.
#include "bench/load/answer_check.hpp"

#include <criterion/criterion.h>
#include <rapidcheck.h>

#include <algorithm>

namespace {

using namespace ferryroad::bench::load;

}  // namespace

Test(answer_check, formula) {
    // SHA-256 of "abc" begins with ba7816bf.
    const std::string answer = expected_answer("abc", 3);
    cr_assert_str_eq(answer.c_str(), "ba7816bf.0 ba7816bf.1 ba7816bf.2 ");
}

Test(answer_check, right_in_any_cut) {
    cr_assert(rc::check("right in any cut", [] {
        const auto prompt = *rc::gen::arbitrary<std::string>();
        const auto tokens = *rc::gen::inRange<std::uint32_t>(0, 120);
        const std::string answer = expected_answer(prompt, tokens);
        answer_check check(prompt);
        std::size_t place = 0;
        while (place < answer.size()) {
            const auto step = *rc::gen::inRange<std::size_t>(1, 30);
            check.accept(answer.substr(place, step));
            place += step;
        }
        RC_ASSERT(check.right_so_far());
        RC_ASSERT(check.at_token_end());
        RC_ASSERT(check.tokens() == tokens);
    }));
}

Test(answer_check, any_changed_byte_is_wrong) {
    cr_assert(rc::check("any changed byte is wrong", [] {
        std::string answer = expected_answer("prompt", 40);
        const auto place = *rc::gen::inRange<std::size_t>(0, answer.size());
        answer[place] = answer[place] == 'x' ? 'y' : 'x';
        answer_check check("prompt");
        check.accept(answer);
        RC_ASSERT(!check.right_so_far());
    }));
}

Test(answer_check, missing_or_doubled_token_is_wrong) {
    for (const char* text : {"ba7816bf.0 ba7816bf.2 ", "ba7816bf.0 ba7816bf.0 "}) {
        answer_check check("abc");
        check.accept(text);
        cr_assert_not(check.right_so_far());
        cr_assert_eq(check.tokens(), 1U);
    }
}

Test(answer_check, half_a_token_is_no_end) {
    answer_check check("abc");
    check.accept("ba7816bf.0 ba78");
    cr_assert(check.right_so_far());
    cr_assert_not(check.at_token_end());
    cr_assert_eq(check.tokens(), 1U);
}
