/// @file
/// HTTP front end for callers: OpenAI-style generation, application routes, health and metrics.
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

/// Answers callers' HTTP requests by passing them to the request service. Every object passed by
/// reference to the constructor must outlive it. Pass `handle` to an `http::server` as its handler.
class caller_front {
  public:
    /// @param ready returns whether the router accepts new requests; `/readyz` reports it.
    caller_front(runtime::scheduler& scheduler, router::request_service& requests,
                 runtime::metrics& registry, std::function<bool()> ready, tunables limits = {});

    /// Answers one request. The request is cancelled when the caller closes its connection.
    runtime::task<void> handle(http::request request, http::response_writer& writer);

    /// Adds the headers that every answer carries to an error answer that the HTTP server
    /// produces itself: a request id, and the statement that nothing was executed. Pass it to
    /// `http::server::set_refusal_hook`.
    void complete_refusal(http::response& answer);

  private:
    /// The state of one request while it is being answered.
    struct request_context;

    runtime::task<void> answer_probe(std::string_view path, http::response_writer& writer);
    runtime::task<void> answer_generation(request_context& context, generation_api api);
    runtime::task<void> generate_whole(request_context& context, router::generation_call call,
                                       const generation_answer& answer);
    runtime::task<void> generate_stream(request_context& context, router::generation_call call,
                                        const generation_answer& answer);
    runtime::task<void> answer_application(request_context& context);
    runtime::task<void> call_application(request_context& context, router::application_call call);
    /// Runs `work`, and cancels it when the caller closes the connection.
    runtime::task<void> run_until_caller_closes(request_context& context, runtime::task<void> work);
    runtime::task<void> refuse(request_context& context, router::refusal refused);
    runtime::task<void> reject(request_context& context, error failure);
    void count_generation(request_context& context, const timed_sink& sink,
                          const router::generation_summary& summary);
    base::request_id next_request_id();

    runtime::scheduler& scheduler_;
    router::request_service& requests_;
    runtime::metrics& registry_;
    caller_metrics metrics_;
    std::function<bool()> ready_;
    tunables limits_;
};

}  // namespace ferryroad::caller
