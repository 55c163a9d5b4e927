/// What an attempt does on finding the row of another claim or its own, for each state of the row.
#include "ferryroad/coordination/claim/closing.hpp"
#include "ferryroad/coordination/claim/opening.hpp"

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

using namespace ferryroad::coordination::claim;
namespace base = ferryroad::base;

namespace {

constexpr std::int64_t now = 1'800'000'000'000;
const tunables limits;

const claim_terms mine{
    base::attempt_id("mine"), {holder_name("router-1"), base::incarnation(2)}, "content"};

record other_record(record_state state, std::int64_t claimed_ago_ms = 0,
                    std::int64_t ended_ago_ms = 0) {
    record other;
    other.state = state;
    other.attempt = base::attempt_id("other");
    other.owner = {holder_name("router-2"), base::incarnation(5)};
    other.content_digest = "content";
    other.claimed_at_ms = now - claimed_ago_ms;
    other.ended_at_ms = state == record_state::in_progress ? 0 : now - ended_ago_ms;
    if (state == record_state::finished) {
        other.kept_outcome = outcome{201, "text/plain", "done"};
    }
    return other;
}

circumstances at(bool dead = false) {
    static const std::function<bool(const holder&)> none = [](const holder&) { return false; };
    static const std::function<bool(const holder&)> all = [](const holder&) { return true; };
    return {now, dead ? all : none};
}

struct row {
    const char* name;
    record stored;
    bool dead;    ///< Whether the holder is known to be dead.
    bool writes;  ///< Whether the attempt writes the row; otherwise it ends or reads again.
    std::optional<claim_outcome> outcome;  ///< Expected result, if it ends.
};

const std::vector<row>& rows() {
    using enum record_state;
    const std::int64_t past_work = base::to_milliseconds(limits.abandoned_after) + 1;
    const std::int64_t past_retention = base::to_milliseconds(limits.retention) + 1;
    static auto foreign = other_record(finished);
    foreign.content_digest = "another";
    static auto own = other_record(in_progress);
    own.attempt = mine.attempt;
    static auto given_up = own;
    given_up.state = unknown;
    static const std::vector<row> table = {
        {"finished", other_record(finished), false, false, claim_outcome::finished},
        {"unknown", other_record(unknown), false, false, claim_outcome::unknown},
        {"other content", foreign, false, false, claim_outcome::other_content},
        {"at work", other_record(in_progress), false, false, std::nullopt},
        {"at work, holder dead", other_record(in_progress), true, true, std::nullopt},
        {"at work too long", other_record(in_progress, past_work), false, true, std::nullopt},
        {"finished long ago", other_record(finished, 0, past_retention), false, true, std::nullopt},
        {"unknown long ago", other_record(unknown, 0, past_retention), false, true, std::nullopt},
        {"own, recorded without an answer", own, false, false, claim_outcome::granted},
        {"own, given up by another", given_up, false, false, claim_outcome::unknown},
    };
    return table;
}

}  // namespace

ParameterizedTestParameters(claim, rows_found) {
    static std::vector<std::size_t> indexes;
    for (std::size_t index = 0; index < rows().size(); ++index) {
        indexes.push_back(index);
    }
    return cr_make_param_array(std::size_t, indexes.data(), indexes.size());
}

ParameterizedTest(std::size_t* index, claim, rows_found) {
    const row& found = rows()[*index];
    claim_opening opening(mine);
    const action first = opening.begin(at());
    cr_assert(std::get<write_row>(first).expected == row_version(0));
    const stored_row stored{row_version(9), encode(found.stored)};
    const action next = opening.handle(write_conflicted{stored}, at(found.dead));
    const auto* end = std::get_if<ended>(&next);
    cr_assert_eq(end != nullptr, found.outcome.has_value(), "%s", found.name);
    if (end) {
        cr_assert_eq(end->result, *found.outcome, "%s", found.name);
        return;
    }
    const auto* write = std::get_if<write_row>(&next);
    cr_assert_eq(write != nullptr, found.writes, "%s", found.name);
    if (write) {
        cr_assert(write->expected == row_version(9), "%s", found.name);
    }
}

Test(claim, a_dead_holders_claim_is_closed_and_not_granted) {
    claim_opening opening(mine);
    opening.begin(at());
    const stored_row stored{row_version(9), encode(other_record(record_state::in_progress))};
    const action write = opening.handle(write_conflicted{stored}, at(true));
    const auto marked = try_decode(*std::get<write_row>(write).value);
    cr_assert_eq(marked->state, record_state::unknown);
    cr_assert(marked->attempt == base::attempt_id("other"));
    const action end = opening.handle(write_committed{row_version(10)}, at(true));
    cr_assert_eq(std::get<ended>(end).result, claim_outcome::unknown);
}

Test(claim, an_outage_grants_nothing) {
    claim_opening opening(mine);
    opening.begin(at());
    const auto end = std::get<ended>(opening.handle(write_refused{std::chrono::seconds(3)}, at()));
    cr_assert_eq(end.result, claim_outcome::unavailable);
    cr_assert(end.retry_after == std::chrono::seconds(3));
    cr_assert_not(end.maybe_recorded);
}

Test(claim, repeatedly_lost_answers_grant_nothing) {
    claim_opening opening(mine);
    opening.begin(at());
    action next = opening.handle(write_lost{}, at());
    for (std::uint32_t read = 0; read < limits.reads; ++read) {
        cr_assert(std::holds_alternative<read_row>(next));
        next = opening.handle(read_failed{}, at());
    }
    const auto& end = std::get<ended>(next);
    cr_assert_eq(end.result, claim_outcome::unavailable);
    cr_assert(end.maybe_recorded, "the embedder must close it");
}

Test(claim, a_record_of_another_format_is_never_taken_over) {
    claim_opening opening(mine);
    opening.begin(at());
    const stored_row stored{row_version(9), R"({"format":2})"};
    const action next = opening.handle(write_conflicted{stored}, at(true));
    cr_assert_eq(std::get<ended>(next).result, claim_outcome::in_progress);
}

Test(claim, a_finished_outcome_replaces_unknown) {
    claim_closing closing(mine, now, close_finished{{200, "", "done"}}, row_version(4));
    closing.begin(at());
    record marked = other_record(record_state::unknown);
    marked.attempt = mine.attempt;
    const stored_row stored{row_version(9), encode(marked)};
    const action next = closing.handle(write_conflicted{stored}, at());
    const auto& write = std::get<write_row>(next);
    cr_assert(write.expected == row_version(9));
    cr_assert_eq(try_decode(*write.value)->state, record_state::finished);
}

Test(claim, a_release_does_not_touch_another_attempts_row) {
    claim_closing closing(mine, now, close_released{}, row_version(4));
    closing.begin(at());
    const stored_row stored{row_version(9), encode(other_record(record_state::in_progress))};
    const action next = closing.handle(write_conflicted{stored}, at());
    cr_assert(std::holds_alternative<ended>(next));
}
