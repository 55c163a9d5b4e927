#include "ferryroad/platform/batching_table.hpp"

#include <unordered_map>

namespace ferryroad::platform {

namespace {

/// @return the limits, changed to one item per call.
batch_limits one_item_per_call(batch_limits limits) {
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
      scans_(
          scheduler, pacer_, one_item_per_call(limits.batch),
          [this](std::vector<scan_request> requests) { return scan_each(std::move(requests)); }) {}

runtime::task<result<std::vector<transaction_outcome>>> batching_table::transact(
    std::vector<transaction> transactions) {
    return transactions_.submit(std::move(transactions));
}

runtime::task<result<std::vector<batching_table::found_row>>> batching_table::read_each(
    std::vector<row_key> keys) {
    std::vector<row_key> requested = keys;
    auto rows = co_await inner_.read(std::move(requested));
    if (!rows) {
        co_return rows.error();
    }
    std::unordered_map<row_key, row> by_key;
    for (row& current : *rows) {
        row_key key = current.key;
        by_key.emplace(std::move(key), std::move(current));
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
    for (found_row& current : *found) {
        if (current) {
            rows.push_back(std::move(*current));
        }
    }
    co_return rows;
}

runtime::task<result<std::vector<batching_table::page>>> batching_table::scan_each(
    std::vector<scan_request> requests) {
    std::vector<page> pages;
    for (scan_request& request : requests) {
        auto rows = co_await inner_.scan(std::move(request.prefix), std::move(request.after),
                                         request.limit);
        if (!rows) {
            co_return rows.error();
        }
        pages.push_back(std::move(*rows));
    }
    co_return pages;
}

runtime::task<result<std::vector<row>>> batching_table::scan(std::string prefix, row_key after,
                                                             std::uint32_t limit) {
    std::vector<scan_request> requests;
    requests.push_back({std::move(prefix), std::move(after), limit});
    auto pages = co_await scans_.submit(std::move(requests));
    if (!pages) {
        co_return pages.error();
    }
    co_return std::move(pages->front());
}

}  // namespace ferryroad::platform
