/// @file
/// What relayed traffic is made of: a caller's call with an opaque body, what a dispatch of it
/// to an engine adds, and how an engine's answer begins.
#pragma once

#include "ferryroad/base/endpoint.hpp"
#include "ferryroad/base/ids.hpp"
#include "ferryroad/base/time.hpp"
#include "ferryroad/core/execution/events.hpp"
#include "ferryroad/core/prefix/declared_prompt.hpp"
#include "ferryroad/http/client.hpp"
#include "ferryroad/http/message.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace ferryroad::relay {

/// One request as the caller sent it. Immutable once shared.
struct relay_call {
    base::request_id id;
    http::request message;  ///< End-to-end headers only.
    std::string host;
    std::optional<base::duration> time_left;  ///< That the caller will wait, from `arrived`.
    std::optional<std::string> api_key;
    std::optional<core::prefix::declared_prompt> prompt;
    std::optional<std::uint64_t> told_tokens;    ///< Of the prompt and expected of the answer.
    std::optional<std::uint64_t> last_event_id;  ///< The caller resumes after this event.
    base::monotonic_time arrived{};
};

/// One process behind an address.
struct engine_target {
    base::engine_name name;
    base::endpoint address;

    friend bool operator==(const engine_target&, const engine_target&) = default;
};

/// What a dispatch stands on, and may lose while its connection is opened.
enum class dispatch_ground {
    key,             ///< The caller's, as confirmed.
    no_quarantine,   ///< No engine is known to have ended under the request.
    engine_process,  ///< The one chosen is listed.
    engine_stays,    ///< It isn't about to leave.
    engine_serves,   ///< Its weights and software may get the request.
    time_left        ///< Of the caller's.
};

/// @return the ground's name for logs. Thread-safe.
std::string_view to_string(dispatch_ground ground);

/// What holds of a dispatch right before its first byte is written.
struct last_look {
    std::optional<dispatch_ground> lost;  ///< Then it must not be sent.
    base::duration time_left{};

    friend bool operator==(const last_look&, const last_look&) = default;
};

/// What a dispatch adds to the caller's call.
struct dispatch {
    std::shared_ptr<const relay_call> call;
    base::duration time_left{};
    std::optional<base::tenant_name> tenant;
    std::optional<std::uint64_t> expected_version;  ///< Of the weights.
    std::optional<std::string> cache_scope;
    std::optional<base::endpoint> fetch_state_from;
    std::optional<base::endpoint> save_state_to;
    std::optional<std::uint32_t> priority;  ///< 0 is the most urgent.
    std::optional<std::uint64_t> resume_after;
    bool fresh_connection = false;
    /// Asked where it is set, once a connection is there and no byte was written. To be asked from
    /// the event loop's thread, and not after `upstream::open` has ended.
    std::function<last_look()> look_again;
};

/// An engine's answer, from its head on.
struct opened_answer {
    unsigned status = 0;
    http::header_list headers;  ///< End-to-end only.
    bool is_event_stream = false;
    std::optional<std::uint64_t> version;  ///< Of the engine's weights.
    std::unique_ptr<http::byte_stream> body;
};

/// A dispatch that brought no answer of use.
struct dispatch_failure {
    core::execution::failure_kind kind{};
    core::execution::failure_proof proof = core::execution::failure_proof::unknown;
    std::optional<base::duration> retry_after;
    std::optional<std::uint64_t> version;  ///< That the engine said it has.
    std::string message;
    std::optional<dispatch_ground> lost;       ///< Where it was withheld: why.
    std::optional<dispatch_ground> withdrawn;  ///< Where the router ended it as it waited: why.
};

/// @return the failure of a dispatch that was not sent, as it had lost `ground`. Thread-safe.
dispatch_failure withheld_for(dispatch_ground ground);

/// What happens to the requests that run at an engine which takes new weights.
enum class running_requests {
    end_first,  ///< The engine waits for them, and takes no new ones meanwhile.
    carry_on    ///< They go on under the new weights, after a pause.
};

/// An order for an engine to take new weights.
struct weights_order {
    std::string model;
    std::uint64_t version = 0;
    std::uint64_t expected_orders = 0;
    running_requests running = running_requests::end_first;
    std::string holder;
    base::fencing_token token;

    friend bool operator==(const weights_order&, const weights_order&) = default;
};

}  // namespace ferryroad::relay
