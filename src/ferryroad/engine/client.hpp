/// @file
/// Interface for talking to engines. `engine/http_client.hpp` implements it with JSON over HTTP;
/// the simulator has its own implementation.
#pragma once

#include "ferryroad/engine/errors.hpp"
#include "ferryroad/engine/types.hpp"
#include "ferryroad/runtime/task.hpp"

#include <memory>

namespace ferryroad::engine {

template <typename T>
using result = runtime::result<T, error>;

/// The events of one attempt, in order. Destroying the stream before its end closes the connection
/// but doesn't stop the engine; call `client::cancel` for that. Must be used from the event loop's
/// thread.
class generation_stream {
  public:
    virtual ~generation_stream() = default;
    /// Waits for the next event. Must not be called again after `stream_end` or an error.
    /// @return the event, or an error; a missing or repeated token index, or an event of another
    /// attempt, is `protocol_violation`.
    virtual runtime::task<result<stream_event>> next() = 0;
};

/// Sends requests to engines. Calls may run concurrently; the client must outlive its streams.
/// Each call is bounded by the request's `time_left`, by the limit for that call in `tunables`, or
/// by both.
class client {
  public:
    virtual ~client() = default;

    /// Starts an attempt. If the error's proof is `not_sent` or `not_run`, the engine is certain
    /// not to have executed any part of the attempt.
    virtual runtime::task<result<std::unique_ptr<generation_stream>>> generate(
        const engine_target& target, generation_request request) = 0;

    /// Reopens the stream of an attempt that this engine still holds, from `first_token` on.
    virtual runtime::task<result<std::unique_ptr<generation_stream>>> resume(
        const engine_target& target, base::attempt_id attempt, std::uint32_t first_token) = 0;

    /// Cancels an attempt. Cancelling a finished or unknown attempt succeeds.
    virtual runtime::task<result<void>> cancel(const engine_target& target,
                                               base::attempt_id attempt) = 0;

    /// Forwards an HTTP request to an application engine.
    virtual runtime::task<result<application_answer>> call_application(
        const engine_target& target, application_request request) = 0;

    /// Reads the load report of whichever engine process listens on `address`.
    virtual runtime::task<result<load_report>> read_load(const base::endpoint& address) = 0;

    /// Long-polls for cache events whose sequence number is `from_sequence` or higher.
    /// @param wait how long the engine may wait for such an event.
    virtual runtime::task<result<cache_event_batch>> read_events(const engine_target& target,
                                                                 std::uint64_t from_sequence,
                                                                 base::duration wait) = 0;

    /// Makes `target` import cached state directly from the engine `request.source`.
    virtual runtime::task<result<import_answer>> import_state(const engine_target& target,
                                                              import_request request) = 0;

    /// Sends an administrative order. The engine refuses it if it has already seen a higher
    /// fencing token.
    virtual runtime::task<result<void>> order(const engine_target& target,
                                              base::fencing_token token, engine_order order) = 0;
};

}  // namespace ferryroad::engine
