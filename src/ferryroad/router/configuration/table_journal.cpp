#include "ferryroad/router/configuration/table_journal.hpp"

#include "ferryroad/router/configuration/row_codec.hpp"

#include <boost/leaf/handle_errors.hpp>

#include <cstdio>
#include <string>
#include <utility>

namespace ferryroad::router {

namespace {

using namespace coordination::configuration;

constexpr const char* head_key = "configuration/head";

/// Zero-padded, so that the order of the keys is that of the revisions.
std::string padded(base::revision revision) {
    constexpr std::size_t digits = 20;
    const std::string text = std::to_string(revision.value);
    return std::string(digits - text.size(), '0') + text;
}

platform::row_key change_key(base::revision revision) {
    return platform::row_key("configuration/change/" + padded(revision));
}

platform::row_key snapshot_key(base::revision revision) {
    return platform::row_key("configuration/snapshot/" + padded(revision));
}

/// Decodes a row. A row with invalid content is reported as `protocol_violation`.
template <typename T, typename Decode>
platform::result<T> decode_row(const platform::row& row, Decode decode) {
    using outcome = platform::result<T>;
    const auto violation = [&](const std::string& message) {
        return outcome(platform::error{platform::error_code::protocol_violation,
                                       "row " + row.key.value + ": " + message, std::nullopt});
    };
    return boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<outcome> {
            BOOST_LEAF_AUTO(value, decode(row.value));
            return outcome(std::move(value));
        },
        [&](const row_error& failure) { return violation(failure.message); },
        [&]() { return violation("can't be decoded"); });
}

platform::result<versioned_head> to_head(const platform::row& row) {
    if (row.version.value == 0) {
        return versioned_head{};
    }
    auto head = decode_row<head_row>(row, decode_head);
    if (!head) {
        return head.error();
    }
    return versioned_head{head_version(row.version.value), std::move(*head)};
}

platform::result<pull_answer> to_answer(const read_plan& plan,
                                        const std::vector<platform::row>& rows) {
    pull_answer answer;
    answer.head = plan.last_change;
    for (const platform::row& row : rows) {
        if (plan.snapshot && row.key == snapshot_key(*plan.snapshot)) {
            auto decoded = decode_row<snapshot>(row, decode_snapshot);
            if (!decoded) {
                return decoded.error();
            }
            answer.base = std::move(*decoded);
            continue;
        }
        auto next = decode_row<change>(row, decode_change);
        if (!next) {
            return next.error();
        }
        answer.changes.push_back(std::move(*next));
    }
    return answer;
}

std::vector<platform::row_write> to_writes(const commit_transaction& transaction) {
    std::vector<platform::row_write> writes;
    writes.push_back({platform::row_key(head_key), encode_head(transaction.head)});
    writes.push_back({change_key(transaction.added.revision), encode_change(transaction.added)});
    if (transaction.added_snapshot) {
        writes.push_back({snapshot_key(transaction.added_snapshot->revision),
                          encode_snapshot(*transaction.added_snapshot)});
    }
    if (transaction.expired_change) {
        writes.push_back({change_key(*transaction.expired_change), std::nullopt});
    }
    if (transaction.expired_snapshot) {
        writes.push_back({snapshot_key(*transaction.expired_snapshot), std::nullopt});
    }
    return writes;
}

}  // namespace

runtime::task<platform::result<versioned_head>> table_journal::read_head() {
    std::vector<platform::row_key> keys{platform::row_key(head_key)};
    auto rows = co_await table_.read(std::move(keys));
    if (!rows) {
        co_return rows.error();
    }
    if (rows->empty()) {
        co_return versioned_head{};
    }
    co_return to_head(rows->front());
}

runtime::task<platform::result<pull_answer>> table_journal::read(read_plan plan) {
    std::vector<platform::row_key> keys;
    if (plan.snapshot) {
        keys.push_back(snapshot_key(*plan.snapshot));
    }
    for (std::uint64_t next = plan.first_change.value; next <= plan.last_change.value; ++next) {
        keys.push_back(change_key(base::revision(next)));
    }
    const std::size_t expected = keys.size();
    auto rows = co_await table_.read(std::move(keys));
    if (!rows) {
        co_return rows.error();
    }
    if (rows->size() != expected) {
        co_return platform::error{platform::error_code::not_found,
                                  "rows of the configuration log were deleted while it was read",
                                  std::nullopt};
    }
    co_return to_answer(plan, *rows);
}

runtime::task<platform::result<write_outcome>> table_journal::write(
    commit_transaction transaction) {
    platform::transaction write;
    write.conditions.push_back(
        {platform::row_key(head_key), platform::row_version(transaction.expected.value)});
    write.writes = to_writes(transaction);
    std::vector<platform::transaction> batch;
    batch.push_back(std::move(write));
    auto outcomes = co_await table_.transact(std::move(batch));
    if (!outcomes) {
        co_return outcomes.error();
    }
    if (outcomes->size() != 1) {
        co_return platform::error{
            platform::error_code::answer_lost,
            "the table did not return exactly one outcome for one transaction", std::nullopt};
    }
    platform::transaction_outcome& outcome = outcomes->front();
    if (outcome.committed) {
        co_return write_outcome(written{});
    }
    auto head = to_head(outcome.conflicting.value_or(platform::row{}));
    if (!head) {
        co_return head.error();
    }
    co_return write_outcome(write_conflict{std::move(*head)});
}

}  // namespace ferryroad::router
