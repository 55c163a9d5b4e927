#include "ferryroad/relay/engine_transport.hpp"

#include "ferryroad/runtime/log.hpp"

namespace ferryroad::relay {

namespace {

/// The answer body of an engine; records with each part that the engine was heard. The regular end
/// of a body that ends with its connection only counts if the engine has not crashed: the
/// operating system closes the connections of a crashed process in the same way.
class watched_body final : public http::byte_stream {
  public:
    /// @param request_id for the log.
    watched_body(std::unique_ptr<http::byte_stream> body, path_watcher& watch, engine_target engine,
                 std::string request_id)
        : m_body(std::move(body)),
          m_watch(watch),
          m_engine(std::move(engine)),
          m_request_id(std::move(request_id)) {}

    unsigned status() const override { return m_body->status(); }
    const http::header_list& headers() const override { return m_body->headers(); }
    http::answer_attribution attribution() const override { return m_body->attribution(); }
    bool ends_with_connection() const override { return m_body->ends_with_connection(); }
    runtime::task<http::result<std::optional<std::string>>> next(base::duration limit) override {
        auto bytes = co_await m_body->next(limit);
        if (bytes) {
            m_watch.heard(m_engine.name);
        }
        const bool end_of_connection = bytes && !*bytes && m_body->ends_with_connection();
        if (end_of_connection && co_await has_crashed()) {
            log_crash_at_end();
            co_return http::error{http::error_code::connection_lost,
                                  "connection closed by an engine that accepts no more"};
        }
        co_return std::move(bytes);
    }

  private:
    static constexpr std::string_view component = "relay.request";

    /// Opens a connection to the engine, unless it may have ended as planned. Takes up to the
    /// client's connect timeout.
    /// @return whether the engine refuses connections although it should run.
    runtime::task<bool> has_crashed() {
        if (m_watch.may_have_left(m_engine)) {
            co_return false;
        }
        engine_target target = m_engine;
        const http::connect_outcome outcome = co_await m_watch.probe(std::move(target));
        // The router may learn meanwhile that the engine leaves.
        co_return outcome == http::connect_outcome::refused && !m_watch.may_have_left(m_engine);
    }

    void log_crash_at_end() const {
        runtime::log(
            runtime::log_level::warning, component,
            "answer ended with its connection, and its engine refuses new ones; treated as broken",
            {{"request_id", m_request_id}, {"engine", m_engine.name.value}});
    }

    std::unique_ptr<http::byte_stream> m_body;
    path_watcher& m_watch;
    engine_target m_engine;
    std::string m_request_id;
};

/// The answer body of an engine as another router passes it on.
class forwarded_body final : public http::byte_stream {
  public:
    forwarded_body(std::unique_ptr<http::byte_stream> body, forwarding_routers& others,
                   base::router_name router)
        : m_body(std::move(body)), m_in_progress(others, std::move(router)) {}

    unsigned status() const override { return m_body->status(); }
    const http::header_list& headers() const override { return m_body->headers(); }
    http::answer_attribution attribution() const override { return m_body->attribution(); }
    bool ends_with_connection() const override { return m_body->ends_with_connection(); }
    runtime::task<http::result<std::optional<std::string>>> next(base::duration limit) override {
        return m_body->next(limit);
    }

