#include "ferryroad/router/request/routing_request_service.hpp"

#include "ferryroad/base/digest.hpp"
#include "ferryroad/core/prefix/pieces.hpp"
#include "ferryroad/router/request/application_driver.hpp"
#include "ferryroad/router/request/generation_driver.hpp"
#include "ferryroad/router/request/recorded_generation.hpp"
#include "ferryroad/runtime/log.hpp"

#include <boost/asio/error.hpp>
#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/leaf/handle_errors.hpp>
#include <boost/system/system_error.hpp>

#include <utility>

namespace ferryroad::router {

namespace execution = core::execution;
namespace leaf = boost::leaf;

namespace {

refusal unrecorded_answer() {
    return {refusal_code::key_in_use, "The request is complete; its answer was too long to keep.",
            execution::execution_report::complete, std::nullopt};
}

refusal unknown_outcome() {
    return {refusal_code::outcome_unknown, "An earlier request with this key may have run.",
            execution::execution_report::unknown, std::nullopt};
}

/// Digest of the content that an idempotency key belongs to. Each part is prefixed with its
/// length, so that different splits of the same bytes have different digests.
class content_digest {
  public:
    content_digest& add(std::string_view part) {
        framed_ += std::to_string(part.size());
        framed_ += ':';
        framed_ += part;
        return *this;
    }
    std::string hex() const { return base::sha256_hex(framed_); }

