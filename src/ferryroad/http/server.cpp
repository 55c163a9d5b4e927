#include "ferryroad/http/server.hpp"

#include "ferryroad/http/session.hpp"
#include "ferryroad/runtime/boot_clock.hpp"
#include "ferryroad/runtime/log.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <unordered_set>

namespace ferryroad::http {

namespace {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

constexpr base::duration accept_retry_delay = std::chrono::milliseconds(100);
/// Connections beyond the limit that are being refused; further ones are closed without an answer.
constexpr std::size_t max_refusals = 16;
constexpr std::string_view log_component = "http.server";
constexpr auto as_result = asio::as_tuple(asio::use_awaitable);

/// Keeps a session in a set for the lifetime of this object: the event loop may destroy the
/// coroutine that runs the session before it has ended.
class session_registration {
  public:
    session_registration(std::unordered_set<session*>& set, session* registered)
        : set_(set), session_(registered) {
        set_.insert(session_);
    }
    ~session_registration() { set_.erase(session_); }
    session_registration(const session_registration&) = delete;
    session_registration& operator=(const session_registration&) = delete;

  private:
    std::unordered_set<session*>& set_;
    session* session_;
};

}  // namespace

struct server::state : std::enable_shared_from_this<server::state> {
    state(runtime::scheduler& scheduler_in, server_limits limits, handler handle)
        : scheduler(scheduler_in),
          acceptor(scheduler_in.executor()),
          all_sessions_closed(scheduler_in.executor()),
          shared(std::make_shared<server_shared>(scheduler_in)) {
        shared->limits = limits;
        shared->handle = std::move(handle);
    }

    base::endpoint listen(const base::endpoint& address);
    runtime::task<void> accept_connections(std::shared_ptr<state> self);
    void start_session(tcp::socket socket);
    runtime::task<void> run_session(std::shared_ptr<state> self,
                                    std::shared_ptr<session> current_session,
                                    std::unique_ptr<session_registration> registered,
                                    bool over_limit);
    void accept_pending();
    /// Closes the connection that is evicted first, if any. @return whether one was closed.
    bool make_room();
    runtime::task<void> drain(std::shared_ptr<state> self);
    void close();

    runtime::scheduler& scheduler;
    tcp::acceptor acceptor;
    runtime::boot_timer all_sessions_closed;  ///< Cancelled when the last session ends.
    std::shared_ptr<server_shared> shared;
    std::unordered_set<session*> sessions;
    std::uint64_t evicted = 0;
};

base::endpoint server::state::listen(const base::endpoint& address) {
    const tcp::endpoint native(asio::ip::make_address(address.address), address.port);
    acceptor.open(native.protocol());
    acceptor.set_option(tcp::acceptor::reuse_address(true));
    acceptor.bind(native);
    acceptor.listen();
    const tcp::endpoint bound = acceptor.local_endpoint();
    scheduler.spawn(log_component, accept_connections(shared_from_this()));
    return base::endpoint{bound.address().to_string(), bound.port()};
}

runtime::task<void> server::state::accept_connections(
    [[maybe_unused]] std::shared_ptr<state> self) {
    while (acceptor.is_open()) {
        auto [failure, socket] = co_await acceptor.async_accept(as_result);
        if (!failure) {
            start_session(std::move(socket));
            continue;
        }
        if (failure == asio::error::operation_aborted) {
            co_return;
        }
        runtime::log(runtime::log_level::warning, log_component,
                     "accepting a connection failed; retrying after a delay",
                     {{"error", failure.message()}});
        co_await scheduler.sleep_for(accept_retry_delay);
    }
}

void server::state::start_session(tcp::socket socket) {
    const bool full = sessions.size() >= shared->limits.connections;
    const bool over_limit = full && !make_room();
    if (over_limit && sessions.size() >= shared->limits.connections + max_refusals) {
        return;  // The socket is closed by its destructor.
    }
    boost::system::error_code ignored;
    socket.set_option(tcp::no_delay(true), ignored);
    auto link = std::make_shared<connection>(std::move(socket));
    auto current_session = std::make_shared<session>(std::move(link), shared);
    auto registered = std::make_unique<session_registration>(sessions, current_session.get());
    scheduler.spawn(log_component, run_session(shared_from_this(), std::move(current_session),
                                               std::move(registered), over_limit));
}

bool server::state::make_room() {
    const base::monotonic_time now = scheduler.now();
    session* victim = nullptr;
    auto lowest = session::eviction_class::none;
    for (session* one : sessions) {
        const auto rank = one->eviction_class_at(now);
        const bool first = rank < lowest || (victim != nullptr && rank == lowest &&
                                             one->in_phase_since() < victim->in_phase_since());
        if (first && (rank == session::eviction_class::stalled || !one->has_input())) {
            victim = one;
            lowest = rank;
        }
    }
    if (victim == nullptr) {
        return false;
    }
    runtime::log(
        runtime::log_level::warning, log_component, "connection closed to make room for a new one",
        {{"connections", std::to_string(sessions.size())},
         {"waited_ms", std::to_string(base::to_milliseconds(now - victim->in_phase_since()))}});
    ++evicted;
    sessions.erase(victim);
    victim->close();
    return true;
}

runtime::task<void> server::state::run_session([[maybe_unused]] std::shared_ptr<state> self,
                                               std::shared_ptr<session> current_session,
                                               std::unique_ptr<session_registration> registered,
                                               bool over_limit) {
    if (over_limit) {
        co_await current_session->refuse();
    } else {
        co_await current_session->run();
    }
    registered.reset();
    if (sessions.empty()) {
        all_sessions_closed.cancel();
    }
}

void server::state::accept_pending() {
    boost::system::error_code failure;
    acceptor.non_blocking(true, failure);
    while (!failure) {
        tcp::socket socket = acceptor.accept(failure);
        if (!failure) {
            start_session(std::move(socket));
        }
    }
}

runtime::task<void> server::state::drain([[maybe_unused]] std::shared_ptr<state> self) {
    shared->draining = true;
    if (acceptor.is_open()) {
        accept_pending();
        acceptor.close();
    }
    const std::unordered_set<session*> open = sessions;
    for (session* current_session : open) {
        current_session->drain();
    }
    while (!sessions.empty()) {
        all_sessions_closed.expires_at(runtime::boot_timer::time_point::max());
        co_await all_sessions_closed.async_wait(as_result);
    }
}

void server::state::close() {
    boost::system::error_code ignored;
    acceptor.close(ignored);
    for (session* current_session : sessions) {
        current_session->close();
    }
}

server::server(runtime::scheduler& scheduler, server_limits limits, handler handle)
    : state_(std::make_shared<state>(scheduler, limits, std::move(handle))) {}

server::~server() {
    state_->close();
}

base::endpoint server::listen(const base::endpoint& address) {
    return state_->listen(address);
}

runtime::task<void> server::drain() {
    return state_->drain(state_);
}

void server::change_limits(server_limits limits) {
    state_->shared->limits = limits;
}

void server::disable_keep_alive() {
    state_->shared->leaving = true;
}

void server::set_refusal_hook(refusal_hook complete) {
    state_->shared->complete_refusal = std::move(complete);
}

void server::set_memory_budget(std::shared_ptr<runtime::memory_budget> budget) {
    state_->shared->memory = std::move(budget);
}

std::uint64_t server::evicted_connections() const {
    return state_->evicted;
}

std::size_t server::active_requests() const {
    return state_->shared->active_requests;
}

}  // namespace ferryroad::http