  private:
    std::unique_ptr<http::byte_stream> m_body;
    forwarding_routers::request_in_progress m_in_progress;
};

std::string id_of(const http::relay_options& options) {
    return options.echoed_header ? options.echoed_header->value : "none";
}

}  // namespace

bool engine_transport::reaches(const engine_target& target) const {
    const core::reachability::engine_paths& paths = m_watch.paths();
    return !paths.is_lost(target.name) ||
           (!paths.all_lost() && m_direct.has_idle_connection(target.address));
}

runtime::task<engine_transport::stream_result> engine_transport::relay_directly(
    engine_target target, http::request message, http::relay_options options) {
    const base::monotonic_time began = m_scheduler.now();
    const path_watcher::waiting_exchange waiting(m_watch, target.name);
    std::string request_id = id_of(options);
    auto stream = co_await m_direct.relay(target.address, std::move(message), std::move(options));
    if (stream) {
        m_watch.heard(target.name);
        notify_answer(target, began, **stream);
        std::unique_ptr<http::byte_stream> body = std::make_unique<watched_body>(
            std::move(*stream), m_watch, std::move(target), std::move(request_id));
        co_return std::move(body);
    }
    if (stream.error().code == http::error_code::connect_failed) {
        m_watch.failed(target.name, began);
    }
    co_return std::move(stream);
}

runtime::task<engine_transport::carry_result> engine_transport::relay(engine_target target,
                                                                      http::request message,
                                                                      http::relay_options options) {
    const base::monotonic_time began = m_scheduler.now();
    const base::monotonic_time deadline = began + options.limit;
    const bool direct = reaches(target);
    // Without a new connection there is no failure after which the request could still go through
    // another router.
    const bool connects = options.fresh_connection || !m_direct.has_idle_connection(target.address);
    if (!direct) {
        auto carried = co_await relay_via_others(target, message, options);
        if (carried) {
            co_return std::move(*carried);
        }
        if (reaches_no_engine() && m_watch.paths().has_failed(target.name)) {
            const http::error failure{
                http::error_code::connect_failed,
                "all paths to engines lost, and no router passes requests on"};
            co_return carry_failure{failure, std::nullopt, true};
        }
    }
    http::request kept = direct && connects ? message : http::request();
    auto opened = co_await relay_directly(target, std::move(message), options);
    if (opened) {
        co_return carried_answer{std::move(*opened), std::nullopt};
    }
    const bool not_sent = opened.error().code == http::error_code::connect_failed;
    if (direct && connects && not_sent && m_watch.paths().silent_since(began)) {
        options.limit = deadline - m_scheduler.now();
        auto carried = co_await relay_via_others(target, std::move(kept), std::move(options));
        if (carried) {
            co_return std::move(*carried);
        }
    }
    co_return carry_failure{opened.error(), std::nullopt, reaches_no_engine()};
}

runtime::task<std::optional<engine_transport::carry_result>> engine_transport::relay_via_others(
    engine_target target, http::request message, http::relay_options options) {
    const base::monotonic_time deadline = m_scheduler.now() + options.limit;
    std::set<base::router_name> tried;
    while (tried.size() < m_settings.max_routers) {
        const base::monotonic_time now = m_scheduler.now();
        const auto router = m_others.choose(tried, m_scheduler.random(), now);
        options.limit = deadline - now;
        if (!router || options.limit <= base::duration{}) {
            break;
        }
        tried.insert(router->name);
        auto carried = co_await relay_via(*router, target, message, options);
        if (carried) {
            co_return std::move(carried);
        }
        ++m_counters.forward_failures;
    }
    co_return std::nullopt;
}

runtime::task<std::optional<engine_transport::carry_result>> engine_transport::relay_via(
    peer_address router, engine_target target, http::request message, http::relay_options options) {
    // The end of the other router's answer does not prove that the engine has ended the request.
    options.on_ended = nullptr;
    add_forward_parameters(
        message, {target.name, m_self, options.limit,
                  options.echoed_header ? options.echoed_header->name : std::string(), false,
                  options.fresh_connection});
    log_forwarding(router, target, options);
    const forwarding_routers::request_in_progress in_progress(m_others, router.name);
    const base::monotonic_time began = m_scheduler.now();
    auto stream = co_await m_routers.relay(router.forward, std::move(message), options);
    const base::monotonic_time now = m_scheduler.now();
    if (!stream) {
        const http::error& error = stream.error();
        if (error.code == http::error_code::withheld) {
            co_return carry_failure{error, router.name, false};
        }
        m_others.record_unreachable(router.name, now);
        log_forward_failure(router, options, error.message);
        if (error.code == http::error_code::connect_failed) {
            co_return std::nullopt;
        }
        co_return carry_failure{error, router.name, true};
    }
    const auto failure = failure_in((*stream)->headers());
    if (failure && may_try_another_router(*failure)) {
        m_others.record_failure(router.name, *failure, now);
        log_forward_failure(router, options, std::string(to_string(*failure)));
        co_return std::nullopt;
    }
    if (failure) {
        co_return carry_failure{error_of(*failure, router.name), router.name, false};
    }
    ++m_counters.forwarded;
    notify_answer(target, began, **stream);
    std::unique_ptr<http::byte_stream> body =
        std::make_unique<forwarded_body>(std::move(*stream), m_others, router.name);
    co_return carried_answer{std::move(body), router.name};
}

runtime::task<bool> engine_transport::is_refused(engine_target target) {
    const http::connect_outcome own = co_await m_watch.probe(target);
    if (own != http::connect_outcome::refused) {
        co_return false;
    }
    std::set<base::router_name> tried;
    while (tried.size() < m_settings.max_routers) {
        const auto router = m_others.choose(tried, m_scheduler.random(), m_scheduler.now());
        if (!router) {
            break;
        }
        tried.insert(router->name);
        const auto refused = co_await is_refused_at(*router, target);
        if (refused) {
            co_return *refused;
        }
    }
    co_return true;
}

runtime::task<std::optional<bool>> engine_transport::is_refused_at(peer_address router,
                                                                   engine_target target) {
    http::request message;
    add_forward_parameters(message, {target.name, m_self, m_settings.probe_limit, {}, true});
    const auto answer = co_await m_routers.send(router.forward, std::move(message),
                                                m_settings.probe_limit, http::resend::allowed);
    if (!answer) {
        m_others.record_unreachable(router.name, m_scheduler.now());
        co_return std::nullopt;
    }
    const auto failure = failure_in(answer->headers);
    if (!failure) {
        co_return false;
    }
    co_return failure == forward_failure::refused ? std::optional(true) : std::nullopt;
}

runtime::task<std::optional<forward_failure>> engine_transport::probe_for_other(
    engine_target target) {
    const bool reliable = m_watch.heard_recently();
    const http::connect_outcome outcome = co_await m_watch.probe(std::move(target));
    if (outcome == http::connect_outcome::connected) {
        co_return std::nullopt;
    }
    if (!reliable) {
        co_return forward_failure::no_path;
    }
    co_return outcome == http::connect_outcome::refused ? forward_failure::refused
                                                        : forward_failure::connect_failed;
}

void engine_transport::notify_answer(const engine_target& target, base::monotonic_time sent_at,
                                     const http::byte_stream& answer) const {
    if (m_on_answer_head) {
        m_on_answer_head(target, answer.headers(), answer.status(), sent_at);
    }
}

void engine_transport::log_forwarding(const peer_address& router, const engine_target& target,
                                      const http::relay_options& options) const {
    const auto lost = m_watch.paths().lost_since();
    const base::duration lost_for = lost ? m_scheduler.now() - *lost : base::duration{};
    runtime::log(runtime::log_level::info, component, "forwarded to another router",
                 {{"request_id", id_of(options)},
                  {"router", router.name.value},
                  {"engine", target.name.value},
                  {"reason", lost ? "all paths lost" : "path to the engine lost"},
                  {"lost_ms", std::to_string(base::to_milliseconds(lost_for))},
                  {"left_ms", std::to_string(base::to_milliseconds(options.limit))}});
}

void engine_transport::log_forward_failure(const peer_address& router,
                                           const http::relay_options& options,
                                           const std::string& reason) {
    runtime::log(
        runtime::log_level::warning, component, "other router did not pass the request on",
        {{"request_id", id_of(options)}, {"router", router.name.value}, {"reason", reason}});
}

}  // namespace ferryroad::relay