  private:
    std::string framed_;
};

std::string digest_of(const generation_call& call) {
    content_digest digest;
    digest.add(call.path).add(call.model.value).add(call.adapter.value).add(*call.prompt);
    digest.add(call.max_tokens ? std::to_string(*call.max_tokens) : std::string());
    return digest.hex();
}

std::string digest_of(const application_call& call) {
    content_digest digest;
    return digest.add(call.method).add(call.path).add(call.content_type).add(call.body).hex();
}

/// @return a claim if the request must not be repeated and has an idempotency key.
template <typename Call>
std::optional<claim_request> claim_of(const Call& call, const resolved_call& resolved) {
    if (resolved.route->repeatable || !call.key) {
        return std::nullopt;
    }
    claim_request claim;
    claim.tenant = resolved.tenant->name;
    claim.route = resolved.route->name;
    claim.key = *call.key;
    claim.content_sha256 = digest_of(call);
    return claim;
}

selection_query query_of(const generation_call& call, const resolved_call& resolved) {
    const catalog::model& model = *resolved.model;
    selection_query query;
    query.scope = {resolved.tenant->name, model.name, model.version, call.adapter};
    query.pieces = core::prefix::hash_pieces(query.scope, *call.prompt, model.piece_bytes);
    query.prompt_tokens = resolved.prompt_tokens;
    query.piece_tokens =
        static_cast<std::uint32_t>(model.piece_bytes / core::prefix::bytes_per_token);
    return query;
}

/// Sends a recorded answer to a caller that repeats the key.
runtime::task<runtime::result<generation_summary, refusal>> replay(recorded_outcome outcome,
                                                                   token_sink& sink) {
    if (outcome.execution != execution::execution_report::complete) {
        co_return unknown_outcome();
    }
    const auto recorded = read_recorded_generation(outcome);
    if (!recorded) {
        co_return unrecorded_answer();
    }
    std::uint32_t index = 0;
    for (const std::string& text : recorded->tokens) {
        engine::stream_token token{index++, text};
        const bool accepted = co_await sink.accept(std::move(token));
        if (!accepted) {
            break;
        }
    }
    co_return recorded->summary;
}

runtime::result<application_reply, refusal> replay(const recorded_outcome& outcome) {
    if (outcome.execution != execution::execution_report::complete) {
        return unknown_outcome();
    }
    if (outcome.status == 0) {
        return unrecorded_answer();
    }
    return application_reply{outcome.status, outcome.content_type, outcome.body};
}

}  // namespace

routing_request_service::routing_request_service(const configuration_view& configuration,
                                                 admission_control& admission,
                                                 const request_collaborators& collaborators,
                                                 request_tunables limits)
    : configuration_(configuration),
      admission_(admission),
      collaborators_(collaborators),
      limits_(limits) {}

runtime::task<runtime::result<generation_summary, refusal>> routing_request_service::generate(
    generation_call call, token_sink& sink) {
    const auto arrived = collaborators_.scheduler.now();
    auto resolved = resolve(call);
    if (resolved.has_error()) {
        co_return resolved.error();
    }
    request_context context = make_context(call.request, *resolved, arrived);
    const selection_query model_query = query_of(call, context.resolved);
    context.query.scope = model_query.scope;
    context.query.pieces = model_query.pieces;
    context.query.prompt_tokens = model_query.prompt_tokens;
    context.query.piece_tokens = model_query.piece_tokens;
    context.claim = claim_of(call, context.resolved);
    context.rules.claimed = context.claim.has_value();
    context.rules.streamed = true;
    admission_query admission_request = admission_query_of(context);
    std::shared_ptr<token_relay> relay;
    if (context.claim) {
        relay = std::make_shared<token_relay>(collaborators_.scheduler.executor(),
                                              std::size_t{context.resolved.max_tokens} + 1);
    }
    token_sink& driver_sink = relay ? static_cast<token_sink&>(*relay) : sink;
    auto driver = std::make_shared<generation_driver>(collaborators_, std::move(context),
                                                      call.prompt, call.key, driver_sink);
    std::optional<refusal> refused;
    if (relay) {
        refused = co_await serve_claimed(driver, std::move(admission_request), relay, &sink);
    } else {
        refused = co_await serve(*driver, std::move(admission_request));
    }
    if (refused) {
        co_return *refused;
    }
    if (driver->replayed()) {
        auto replayed = co_await replay(*driver->replayed(), sink);
        co_return replayed;
    }
    co_return driver->summary();
}

runtime::task<runtime::result<application_reply, refusal>>
routing_request_service::call_application(application_call call) {
    const auto arrived = collaborators_.scheduler.now();
    auto resolved = resolve(call);
    if (resolved.has_error()) {
        co_return resolved.error();
    }
    request_context context = make_context(call.request, *resolved, arrived);
    context.claim = claim_of(call, context.resolved);
    context.rules.claimed = context.claim.has_value();
    context.rules.streamed = false;
    admission_query admission_request = admission_query_of(context);
    const bool claimed = context.claim.has_value();
    auto driver =
        std::make_shared<application_driver>(collaborators_, std::move(context), std::move(call));
    std::optional<refusal> refused;
    if (claimed) {
        refused = co_await serve_claimed(driver, std::move(admission_request), nullptr, nullptr);
    } else {
        refused = co_await serve(*driver, std::move(admission_request));
    }
    if (refused) {
        co_return *refused;
    }
    if (driver->replayed()) {
        co_return replay(*driver->replayed());
    }
    co_return driver->reply();
}

runtime::task<void> routing_request_service::drain() {
    while (background_.count() > 0) {
        co_await collaborators_.scheduler.sleep_for(limits_.drain_poll_interval);
    }
}

template <typename Call>
runtime::result<resolved_call, refusal> routing_request_service::resolve(const Call& call) {
    if (!configuration_.confirmed()) {
        return refusal{refusal_code::not_ready, "This router can't confirm its configuration.",
                       execution::execution_report::not_run, limits_.not_ready_retry_after};
    }
    return leaf::try_handle_all(
        [&]() -> leaf::result<runtime::result<resolved_call, refusal>> {
            BOOST_LEAF_AUTO(resolved, resolver_.resolve(configuration_.current(), call));
            return runtime::result<resolved_call, refusal>(std::move(resolved));
        },
        [](const refusal& refused) { return runtime::result<resolved_call, refusal>(refused); },
        [] {
            return runtime::result<resolved_call, refusal>(
                refusal{refusal_code::invalid_request, "The request can't be resolved.",
                        execution::execution_report::not_run, std::nullopt});
        });
}

request_context routing_request_service::make_context(const base::request_id& request,
                                                      resolved_call resolved,
                                                      base::monotonic_time arrived) {
    request_context context;
    context.request = request;
    context.arrived = arrived;
    context.query.request = request;
    context.query.pool = resolved.pool->name;
    context.query.recompute_price = resolved.route->recompute_price;
    context.rules.repeatable = resolved.route->repeatable;
    context.rules.deadline = arrived + resolved.route->deadline;
    context.budget = budget_of(resolved);
    context.limits = limits_;
    context.background = background_;
    context.resolved = std::move(resolved);
    return context;
}

std::shared_ptr<core::admission::retry_budget> routing_request_service::budget_of(
    const resolved_call& resolved) {
    auto& budget = budgets_[{resolved.route->name, resolved.tenant->name}];
    if (!budget) {
        budget = std::make_shared<core::admission::retry_budget>(resolved.route->retry_share);
    }
    budget->change_share(resolved.route->retry_share);
    return budget;
}

admission_query routing_request_service::admission_query_of(const request_context& context) const {
    const resolved_call& resolved = context.resolved;
    admission_query query;
    query.request = context.request;
    query.tenant = resolved.tenant->name;
    query.limits = resolved.tenant->limits;
    query.weight = resolved.tenant->weight;
    query.route = resolved.route->name;
    query.pool = resolved.pool->name;
    query.priority = resolved.route->priority;
    query.prompt_tokens = resolved.prompt_tokens;
    query.max_tokens = resolved.max_tokens;
    query.deadline = context.rules.deadline;
    return query;
}

runtime::task<std::optional<refusal>> routing_request_service::serve(execution_driver& driver,
                                                                     admission_query query) {
    using boost::asio::experimental::awaitable_operators::operator||;
    const auto deadline = query.deadline;
    auto served = co_await (admit_and_drive(driver, std::move(query)) ||
                            collaborators_.scheduler.sleep_until(deadline));
    if (served.index() == 0 && std::get<0>(served)) {
        co_return std::get<0>(served);
    }
    driver.interrupt();
    record_end(driver);
    // `drive` doesn't propagate the exception of a cancellation, so it is thrown again here to end
    // the caller's coroutine.
    const auto cancellation = co_await boost::asio::this_coro::cancellation_state;
    if (cancellation.cancelled() != boost::asio::cancellation_type::none) {
        throw boost::system::system_error(boost::asio::error::operation_aborted);
    }
    co_return driver.refused();
}

void routing_request_service::record_end(const execution_driver& driver) {
    const ended_request ended = driver.statistics();
    runtime::log(runtime::log_level::info, "router.request", "execution ended",
                 {{"request_id", ended.request.value},
                  {"router", collaborators_.self.value},
                  {"tenant", ended.tenant.value},
                  {"route", ended.route.value},
                  {"execution", std::string(to_string(ended.execution))},
                  {"attempts", std::to_string(ended.attempts)},
                  {"milliseconds", std::to_string(base::to_milliseconds(ended.taken))}});
    if (observer_) {
        observer_->request_ended(ended);
    }
}

runtime::task<std::optional<refusal>> routing_request_service::serve_claimed(
    std::shared_ptr<execution_driver> driver, admission_query query,
    std::shared_ptr<token_relay> relay, token_sink* sink) {
    auto completion =
        std::make_shared<completion_channel>(collaborators_.scheduler.executor(), std::size_t{1});
    collaborators_.scheduler.spawn(
        "router.request",
        run_to_end(std::move(driver), std::move(query), relay, completion, background_.begin()));
    if (relay) {
        co_await relay->forward_to(*sink);
    }
    auto refused = co_await completion->async_receive(boost::asio::use_awaitable);
    co_return refused;
}

runtime::task<void> routing_request_service::run_to_end(
    std::shared_ptr<execution_driver> driver, admission_query query,
    std::shared_ptr<token_relay> relay, std::shared_ptr<completion_channel> completion,
    background_work::token /*counted*/) {
    auto refused = co_await serve(*driver, std::move(query));
    if (relay) {
        relay->close();
    }
    completion->try_send(boost::system::error_code(), std::move(refused));
}

runtime::task<std::optional<refusal>> routing_request_service::admit_and_drive(
    execution_driver& driver, admission_query query) {
    auto admitted = co_await admission_.admit(std::move(query));
    if (admitted.has_error()) {
        co_return admitted.error();
    }
    co_await driver.drive();
    co_return std::nullopt;
}

}  // namespace ferryroad::router
