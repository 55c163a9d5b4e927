/// @file
/// A table whose calls are merged and paced: the claims of many requests cost few calls.
#pragma once

#include "ferryroad/platform/call_batcher.hpp"
#include "ferryroad/platform/services.hpp"

namespace ferryroad::platform {

struct batching_limits {
    pacer_limits pace;
    batch_limits batch;
};

/// Group commit over another table. Concurrent `transact` calls share one call of the inner
/// table, as do concurrent `read` calls; `scan` keeps the same pace. A refusal by the rate
/// limit changed nothing and is tried again, with jitter, within the wait limit. Every other
/// error, and `answer_lost` first of all, goes to each caller that was part of the call.
///
/// Used from the event loop's thread; lives as long as the coroutines that call it. Cancelling
/// a caller takes its transactions back unless they are on their way.
class batching_table final : public table {
  public:
    /// @param scheduler and `inner` outlive this.
    batching_table(runtime::scheduler& scheduler, table& inner, batching_limits limits);

    runtime::task<result<std::vector<transaction_outcome>>> transact(
        std::vector<transaction> transactions) override;
    runtime::task<result<std::vector<row>>> read(std::vector<row_key> keys) override;
    runtime::task<result<std::vector<row>>> scan(std::string prefix, row_key after,
                                                 std::uint32_t limit) override;

  private:
    struct scan_order {
        std::string prefix;
        row_key after;
        std::uint32_t limit = 0;
    };
    using found_row = std::optional<row>;
    using page = std::vector<row>;

    runtime::task<result<std::vector<found_row>>> read_each(std::vector<row_key> keys);
    runtime::task<result<std::vector<page>>> scan_each(std::vector<scan_order> orders);

    table& inner_;
    call_pacer pacer_;
    call_batcher<transaction, transaction_outcome> transactions_;
    call_batcher<row_key, found_row> reads_;
    call_batcher<scan_order, page> scans_;
};

}  // namespace ferryroad::platform
