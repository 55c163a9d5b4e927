/// @file
/// The callers' side: OpenAI-style generation, application routes, health and metrics.
#pragma once

#include "ferryroad/caller/caller_headers.hpp"
#include "ferryroad/caller/caller_metrics.hpp"
#include "ferryroad/caller/errors.hpp"
#include "ferryroad/caller/generation_body.hpp"
#include "ferryroad/caller/generation_sinks.hpp"
#include "ferryroad/caller/tunables.hpp"
#include "ferryroad/http/server.hpp"
#include "ferryroad/router/request_types.hpp"
#include "ferryroad/runtime/metrics.hpp"
#include "ferryroad/runtime/scheduler.hpp"

#include <functional>
#include <string_view>

namespace ferryroad::caller {

/// Answers callers' HTTP requests by the request service. All collaborators outlive it. Give
/// `handle` to an `http::server`.
class caller_front {
  public:
    /// @param ready whether the router takes new requests, for `/readyz`.
    caller_front(runtime::scheduler& scheduler, router::request_service& requests,
                 runtime::metrics& registry, std::function<bool()> ready, tunables limits = {});

    /// Answers one request. A caller that closes its connection ends the request.
    runtime::task<void> handle(http::request request, http::response_writer& writer);

    /// Makes an answer that the HTTP server gives by itself say what every answer says: a
    /// request id and that nothing ran. Give it to `http::server::complete_refusals`.
    void complete_refusal(http::response& answer);

  private:
    /// One caller's request on its way through the front.
    struct exchange;

    runtime::task<void> answer_probe(std::string_view path, http::response_writer& writer);
    runtime::task<void> answer_generation(exchange& at, generation_api api);
    runtime::task<void> generate_whole(exchange& at, router::generation_call call,
                                       const generation_answer& answer);
    runtime::task<void> generate_stream(exchange& at, router::generation_call call,
                                        const generation_answer& answer);
    runtime::task<void> answer_application(exchange& at);
    runtime::task<void> call_application(exchange& at, router::application_call call);
    /// Runs `work`; a caller gone meanwhile cancels it.
    runtime::task<void> while_caller_waits(exchange& at, runtime::task<void> work);
    runtime::task<void> refuse(exchange& at, router::refusal refused);
    runtime::task<void> turn_away(exchange& at, error failure);
    void count_generation(exchange& at, const timed_sink& sink,
                          const router::generation_summary& summary);
    base::request_id next_request_id();

    runtime::scheduler& scheduler_;
    router::request_service& requests_;
    runtime::metrics& registry_;
    caller_metrics counted_;
    std::function<bool()> ready_;
    tunables limits_;
};

}  // namespace ferryroad::caller
