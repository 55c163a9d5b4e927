/// Log lines stay within their rate limit, and a reader that stops reading neither blocks the
/// writer nor lets the buffer grow over its limit.
#include "ferryroad/runtime/bounded_output.hpp"

#include "ferryroad/runtime/log.hpp"

#include <criterion/criterion.h>

#include <array>
#include <string>
#include <unistd.h>

using namespace ferryroad;
using namespace ferryroad::runtime;
using namespace std::chrono_literals;

namespace {

constexpr base::monotonic_time start{100s};

struct pipe_ends {
    pipe_ends() { cr_assert_eq(::pipe(ends.data()), 0); }
    ~pipe_ends() {
        ::close(ends[0]);
        ::close(ends[1]);
    }
    std::string read_some() {
        std::string text(1 << 20, '\0');
        const auto count = ::read(ends[0], text.data(), text.size());
        text.resize(count > 0 ? static_cast<std::size_t>(count) : 0);
        return text;
    }
    std::array<int, 2> ends{};
};

}  // namespace

Test(line_budget, limits_lines_per_second_and_reserves_a_part_for_warnings) {
    line_budget budget({10, 4});
    int plain = 0;
    int warnings = 0;
    for (int index = 0; index < 50; ++index) {
        plain += budget.admit(false, start) ? 1 : 0;
    }
    for (int index = 0; index < 50; ++index) {
        warnings += budget.admit(true, start + 1ms) ? 1 : 0;
    }
    cr_assert_eq(plain, 6);
    cr_assert_eq(warnings, 4);
    cr_assert_eq(budget.take_dropped(), 90);
    cr_assert_eq(budget.take_dropped(), 0);
    cr_assert(budget.admit(false, start + 1s));
}

Test(bounded_output, writes_lines_and_reports_dropped_ones) {
    pipe_ends pipe;
    bounded_output output(pipe.ends[1], {2, 0}, 4096);
    for (const char* line : {"a\n", "b\n", "c\n", "d\n"}) {
        output.write(line, false, start);
    }
    output.write("e\n", false, start + 1s);
    const std::string text = pipe.read_some();
    cr_assert(text.starts_with("a\nb\n"));
    cr_assert(text.ends_with("e\n"));
    cr_assert_neq(text.find("\"lines\": \"2\""), std::string::npos);
}

Test(bounded_output, a_reader_that_does_not_read_does_not_block_the_writer) {
    pipe_ends pipe;
    bounded_output output(pipe.ends[1], {1000000, 0}, 4096);
    const std::string line(1000, 'x');
    for (int index = 0; index < 1000; ++index) {  // Far more than the capacity of a pipe.
        output.write(line + "\n", true, start);
        cr_assert_leq(output.buffered_bytes(), 4096);
    }
    while (output.buffered_bytes() > 0) {
        pipe.read_some();
        output.flush();
    }
    pipe.read_some();
    output.write("last\n", true, start + 1s);
    const std::string text = pipe.read_some();
    cr_assert(text.ends_with("last\n"));
    cr_assert_neq(text.find("lines dropped"), std::string::npos);
}

Test(bounded_output, a_full_pipe_does_not_block_the_writer) {
    pipe_ends pipe;
    bounded_output output(pipe.ends[1], {1000, 0}, 64);
    for (int index = 0; index < 100000 && output.buffered_bytes() == 0; ++index) {
        output.write("0123456789\n", true, start + std::chrono::seconds(index));
    }
    output.write("more\n", true, start);
    cr_assert_leq(output.buffered_bytes(), 64);
}
