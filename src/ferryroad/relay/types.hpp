/// @file
/// Value types of relayed traffic: a caller's request with an opaque body, the parameters added
/// when it is dispatched to an engine, and the head of the engine's answer.
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

/// A request as the caller sent it. Immutable once shared.
struct relay_call {
    base::request_id id;
    http::request message;  ///< End-to-end headers only.
    std::string host;
    std::optional<base::duration> time_left;  ///< How long the caller waits, from `arrived`.
    std::optional<std::string> api_key;
    /// The caller presented credentials that are not exactly one API key.
    bool has_invalid_credentials = false;
    std::optional<core::prefix::declared_prompt> prompt;
    std::optional<std::uint64_t> declared_tokens;  ///< Prompt and expected answer, if declared.
    std::optional<std::uint64_t> last_event_id;    ///< The caller resumes a stream after this.
    /// The caller's attempt that received the first event of the stream that it resumes.
    std::optional<base::request_id> resumed_attempt;
    base::monotonic_time arrived{};
};

/// An engine process and its address.
struct engine_target {
    base::engine_name name;
    base::endpoint address;

    friend bool operator==(const engine_target&, const engine_target&) = default;
};

/// A precondition of a dispatch. It holds when the engine is selected and may cease to hold while
/// the connection is opened or while the request waits at the engine.
enum class dispatch_precondition {
    key,             ///< The caller's API key is valid.
    no_quarantine,   ///< The request is not quarantined for crashing engines.
    engine_process,  ///< The selected engine process is still registered.
    engine_stays,    ///< The engine is not shutting down.
    no_backoff,      ///< The engine has not asked for a time without requests.
    within_limit,    ///< The request is permitted under the engine's request limit.
    engine_serves,   ///< The engine's weights and software may serve the request.
    state_current,   ///< The state that the request fetches or stores is of its cache scope's
                     ///< weights.
    time_left        ///< The caller's deadline has not passed.
};

/// @return the precondition's name for logs. Thread-safe.
std::string_view to_string(dispatch_precondition precondition);

/// Result of checking a dispatch's preconditions right before its first byte is written.
struct last_look {
    std::optional<dispatch_precondition> lost;  ///< If set, the dispatch must not be sent.
    base::duration time_left{};                 ///< For the engine to work on the request.

    friend bool operator==(const last_look&, const last_look&) = default;
};

/// A caller's request together with the parameters of one attempt at an engine.
struct dispatch {
    std::shared_ptr<const relay_call> call;
    base::duration time_left{};
    std::optional<base::tenant_name> tenant;
    std::optional<std::uint64_t> expected_version;  ///< Weights version required of the engine.
    std::optional<std::string> cache_scope;
    std::optional<base::endpoint> fetch_state_from;
    std::optional<base::endpoint> save_state_to;
    std::optional<std::uint32_t> priority;  ///< 0 is the most urgent.
    std::optional<std::uint64_t> resume_after;
    bool fresh_connection = false;  ///< Sent on a new connection rather than on an idle one.
    /// If set, called once the connection is open and before any byte is written; checks the
    /// dispatch's preconditions again. Call it from the event loop's thread only, and not after
    /// `upstream::open` has returned.
    std::function<last_look()> check_before_send;
    /// If set, called at most once, when the engine is known to have ended a request that it began;
    /// see `http::relay_options::on_ended`. May be called after the answer was destroyed.
    std::function<void()> on_ended;
};

/// What the head of an answer states about the rate of requests that its engine accepts.
struct stated_limit {
    /// Requests per second from all routers together, at least 0; nothing if there is no limit.
    std::optional<double> per_second;

    friend bool operator==(const stated_limit&, const stated_limit&) = default;
};

/// What the head of an answer states about the rejections that the engines of a pool bear: one that
/// rejects more requests in a second for lack of room crashes.
struct stated_rejection_limit {
    /// Rejections per second and engine, of requests of all routers; nothing if there is no limit.
    std::optional<std::uint32_t> per_second;

    friend bool operator==(const stated_rejection_limit&, const stated_rejection_limit&) = default;
};

/// What an engine process states about itself in the head of an answer.
struct engine_statement {
    bool leaving = false;  ///< It is shutting down and is to get no new requests.
    /// How long it wants no requests of this router, from now on.
    std::optional<base::duration> backoff;

    friend bool operator==(const engine_statement&, const engine_statement&) = default;
};

/// An engine's answer whose head has been received.
struct opened_answer {
    unsigned status = 0;
    http::header_list headers;  ///< End-to-end headers only.
    bool is_event_stream = false;
    /// Whether callers take the status for a promise that the request did not run and never will.
    /// The engine has not given that promise; otherwise the answer would be a `dispatch_failure`.
    bool status_promises_not_run = false;
    std::optional<std::uint64_t> version;  ///< Weights version the engine reported.
    std::optional<stated_limit> limit;     ///< Nothing if the head states an invalid limit.
    /// Nothing if the head states an invalid limit.
    std::optional<stated_rejection_limit> rejection_limit;
    std::optional<base::router_name> via;  ///< The router that passed the request on, if any.
    std::uint32_t answers_skipped = 0;     ///< Answers to other requests that preceded it.
    std::unique_ptr<http::byte_stream> body;
};

/// Why a dispatch produced no usable answer.
struct dispatch_failure {
    core::execution::failure_kind kind{};
    core::execution::failure_proof proof = core::execution::failure_proof::unknown;
    std::optional<base::duration> retry_after;
    std::optional<std::uint64_t> version;  ///< Weights version the engine reported.
    /// Nothing if the engine sent no answer, or one with an invalid limit.
    std::optional<stated_limit> limit;
    /// The same for the limit on rejections.
    std::optional<stated_rejection_limit> rejection_limit;
    std::string message;
    /// The engine answered, with something else than an answer to the request.
    bool answer_invalid = false;
    /// Where the engine's refusal was received; nothing if it sent none.
    std::optional<http::answer_attribution> attribution;
    std::optional<dispatch_precondition> lost;       ///< Why it was not sent, if so.
    std::optional<dispatch_precondition> withdrawn;  ///< Why it was cancelled while waiting, if so.
    std::optional<base::router_name> via;  ///< The router that passed the request on, if any.
    /// Whether this router reached no engine, so that the failure says nothing about the engine.
    bool own_path = false;
};

/// @return the failure of a dispatch that was not sent because `precondition` no longer held.
/// Thread-safe.
dispatch_failure withheld_for(dispatch_precondition precondition);

/// What happens to the requests in progress at an engine that loads new weights.
enum class running_requests_policy {
    drain_first,  ///< The engine drains them before loading and accepts no new ones meanwhile.
    pause_and_continue  ///< They are paused and continue under the new weights.
};

/// A fenced order for an engine to load a weights version.
struct weights_order {
    std::string model;
    std::uint64_t version = 0;
    std::uint64_t expected_orders = 0;  ///< The engine refuses if it has accepted others.
    running_requests_policy running = running_requests_policy::drain_first;
    std::string holder;  ///< Name of the router that holds the rollout lease.
    base::fencing_token token;

    friend bool operator==(const weights_order&, const weights_order&) = default;
};

}  // namespace ferryroad::relay
