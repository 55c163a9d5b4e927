/// @file
/// Sends one request as a caller would, and records what came back.
#pragma once

#include "bench/load/answer_check.hpp"
#include "bench/load/endpoints.hpp"
#include "bench/load/record.hpp"
#include "bench/load/stream_event.hpp"
#include "bench/workload/request.hpp"
#include "ferryroad/base/time.hpp"
#include "ferryroad/http/client.hpp"
#include "ferryroad/runtime/scheduler.hpp"

#include <memory>
#include <string>

namespace ferryroad::bench::load {

struct caller_options {
    base::duration limit = std::chrono::seconds(120);  ///< For one whole exchange.
    std::string run;                                   ///< Written into each record.
    std::size_t piece_bytes = core::prefix::default_piece_bytes;
    /// A connection for each request: then no exchange is ever sent again after a kept
    /// connection proved dead, and every lost one shows as cut.
    bool fresh_connections = false;
};

/// Used from the event loop's thread; outlives its calls.
class caller {
  public:
    /// @param scheduler and `system` outlive the caller.
    caller(runtime::scheduler& scheduler, const endpoints& system, caller_options options);

    /// Tries the routers in turn, beginning with one that the request's number names, until
    /// one takes a connection. Never sends a request that may not be repeated twice.
    runtime::task<call_record> call(workload::workload_request request);

  private:
    using opened = http::result<std::unique_ptr<http::response_stream>>;

    call_record begin_record(const workload::workload_request& request) const;
    http::request make_message(const workload::workload_request& request) const;
    runtime::task<opened> open(const workload::workload_request& request, call_record& record);
    runtime::task<void> read_stream(http::response_stream& stream, call_record& record,
                                    std::string prompt);
    runtime::task<void> read_body(http::response_stream& stream, call_record& record,
                                  workload::workload_request request);
    void accept_part(const answer_part& part, answer_check& check, call_record& record) const;
    const tenant_entry& tenant_of(const workload::workload_request& request) const;
    std::string path_of(const workload::workload_request& request) const;
    double now() const;

    runtime::scheduler& scheduler_;
    const endpoints& system_;
    caller_options options_;
    base::monotonic_time start_;
    http::client pooled_;
    /// For requests that may not be repeated: a connection of their own, so that none is lost
    /// to a kept connection that the router closes at the same moment.
    http::client fresh_;
};

}  // namespace ferryroad::bench::load
