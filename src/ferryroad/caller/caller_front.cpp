#include "ferryroad/caller/caller_front.hpp"

#include "ferryroad/caller/refusal_answer.hpp"
#include "ferryroad/runtime/log.hpp"

#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/leaf/handle_errors.hpp>

#include <array>
#include <cstdio>
#include <exception>
#include <optional>
#include <utility>
#include <variant>

namespace ferryroad::caller {

namespace leaf = boost::leaf;

namespace {

constexpr const char* component = "caller";
constexpr unsigned ok_status = 200;
constexpr unsigned unavailable_status = 503;
constexpr std::string_view complete_outcome = "complete";
constexpr std::string_view rejected_outcome = "rejected";

template <typename T>
using parsed = std::variant<T, error>;

/// Runs a synchronous step and converts its LEAF errors into `caller::error`.
template <typename Step>
auto parse(Step step) -> parsed<std::decay_t<decltype(*step())>> {
    using value = std::decay_t<decltype(*step())>;
    return leaf::try_handle_all(
        [&]() -> leaf::result<parsed<value>> {
            BOOST_LEAF_AUTO(read, step());
            return parsed<value>(std::move(read));
        },
        [](const error& failure) { return parsed<value>(failure); },
        [] {
            return parsed<value>(error{error_code::malformed_body, "Unreadable request."});
        });
}

std::optional<generation_api> api_of(std::string_view path) {
    if (path == "/v1/completions") {
        return generation_api::completions;
    }
    if (path == "/v1/chat/completions") {
        return generation_api::chat;
    }
    return std::nullopt;
}

std::string_view to_string(generation_api api) {
    return api == generation_api::chat ? "chat" : "completions";
}

http::response text_answer(unsigned status, std::string text) {
    http::response answer;
    answer.status = status;
    answer.headers.add("Content-Type", "text/plain; version=0.0.4; charset=utf-8");
    answer.body = std::move(text);
    return answer;
}

http::header_list stream_headers(const base::request_id& request) {
    return {{"Content-Type", "text/event-stream"},
            {"Cache-Control", "no-cache"},
            {request_id_header, request.value}};
}

http::response complete_answer(const base::request_id& request, unsigned status,
                               std::string content_type, std::string body) {
    http::response answer;
    answer.status = status;
    if (!content_type.empty()) {
        answer.headers.add("Content-Type", std::move(content_type));
    }
    answer.headers.add(request_id_header, request.value);
    constexpr auto execution = core::execution::execution_report::complete;
    answer.headers.add(execution_header, std::string(core::execution::to_string(execution)));
    answer.body = std::move(body);
    return answer;
}

/// Logs an exception instead of passing it on: when one operand of awaitable `||` throws, the
/// group keeps waiting for the other operand.
runtime::task<void> log_exceptions(runtime::task<void> work) {
    try {
        co_await std::move(work);
    } catch (...) {
        runtime::log_exception(component, std::current_exception());
    }
}

}  // namespace

struct caller_front::request_context {
    request_context(caller_front& owner, http::request received, http::response_writer& out)
        : front(owner),
          message(std::move(received)),
          writer(out),
          id(owner.next_request_id()),
          arrived(owner.scheduler_.now()) {
        front.metrics_.request_began();
    }
    ~request_context() {
        const auto taken = front.scheduler_.now() - arrived;
        front.metrics_.request_ended(api, outcome, taken);
        runtime::log(runtime::log_level::info, component, "request ended",
                     {{"request_id", id.value},
                      {"api", std::string(api)},
                      {"outcome", std::string(outcome)},
                      {"milliseconds", std::to_string(base::to_milliseconds(taken))}});
    }
    request_context(const request_context&) = delete;
    request_context& operator=(const request_context&) = delete;

