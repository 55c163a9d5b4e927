/// Tests of a table copy: what it passes on is equal to the owner's table, regardless of how the
/// rows arrived.
#include "ferryroad/coordination/reading/table_mirror.hpp"

#include <criterion/criterion.h>
#include <rapidcheck.h>

#include <map>

using namespace ferryroad;
using namespace ferryroad::coordination::reading;
using namespace std::chrono_literals;

namespace {

record row(const char* key, std::uint64_t version, const char* value = "v") {
    return {key, value, version, false};
}

base::monotonic_time at(base::duration since_start) {
    return base::monotonic_time(since_start);
}

std::map<std::string, std::string> contents(const std::vector<record>& rows) {
    std::map<std::string, std::string> all;
    for (const record& one : rows) {
        if (!one.deleted) {
            all[one.key] = one.value;
        }
    }
    return all;
}

}  // namespace

Test(table_mirror, has_no_version_before_the_first_confirmation) {
    const table_mirror copy;
    cr_assert(!copy.confirmed());
    cr_assert_eq(copy.version(), 0);
}

Test(table_mirror, returns_the_changes_after_a_version) {
    table_mirror copy;
    copy.replace({row("a", 3), row("b", 5)}, 7);
    copy.confirm({7, at(1s), {}});
    copy.change(row("c", 9));
    copy.change({"a", "", 10, true});
    copy.confirm({10, at(2s), {}});
    const auto changes = copy.changes_after(7);
    cr_assert(changes.has_value());
    cr_assert_eq(changes->size(), 2);
    cr_assert(!copy.has_changes_after(10));
    cr_assert(copy.has_changes_after(9));
}

Test(table_mirror, a_row_missing_from_the_whole_table_was_removed) {
    table_mirror copy;
    copy.replace({row("a", 3), row("b", 5)}, 7);
    copy.replace({row("b", 5)}, 20);
    const auto changes = copy.changes_after(7);
    cr_assert(*changes == (std::vector<record>{{"a", "", 20, true}}));
}

Test(table_mirror, a_change_to_an_equivalent_value_is_not_passed_on) {
    table_mirror copy([](const record&, const record&) { return true; });
    copy.change(row("a", 3, "beat 1"));
    copy.change(row("a", 4, "beat 2"));
    cr_assert(!copy.has_changes_after(3));
}

Test(table_mirror, late_rows_change_nothing) {
    table_mirror copy;
    copy.change(row("a", 8, "new"));
    copy.change(row("a", 3, "old"));
    cr_assert_eq(copy.rows().front().value, "new");
    copy.change({"a", "", 9, true});
    copy.change(row("a", 8, "new"));
    cr_assert(copy.rows().empty());
}

Test(table_mirror, confirmations_never_go_back) {
    table_mirror copy;
    copy.confirm({7, at(2s), 20ms});
    copy.confirm({5, at(1s), 10ms});
    cr_assert(*copy.confirmed() == (confirmation{7, at(2s), 20ms}));
}

Test(table_mirror, forgets_old_removals_and_reports_it) {
    table_mirror copy;
    for (std::uint64_t number = 1; number <= 300; ++number) {
        const std::string key = "k" + std::to_string(number);
        copy.change({key, "v", 2 * number, false});
        copy.change({key, "", 2 * number + 1, true});
    }
    cr_assert(!copy.changes_after(10));
    cr_assert(copy.has_changes_after(10));
    cr_assert(copy.changes_after(600).has_value());
}

/// One copy follows the owner and a second copy follows the first, with pauses; at the end both
/// have the same content as the owner.
Test(table_mirror, a_copy_of_a_copy_equals_the_table) {
    const bool holds = rc::check("a copy of a copy is the table", [] {
        const auto steps = *rc::gen::container<std::vector<int>>(60, rc::gen::inRange(0, 100));
        std::map<std::string, std::string> owner;
        std::uint64_t version = 0;
        table_mirror first;
        table_mirror second;
        const auto pass_on = [&] {
            const auto changes = first.changes_after(second.version());
            if (!changes) {
                second.replace(first.rows(), first.version());
            } else {
                for (const record& one : *changes) {
                    second.change(one);
                }
            }
            second.confirm(*first.confirmed());
        };
        first.confirm({0, at(0s), {}});
        for (const int step : steps) {
            const std::string key = "k" + std::to_string(step % 7);
            ++version;
            if (step < 40) {
                owner[key] = std::to_string(version);
                first.change({key, owner[key], version, false});
            } else if (step < 70) {
                owner.erase(key);
                first.change({key, "", version, true});
            } else if (step < 80) {
                std::vector<record> rows;
                for (const auto& [name, value] : owner) {
                    rows.push_back({name, value, std::stoull(value), false});
                }
                first.replace(rows, version);
            } else {
                first.confirm({version, at(1s), {}});
                pass_on();
            }
        }
        first.confirm({version, at(2s), {}});
        pass_on();
        RC_ASSERT(contents(first.rows()) == owner);
        RC_ASSERT(contents(second.rows()) == owner);
    });
    cr_assert(holds);
}

Test(table_mirror, reports_all_removals_if_a_third_of_the_rows_is_removed_at_once) {
    for (const std::size_t count : {300, 10'000}) {
        table_mirror copy;
        std::uint64_t version = 0;
        for (std::size_t index = 0; index < count; ++index) {
            copy.change({"e" + std::to_string(index), "v", ++version, false});
        }
        const std::uint64_t known = version;
        for (std::size_t index = 0; index < count / 3; ++index) {
            copy.change({"e" + std::to_string(index), "", ++version, true});
        }
        const auto changes = copy.changes_after(known);
        cr_assert(changes.has_value(), "whoever takes its copy from here would need a whole one");
        cr_assert_eq(changes->size(), count / 3);
    }
}

Test(table_mirror, the_revision_increases_with_each_change_passed_on) {
    table_mirror copy([](const record& before, const record& after) {
        return before.value.front() == after.value.front();
    });
    copy.change(row("a", 1, "x1"));
    const std::uint64_t first = copy.revision();
    copy.change(row("a", 2, "x2"));
    cr_assert_eq(copy.revision(), first);
    copy.change(row("a", 3, "y"));
    cr_assert_eq(copy.revision(), first + 1);
    copy.change({"a", "", 4, true});
    cr_assert_eq(copy.revision(), first + 2);
}
