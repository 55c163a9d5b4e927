/// A copy of a table stays fresh, never goes back to an older version, and is replaced by a
/// snapshot whenever changes could have been missed.
#include "ferryroad/relay/table_follower.hpp"

#include "test/http/loopback.hpp"

#include <deque>
#include <map>

using namespace ferryroad;
using namespace ferryroad::relay;
using namespace std::chrono_literals;

namespace {

/// Answers each call with the next scripted answer; waits once there are none left.
struct scripted_feed {
    using answer = runtime::result<record_batch, feed_fault>;
    runtime::scheduler& scheduler;
    std::deque<answer> snapshots;
    std::deque<answer> changes;
    std::vector<std::uint64_t> asked_after;
    int snapshot_calls = 0;

    runtime::task<answer> read_all(std::string, base::duration) {
        ++snapshot_calls;
        return next(snapshots);
    }
    runtime::task<answer> read_changes(std::string, std::uint64_t after, base::duration,
                                       base::duration) {
        asked_after.push_back(after);
        return next(changes);
    }
    runtime::task<answer> next(std::deque<answer>& script) {
        co_await scheduler.sleep_for(1ms);
        if (script.empty()) {
            co_await scheduler.sleep_for(1h);
        }
        answer first = script.front();
        script.pop_front();
        co_return first;
    }
};

record row(const char* key, std::uint64_t version, bool deleted = false) {
    return {key, "v", version, deleted};
}

struct fixture {
    ferryroad::test::loopback loop;
    scripted_feed feed{loop.scheduler, {}, {}, {}, 0};
    std::map<std::string, std::uint64_t> copy;
    int confirmations = 0;
    table_follower<scripted_feed> follower{loop.scheduler, feed, settings(), events()};

    static follower_settings settings() {
        follower_settings all;
        all.table = "t";
        all.first_backoff = 1ms;
        all.max_backoff = 4ms;
        return all;
    }
    follower_events events() {
        return {[this](const std::vector<record>& rows) {
                    copy.clear();
                    for (const record& one : rows) {
                        copy[one.key] = one.version;
                    }
                },
                [this](const record& one) {
                    if (one.deleted) {
                        copy.erase(one.key);
                    } else {
                        copy[one.key] = one.version;
                    }
                },
                [this](const confirmation&) { ++confirmations; }};
    }
    void run_until(std::function<bool()> condition) {
        follower.start();
        cr_assert(loop.run([&]() -> runtime::task<void> { co_await loop.until(condition); }));
    }
};

}  // namespace

Test(table_follower, reads_a_snapshot_and_follows_changes) {
    fixture at;
    at.feed.snapshots = {record_batch{{row("a", 3), row("b", 5)}, 7, {}}};
    at.feed.changes = {record_batch{{row("c", 8)}, 8, {}},
                       record_batch{{row("a", 9, true)}, 9, {}}};
    at.run_until([&] { return at.confirmations == 3; });
    cr_assert(at.copy == (std::map<std::string, std::uint64_t>{{"b", 5}, {"c", 8}}));
    cr_assert_eq(at.feed.asked_after[0], 7);
    cr_assert_eq(at.feed.asked_after[1], 8);
}

Test(table_follower, reads_a_snapshot_if_the_history_is_gone) {
    fixture at;
    at.feed.snapshots = {record_batch{{row("a", 3)}, 7, {}}, record_batch{{row("b", 20)}, 21, {}}};
    at.feed.changes = {feed_fault::history_gone};
    at.run_until([&] { return at.confirmations == 2; });
    cr_assert(at.copy == (std::map<std::string, std::uint64_t>{{"b", 20}}));
}

Test(table_follower, broken_feed_confirms_nothing_until_a_snapshot) {
    fixture at;
    at.feed.snapshots = {feed_fault::unavailable, record_batch{{row("a", 3)}, 7, {}},
                         feed_fault::unavailable, record_batch{{row("a", 3)}, 7, {}}};
    at.feed.changes = {feed_fault::unavailable, record_batch{{}, 7, {}}};
    at.run_until([&] { return at.feed.asked_after.size() == 3; });
    cr_assert_eq(at.confirmations, 3);
    cr_assert_eq(at.feed.snapshot_calls, 4);
}

Test(table_follower, ignores_answers_older_than_the_copy) {
    fixture at;
    at.feed.snapshots = {record_batch{{row("a", 9)}, 10, {}}, record_batch{{row("a", 3)}, 4, {}},
                         record_batch{{row("a", 12)}, 12, {}}};
    at.feed.changes = {feed_fault::history_gone};
    at.run_until([&] { return at.confirmations == 2; });
    cr_assert_eq(at.copy["a"], 12);
    cr_assert_eq(at.feed.snapshot_calls, 3);
}

Test(table_follower, missing_sources_require_no_snapshot) {
    fixture at;
    at.feed.snapshots = {record_batch{{row("a", 3)}, 7, {}}};
    at.feed.changes = {feed_fault::no_source, feed_fault::no_source,
                       record_batch{{row("b", 9)}, 9, {}}};
    at.run_until([&] { return at.confirmations == 2; });
    cr_assert_eq(at.feed.snapshot_calls, 1);
    cr_assert(at.feed.asked_after == (std::vector<std::uint64_t>{7, 7, 7, 9}) ||
              at.feed.asked_after == (std::vector<std::uint64_t>{7, 7, 7}));
    cr_assert_eq(at.copy["b"], 9);
}
