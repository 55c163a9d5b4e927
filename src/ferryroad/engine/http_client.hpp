/// @file
/// Engine client that speaks JSON over HTTP (docs/reference/engine-protocol.md).
#pragma once

#include "ferryroad/engine/client.hpp"
#include "ferryroad/engine/tunables.hpp"
#include "ferryroad/http/client.hpp"
#include "ferryroad/runtime/scheduler.hpp"

#include <memory>
#include <string>

namespace ferryroad::engine {

/// Implements `client` on an HTTP client. Must be used from the event loop's thread and must
/// outlive the streams that it returns.
class http_client final : public client {
  public:
    /// @param scheduler and `connections` must outlive this object.
    http_client(runtime::scheduler& scheduler, http::client& connections, tunables limits = {});

    runtime::task<result<std::unique_ptr<generation_stream>>> generate(
        const engine_target& target, generation_request request) override;
    runtime::task<result<std::unique_ptr<generation_stream>>> resume(
        const engine_target& target, base::attempt_id attempt, std::uint32_t first_token) override;
    runtime::task<result<void>> cancel(const engine_target& target,
                                       base::attempt_id attempt) override;
    runtime::task<result<application_answer>> call_application(
        const engine_target& target, application_request request) override;
    runtime::task<result<load_report>> read_load(const base::endpoint& address) override;
    runtime::task<result<cache_event_batch>> read_events(const engine_target& target,
                                                         std::uint64_t from_sequence,
                                                         base::duration wait) override;
    runtime::task<result<import_answer>> import_state(const engine_target& target,
                                                      import_request request) override;
    /// Sends the order on a new connection: on any other, an answer, which names no order, could be
    /// a surplus one to an earlier call.
    runtime::task<result<void>> order(const engine_target& target, base::fencing_token token,
                                      engine_order order) override;

  private:
    /// The attempt, process and first token that a stream's events must match.
    struct stream_expectation {
        base::attempt_id attempt;
        base::incarnation incarnation;
        std::uint32_t first_token = 0;
        base::monotonic_time deadline{};
    };
    class http_stream;

    /// Sends a request whose response is a stream of events.
    /// @param limit time allowed until the response headers arrive.
    runtime::task<result<std::unique_ptr<generation_stream>>> open_stream(
        base::endpoint address, http::request message, base::duration limit,
        http::resend resend_policy, stream_expectation expected);
    /// Sends an idempotent request, which the HTTP client may resend on a new connection.
    /// @return the body of a response with status 200.
    runtime::task<result<std::string>> exchange(
        base::endpoint address, http::request message, base::duration limit,
        http::connection_choice choice = http::connection_choice::pooled);

    runtime::scheduler& scheduler_;
    http::client& connections_;
    tunables limits_;
};

}  // namespace ferryroad::engine
