#include "ferryroad/relay/forwarding_server.hpp"

#include "ferryroad/runtime/log.hpp"

#include <boost/asio/experimental/awaitable_operators.hpp>

#include <string>
#include <utility>

namespace ferryroad::relay {

namespace {

constexpr std::string_view component = "relay.forwarding";
constexpr unsigned status_no_content = 204;
constexpr unsigned status_not_modified = 304;
constexpr unsigned status_bad_request = 400;
constexpr unsigned first_error_status = 400;

std::optional<http::header> echoed_of(const http::request& message,
                                      const forward_parameters& parameters) {
    const auto value = message.headers.find(parameters.echoed_header);
    return value ? std::optional(http::header{parameters.echoed_header, std::string(*value)})
                 : std::nullopt;
}

/// Counts a request for its lifetime.
class request_count {
  public:
    explicit request_count(std::size_t& count) : m_count(count) { ++m_count; }
    ~request_count() { --m_count; }
    request_count(const request_count&) = delete;
    request_count& operator=(const request_count&) = delete;

  private:
    std::size_t& m_count;
};

}  // namespace

runtime::task<void> forwarding_server::handle(http::request message,
                                              http::response_writer& writer) {
    using boost::asio::experimental::awaitable_operators::operator||;
    auto parameters = take_forward_parameters(message);
    if (!parameters) {
        ++m_counters.refused;
        runtime::log(runtime::log_level::warning, component, "malformed request refused", {});
        http::response refusal;
        refusal.status = status_bad_request;
        co_await writer.send(std::move(refusal));
        co_return;
    }
    const request_count count(m_in_progress);
    co_await (forward(std::move(message), std::move(*parameters), writer) || writer.wait_closed());
}

runtime::task<void> forwarding_server::forward(http::request message, forward_parameters parameters,
                                               http::response_writer& writer) {
    try {
        co_await pass_on(std::move(message), std::move(parameters), writer);
    } catch (...) {
        runtime::log_exception(component, std::current_exception());
    }
}

std::optional<forward_failure> forwarding_server::refusal_of(
    const forward_parameters& parameters) const {
    if (m_stopping) {
        return forward_failure::stopping;
    }
    if (m_in_progress > m_settings.max_in_progress) {
        return forward_failure::busy;
    }
    const auto target = target_of(parameters);
    if (!target) {
        return forward_failure::unknown_engine;
    }
    if (parameters.probe) {
        return std::nullopt;
    }
    if (m_transport.reaches_no_engine()) {
        return forward_failure::no_path;
    }
    return m_transport.reaches(*target) ? std::nullopt
                                        : std::optional(forward_failure::connect_failed);
}

std::optional<engine_target> forwarding_server::target_of(
    const forward_parameters& parameters) const {
    const auto found = m_registry.engines().find(parameters.engine);
    if (found == m_registry.engines().end() || found->second.is_leaving() ||
        found->second.is_backing_off(m_scheduler.now())) {
        return std::nullopt;
    }
    return engine_target{parameters.engine, found->second.listed.address};
}

runtime::task<void> forwarding_server::answer_probe(engine_target target,
                                                    http::response_writer& writer) {
    const auto failure = co_await m_transport.probe_for_other(std::move(target));
    http::response answer;
    answer.status = status_no_content;
    if (failure) {
        answer = forward_failure_answer(*failure, std::nullopt);
    }
    co_await writer.send(std::move(answer));
}

runtime::task<void> forwarding_server::pass_on(http::request message, forward_parameters parameters,
                                               http::response_writer& writer) {
    const std::optional<http::header> echoed = echoed_of(message, parameters);
    const std::string id = echoed ? echoed->value : "none";
    if (const auto refused = refusal_of(parameters)) {
        ++m_counters.refused;
        runtime::log(runtime::log_level::warning, component, "request of another router refused",
                     {{"request_id", id},
                      {"router", parameters.sender.value},
                      {"engine", parameters.engine.value},
                      {"reason", std::string(to_string(*refused))},
                      {"in_progress", std::to_string(m_in_progress)}});
        http::response refusal = forward_failure_answer(*refused, echoed);
        co_await writer.send(std::move(refusal));
        co_return;
    }
    engine_target target = *target_of(parameters);
    if (parameters.probe) {
        co_await answer_probe(std::move(target), writer);
        co_return;
    }
    ++m_counters.accepted;
    runtime::log(runtime::log_level::info, component, "request of another router passed on",
                 {{"request_id", id},
                  {"router", parameters.sender.value},
                  {"engine", parameters.engine.value},
                  {"in_progress", std::to_string(m_in_progress)}});
    const bool bodiless_method = message.method == "HEAD";
    http::relay_options options;
    options.limit = parameters.limit;
    options.echoed_header = echoed;
    options.fresh_connection = parameters.fresh_connection;
    auto opened = co_await m_transport.relay_directly(std::move(target), std::move(message),
                                                      std::move(options));
    if (!opened) {
        const forward_failure failed = forward_failure_of(opened.error());
        runtime::log(runtime::log_level::warning, component, "exchange for another router failed",
                     {{"request_id", id},
                      {"router", parameters.sender.value},
                      {"engine", parameters.engine.value},
                      {"reason", opened.error().message},
                      {"reported", std::string(to_string(failed))}});
        http::response failure = forward_failure_answer(failed, echoed);
        co_await writer.send(std::move(failure));
        co_return;
    }
    const unsigned status = (*opened)->status();
    if (status >= first_error_status) {
        const http::answer_attribution attribution = (*opened)->attribution();
        runtime::log(runtime::log_level::info, component, "engine's failure passed on",
                     {{"request_id", id},
                      {"router", parameters.sender.value},
                      {"engine", parameters.engine.value},
                      {"status", std::to_string(status)},
                      {"connection", attribution.reused_connection ? "kept" : "new"},
                      {"answers_skipped", std::to_string(attribution.skipped)}});
    }
    const bool bodiless =
        bodiless_method || status == status_no_content || status == status_not_modified;
    co_await send_answer(**opened, bodiless, writer);
}

runtime::task<void> forwarding_server::send_answer(http::byte_stream& answer, bool bodiless,
                                                   http::response_writer& writer) {
    http::header_list headers = without_forward_headers(answer.headers());
    if (bodiless) {
        http::response whole{answer.status(), std::move(headers), {}};
        co_await answer.next(m_settings.max_pause);
        co_await writer.send(std::move(whole));
        co_return;
    }
    auto written = co_await writer.begin_stream(answer.status(), std::move(headers));
    while (written) {
        auto bytes = co_await answer.next(m_settings.max_pause);
        if (!bytes) {
            writer.abort();  // A truncated answer must not look complete.
            co_return;
        }
        if (!*bytes) {
            co_await writer.end_stream();
            co_return;
        }
        std::string part = std::move(**bytes);
        written = co_await writer.write(std::move(part));
    }
}

}  // namespace ferryroad::relay
