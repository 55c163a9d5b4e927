/// @file
/// A table that batches and rate-limits its calls, so that the transactions of many requests need
/// few calls.
#pragma once

#include "ferryroad/platform/call_batcher.hpp"
#include "ferryroad/platform/services.hpp"

namespace ferryroad::platform {

/// Limits of a `batching_table`.
struct batching_limits {
    pacer_limits pace;
    batch_limits batch;
};

/// Group commit for another table. Concurrent `transact` calls share one call of the inner table,
/// as do concurrent `read` calls; `scan` calls are sent one by one under the same rate limit. A
/// call refused by the service's rate limit had no effect and is retried, with jitter, within the
/// wait limit. Any other error, notably `answer_lost`, is returned to every caller in the batch.
///
/// Must be used from the event loop's thread and outlive the coroutines that call it. Cancelling a
/// caller withdraws its transactions unless their call has already been sent.
class batching_table final : public table {
  public:
    /// @param scheduler and `inner` must outlive this object.
    batching_table(runtime::scheduler& scheduler, table& inner, batching_limits limits);

    runtime::task<result<std::vector<transaction_outcome>>> transact(
        std::vector<transaction> transactions) override;
    runtime::task<result<std::vector<row>>> read(std::vector<row_key> keys) override;
    runtime::task<result<std::vector<row>>> scan(std::string prefix, row_key after,
                                                 std::uint32_t limit) override;

  private:
    struct scan_request {
        std::string prefix;
        row_key after;
        std::uint32_t limit = 0;
    };
    using found_row = std::optional<row>;
    using page = std::vector<row>;

    runtime::task<result<std::vector<found_row>>> read_each(std::vector<row_key> keys);
    runtime::task<result<std::vector<page>>> scan_each(std::vector<scan_request> requests);

    table& inner_;
    call_pacer pacer_;
    call_batcher<transaction, transaction_outcome> transactions_;
    call_batcher<row_key, found_row> reads_;
    call_batcher<scan_request, page> scans_;
};

}  // namespace ferryroad::platform
