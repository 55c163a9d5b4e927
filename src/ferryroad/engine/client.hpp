/// @file
/// Port to engines. `engine/http_client.hpp` speaks HTTP with JSON; the simulator has its own.
#pragma once

#include "ferryroad/engine/errors.hpp"
#include "ferryroad/engine/types.hpp"
#include "ferryroad/runtime/task.hpp"

#include <memory>

namespace ferryroad::engine {

template <typename T>
using result = runtime::result<T, error>;

/// The events of one attempt, in order. Destroying it before its end closes the connection
/// (the engine may go on: call `client::cancel`). Used from the event loop's thread.
class generation_stream {
  public:
    virtual ~generation_stream() = default;
    /// @return the next event. After `stream_end` or an error, not called again. Token
    /// indexes are checked: a gap, a repeat or another attempt's token is
    /// `protocol_violation`.
    virtual runtime::task<result<stream_event>> next() = 0;
};

/// Speaks to any engine. Calls may overlap; the client outlives its streams. Each call ends
/// by `time_left` or the call's own limit in `tunables`.
class client {
  public:
    virtual ~client() = default;

    /// Begins an attempt. An error whose proof is `not_sent` or `not_run` is a promise.
    virtual runtime::task<result<std::unique_ptr<generation_stream>>> generate(
        const engine_target& target, generation_request request) = 0;

    /// Takes up a stream of a live attempt of this engine again, from `first_token`.
    virtual runtime::task<result<std::unique_ptr<generation_stream>>> resume(
        const engine_target& target, base::attempt_id attempt, std::uint32_t first_token) = 0;

    /// Ends an attempt; ended or unknown ones are no error.
    virtual runtime::task<result<void>> cancel(const engine_target& target,
                                               base::attempt_id attempt) = 0;

    virtual runtime::task<result<application_answer>> call_application(
        const engine_target& target, application_request request) = 0;

    virtual runtime::task<result<load_report>> read_load(const base::endpoint& address) = 0;

    /// Waits up to `wait` for events from `from_sequence` on.
    virtual runtime::task<result<cache_event_batch>> read_events(const engine_target& target,
                                                                 std::uint64_t from_sequence,
                                                                 base::duration wait) = 0;

    /// Has `target` import state from `request.source`, directly from engine to engine.
    virtual runtime::task<result<import_answer>> import_state(const engine_target& target,
                                                              import_request request) = 0;

    virtual runtime::task<result<void>> order(const engine_target& target,
                                              base::fencing_token token, engine_order order) = 0;
};

}  // namespace ferryroad::engine
