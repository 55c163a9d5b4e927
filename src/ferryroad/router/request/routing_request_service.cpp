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

/// Names the content that a key belongs to; parts are framed by their lengths.
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

/// A claim guards requests that may not be repeated, where the caller named them by a key.
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

/// Gives a recorded answer to whoever repeats the key.
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
                                                 const request_collaborators& with,
                                                 request_tunables limits)
    : configuration_(configuration), admission_(admission), with_(with), limits_(limits) {}

runtime::task<runtime::result<generation_summary, refusal>> routing_request_service::generate(
    generation_call call, token_sink& sink) {
    const auto arrived = with_.scheduler.now();
    auto resolved = resolve(call);
    if (resolved.has_error()) {
        co_return resolved.error();
    }
    driver_start start = start_of(call.request, *resolved, arrived);
    const selection_query scope = query_of(call, start.resolved);
    start.query.scope = scope.scope;
    start.query.pieces = scope.pieces;
    start.query.prompt_tokens = scope.prompt_tokens;
    start.query.piece_tokens = scope.piece_tokens;
    start.claim = claim_of(call, start.resolved);
    start.rules.claimed = start.claim.has_value();
    start.rules.streamed = true;
    admission_query admitted = admission_query_of(start);
    std::shared_ptr<token_relay> relay;
    if (start.claim) {
        relay = std::make_shared<token_relay>(with_.scheduler.executor(),
                                              std::size_t{start.resolved.max_tokens} + 1);
    }
    token_sink& driven = relay ? static_cast<token_sink&>(*relay) : sink;
    auto driver =
        std::make_shared<generation_driver>(with_, std::move(start), call.prompt, call.key, driven);
    std::optional<refusal> refused;
    if (relay) {
        refused = co_await serve_claimed(driver, std::move(admitted), relay, &sink);
    } else {
        refused = co_await serve(*driver, std::move(admitted));
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
    const auto arrived = with_.scheduler.now();
    auto resolved = resolve(call);
    if (resolved.has_error()) {
        co_return resolved.error();
    }
    driver_start start = start_of(call.request, *resolved, arrived);
    start.claim = claim_of(call, start.resolved);
    start.rules.claimed = start.claim.has_value();
    start.rules.streamed = false;
    admission_query admitted = admission_query_of(start);
    const bool claimed = start.claim.has_value();
    auto driver = std::make_shared<application_driver>(with_, std::move(start), std::move(call));
    std::optional<refusal> refused;
    if (claimed) {
        refused = co_await serve_claimed(driver, std::move(admitted), nullptr, nullptr);
    } else {
        refused = co_await serve(*driver, std::move(admitted));
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
        co_await with_.scheduler.sleep_for(limits_.drain_poll);
    }
}

template <typename Call>
runtime::result<resolved_call, refusal> routing_request_service::resolve(const Call& call) {
    if (!configuration_.confirmed()) {
        return refusal{refusal_code::not_ready, "This router can't confirm its configuration.",
                       execution::execution_report::not_run, limits_.not_ready_retry};
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

driver_start routing_request_service::start_of(const base::request_id& request,
                                               resolved_call resolved,
                                               base::monotonic_time arrived) {
    driver_start start;
    start.request = request;
    start.arrived = arrived;
    start.query.request = request;
    start.query.pool = resolved.pool->name;
    start.query.recompute_price = resolved.route->recompute_price;
    start.rules.repeatable = resolved.route->repeatable;
    start.rules.deadline = arrived + resolved.route->deadline;
    start.budget = budget_of(resolved);
    start.limits = limits_;
    start.background = background_;
    start.resolved = std::move(resolved);
    return start;
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

admission_query routing_request_service::admission_query_of(const driver_start& start) const {
    const resolved_call& resolved = start.resolved;
    admission_query query;
    query.request = start.request;
    query.tenant = resolved.tenant->name;
    query.limits = resolved.tenant->limits;
    query.weight = resolved.tenant->weight;
    query.route = resolved.route->name;
    query.pool = resolved.pool->name;
    query.priority = resolved.route->priority;
    query.prompt_tokens = resolved.prompt_tokens;
    query.max_tokens = resolved.max_tokens;
    query.deadline = start.rules.deadline;
    return query;
}

runtime::task<std::optional<refusal>> routing_request_service::serve(execution_driver& driver,
                                                                     admission_query query) {
    using boost::asio::experimental::awaitable_operators::operator||;
    const auto deadline = query.deadline;
    auto served = co_await (admit_and_drive(driver, std::move(query)) ||
                            with_.scheduler.sleep_until(deadline));
    if (served.index() == 0 && std::get<0>(served)) {
        co_return std::get<0>(served);
    }
    driver.interrupt();
    record_end(driver);
    // The drive keeps the cancellation's exception in; the caller's coroutine still ends by it.
    const auto cancellation = co_await boost::asio::this_coro::cancellation_state;
    if (cancellation.cancelled() != boost::asio::cancellation_type::none) {
        throw boost::system::system_error(boost::asio::error::operation_aborted);
    }
    co_return driver.refused();
}

void routing_request_service::record_end(const execution_driver& driver) {
    const ended_request ended = driver.figures();
    runtime::log(runtime::log_level::info, "router.request", "execution ended",
                 {{"request_id", ended.request.value},
                  {"router", with_.self.value},
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
    auto ended = std::make_shared<ending>(with_.scheduler.executor(), std::size_t{1});
    with_.scheduler.spawn("router.request", run_to_end(std::move(driver), std::move(query), relay,
                                                       ended, background_.begin()));
    if (relay) {
        co_await relay->pass_on(*sink);
    }
    auto refused = co_await ended->async_receive(boost::asio::use_awaitable);
    co_return refused;
}

runtime::task<void> routing_request_service::run_to_end(std::shared_ptr<execution_driver> driver,
                                                        admission_query query,
                                                        std::shared_ptr<token_relay> relay,
                                                        std::shared_ptr<ending> ended,
                                                        background_work::token /*counted*/) {
    auto refused = co_await serve(*driver, std::move(query));
    if (relay) {
        relay->close();
    }
    ended->try_send(boost::system::error_code(), std::move(refused));
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