    caller_front& front;
    http::request message;
    http::response_writer& writer;
    base::request_id id;
    base::monotonic_time arrived;
    std::string_view api = "application";
    std::string_view outcome = "abandoned";  ///< Remains when no answer is sent.
};

caller_front::caller_front(runtime::scheduler& scheduler, router::request_service& requests,
                           runtime::metrics& registry, std::function<bool()> ready, tunables limits)
    : scheduler_(scheduler),
      requests_(requests),
      registry_(registry),
      metrics_(registry),
      ready_(std::move(ready)),
      limits_(limits) {}

runtime::task<void> caller_front::handle(http::request request, http::response_writer& writer) {
    const std::string path(request.path());
    if (path == "/healthz" || path == "/readyz" || path == "/metrics") {
        co_await answer_probe(path, writer);
        co_return;
    }
    request_context context(*this, std::move(request), writer);
    const auto api = api_of(path);
    if (api) {
        co_await answer_generation(context, *api);
    } else {
        co_await answer_application(context);
    }
}

void caller_front::complete_refusal(http::response& answer) {
    const base::request_id id = next_request_id();
    mark_not_run(id, answer);
    metrics_.count_unreadable_request();
    runtime::log(runtime::log_level::info, component, "unreadable request refused",
                 {{"request_id", id.value}, {"status", std::to_string(answer.status)}});
}

runtime::task<void> caller_front::answer_probe(std::string_view path,
                                               http::response_writer& writer) {
    http::response answer = text_answer(ok_status, "ok\n");
    if (path == "/metrics") {
        answer = text_answer(ok_status, registry_.to_text());
    } else if (path == "/readyz" && !ready_()) {
        answer = text_answer(unavailable_status, "not ready\n");
    }
    co_await writer.send(std::move(answer));
}

runtime::task<void> caller_front::answer_generation(request_context& context, generation_api api) {
    context.api = to_string(api);
    if (context.message.method != "POST") {
        error failure{error_code::method_not_allowed, "Expected POST."};
        co_await reject(context, std::move(failure));
        co_return;
    }
    auto headers = parse([&] { return read_caller_headers(context.message.headers, limits_); });
    if (auto* failure = std::get_if<error>(&headers)) {
        co_await reject(context, std::move(*failure));
        co_return;
    }
    auto body = parse([&] { return read_generation_body(api, context.message.body, limits_); });
    if (auto* failure = std::get_if<error>(&body)) {
        co_await reject(context, std::move(*failure));
        co_return;
    }
    auto& caller_fields = std::get<caller_headers>(headers);
    auto& generation_fields = std::get<generation_body>(body);
    const generation_answer answer(api, context.id, generation_fields.model,
                                   scheduler_.unix_milliseconds() / 1000);
    router::generation_call call{context.id,
                                 std::move(caller_fields.bearer_key),
                                 std::string(context.message.path()),
                                 std::move(generation_fields.model),
                                 std::move(generation_fields.adapter),
                                 std::move(generation_fields.prompt),
                                 generation_fields.max_tokens,
                                 std::move(caller_fields.key)};
    auto work = generation_fields.stream ? generate_stream(context, std::move(call), answer)
                                         : generate_whole(context, std::move(call), answer);
    co_await run_until_caller_closes(context, std::move(work));
}

runtime::task<void> caller_front::generate_whole(request_context& context,
                                                 router::generation_call call,
                                                 const generation_answer& answer) {
    collecting_sink sink(scheduler_);
    const auto summary = co_await requests_.generate(std::move(call), sink);
    if (summary.has_error()) {
        co_await refuse(context, summary.error());
        co_return;
    }
    count_generation(context, sink, *summary);
    http::response whole = complete_answer(context.id, ok_status, "application/json",
                                           answer.whole(sink.text(), *summary));
    co_await context.writer.send(std::move(whole));
}

runtime::task<void> caller_front::generate_stream(request_context& context,
                                                  router::generation_call call,
                                                  const generation_answer& answer) {
    streaming_sink sink(scheduler_, answer, context.writer, stream_headers(context.id));
    const auto summary = co_await requests_.generate(std::move(call), sink);
    if (sink.caller_gone()) {
        co_return;
    }
    if (summary.has_error() && sink.headers_sent()) {
        context.outcome = to_string(summary.error().code);
        co_await sink.fail(summary.error());
        co_return;
    }
    if (summary.has_error()) {
        co_await refuse(context, summary.error());
        co_return;
    }
    count_generation(context, sink, *summary);
    co_await sink.finish(*summary);
}

runtime::task<void> caller_front::answer_application(request_context& context) {
    auto headers = parse([&] { return read_caller_headers(context.message.headers, limits_); });
    if (auto* failure = std::get_if<error>(&headers)) {
        co_await reject(context, std::move(*failure));
        co_return;
    }
    auto& caller_fields = std::get<caller_headers>(headers);
    const auto content_type = context.message.headers.find("Content-Type");
    router::application_call call{context.id,
                                  std::move(caller_fields.bearer_key),
                                  context.message.method,
                                  context.message.target,
                                  std::string(content_type.value_or("")),
                                  std::exchange(context.message.body, {}).to_string(),
                                  std::move(caller_fields.key)};
    auto work = call_application(context, std::move(call));
    co_await run_until_caller_closes(context, std::move(work));
}

runtime::task<void> caller_front::call_application(request_context& context,
                                                   router::application_call call) {
    auto reply = co_await requests_.call_application(std::move(call));
    if (reply.has_error()) {
        co_await refuse(context, reply.error());
        co_return;
    }
    context.outcome = complete_outcome;
    http::response whole = complete_answer(context.id, reply->status,
                                           std::move(reply->content_type), std::move(reply->body));
    co_await context.writer.send(std::move(whole));
}

runtime::task<void> caller_front::run_until_caller_closes(request_context& context,
                                                          runtime::task<void> work) {
    using boost::asio::experimental::awaitable_operators::operator||;
    co_await (log_exceptions(std::move(work)) || log_exceptions(context.writer.wait_closed()));
}

runtime::task<void> caller_front::refuse(request_context& context, router::refusal refused) {
    context.outcome = to_string(refused.code);
    http::response answer = refusal_answer(context.id, refused);
    co_await context.writer.send(std::move(answer));
}

runtime::task<void> caller_front::reject(request_context& context, error failure) {
    context.outcome = rejected_outcome;
    http::response answer = error_answer(context.id, failure);
    co_await context.writer.send(std::move(answer));
}

void caller_front::count_generation(request_context& context, const timed_sink& sink,
                                    const router::generation_summary& summary) {
    context.outcome = complete_outcome;
    metrics_.tokens(summary.tokens);
    metrics_.prompt_tokens(summary.prompt_tokens, summary.cached_tokens);
    if (sink.first_token_at()) {
        metrics_.first_token(*sink.first_token_at() - context.arrived);
    }
}

base::request_id caller_front::next_request_id() {
    std::array<char, 40> text{};
    const auto high = static_cast<unsigned long long>(scheduler_.random().next());
    const auto low = static_cast<unsigned long long>(scheduler_.random().next());
    std::snprintf(text.data(), text.size(), "req-%016llx%016llx", high, low);
    return base::request_id(text.data());
}

}  // namespace ferryroad::caller
