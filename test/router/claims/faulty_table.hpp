/// @file
/// Test double: the emulator's in-memory table with injected latency, outages and message loss.
#pragma once

#include "emulator/platform/table_model.hpp"
#include "ferryroad/platform/services.hpp"
#include "ferryroad/runtime/scheduler.hpp"

namespace ferryroad::test {

struct faulty_table final : platform::table {
    faulty_table(runtime::scheduler& on, emulator::table_model& of) : scheduler(on), rows(of) {}

    runtime::scheduler& scheduler;
    emulator::table_model& rows;
    base::duration latency = std::chrono::milliseconds(2);
    bool outage = false;
    int lost_answers = 0;   ///< Number of next transactions that commit but get no answer.
    int lost_requests = 0;  ///< Number of next transactions that are lost before the table.
    bool reads_fail = false;
    std::size_t largest_batch = 0;
    std::size_t calls = 0;

    runtime::task<platform::result<std::vector<platform::transaction_outcome>>> transact(
        std::vector<platform::transaction> transactions) override {
        largest_batch = std::max(largest_batch, transactions.size());
        ++calls;
        co_await scheduler.sleep_for(latency);
        if (outage) {
            co_return down();
        }
        if (lost_requests > 0) {
            --lost_requests;
            co_return lost();
        }
        auto outcomes = rows.transact(transactions);
        if (lost_answers > 0) {
            --lost_answers;
            co_return lost();
        }
        co_return outcomes;
    }
    runtime::task<platform::result<std::vector<platform::row>>> read(
        std::vector<platform::row_key> keys) override {
        ++calls;
        co_await scheduler.sleep_for(latency);
        if (outage || reads_fail) {
            co_return down();
        }
        co_return rows.read(keys);
    }
    runtime::task<platform::result<std::vector<platform::row>>> scan(std::string prefix,
                                                                     platform::row_key after,
                                                                     std::uint32_t limit) override {
        ++calls;
        co_await scheduler.sleep_for(latency);
        if (outage) {
            co_return down();
        }
        co_return rows.scan(prefix, after, limit);
    }

    static platform::error down() {
        return {platform::error_code::unavailable, "outage", std::chrono::seconds(3)};
    }
    static platform::error lost() { return {platform::error_code::answer_lost, "lost", {}}; }
};

}  // namespace ferryroad::test
