#include "ferryroad/platform/batching_table.hpp"

#include <unordered_map>

namespace ferryroad::platform {

namespace {

/// @return limits under which each call carries one item.
batch_limits one_item(batch_limits limits) {
    limits.items_per_call = 1;
    return limits;
}

}  // namespace

batching_table::batching_table(runtime::scheduler& scheduler, table& inner, batching_limits limits)
    : inner_(inner),
      pacer_(scheduler, limits.pace),
      transactions_(
          scheduler, pacer_, limits.batch,
          [this](std::vector<transaction> all) { return inner_.transact(std::move(all)); }),
      reads_(scheduler, pacer_, limits.batch,
             [this](std::vector<row_key> keys) { return read_each(std::move(keys)); }),
      scans_(scheduler, pacer_, one_item(limits.batch),
             [this](std::vector<scan_order> orders) { return scan_each(std::move(orders)); }) {}

runtime::task<result<std::vector<transaction_outcome>>> batching_table::transact(
    std::vector<transaction> transactions) {
    return transactions_.submit(std::move(transactions));
}

runtime::task<result<std::vector<batching_table::found_row>>> batching_table::read_each(
    std::vector<row_key> keys) {
    std::vector<row_key> asked = keys;
    auto rows = co_await inner_.read(std::move(asked));
    if (!rows) {
        co_return rows.error();
    }
    std::unordered_map<row_key, row> by_key;
    for (row& one : *rows) {
        row_key key = one.key;
        by_key.emplace(std::move(key), std::move(one));
    }
    std::vector<found_row> found;
    found.reserve(keys.size());
    for (const row_key& key : keys) {
        const auto position = by_key.find(key);
        found.push_back(position == by_key.end() ? std::nullopt : found_row(position->second));
    }
    co_return found;
}

runtime::task<result<std::vector<row>>> batching_table::read(std::vector<row_key> keys) {
    auto found = co_await reads_.submit(std::move(keys));
    if (!found) {
        co_return found.error();
    }
    std::vector<row> rows;
    for (found_row& one : *found) {
        if (one) {
            rows.push_back(std::move(*one));
        }
    }
    co_return rows;
}

runtime::task<result<std::vector<batching_table::page>>> batching_table::scan_each(
    std::vector<scan_order> orders) {
    std::vector<page> pages;
    for (scan_order& order : orders) {
        auto rows =
            co_await inner_.scan(std::move(order.prefix), std::move(order.after), order.limit);
        if (!rows) {
            co_return rows.error();
        }
        pages.push_back(std::move(*rows));
    }
    co_return pages;
}

runtime::task<result<std::vector<row>>> batching_table::scan(std::string prefix, row_key after,
                                                             std::uint32_t limit) {
    std::vector<scan_order> orders;
    orders.push_back({std::move(prefix), std::move(after), limit});
    auto pages = co_await scans_.submit(std::move(orders));
    if (!pages) {
        co_return pages.error();
    }
    co_return std::move(pages->front());
}

}  // namespace ferryroad::platform
