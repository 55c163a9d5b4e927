#include "ferryroad/peer/asio_transport.hpp"

#include "ferryroad/peer/framed_connection.hpp"
#include "ferryroad/runtime/log.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/ip/address.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <array>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace ferryroad::peer {

namespace {

namespace asio = boost::asio;
using connection_pointer = std::shared_ptr<framed_connection>;

constexpr std::string_view component = "peer.transport";
constexpr auto awaitable_tuple = asio::as_tuple(asio::use_awaitable);
/// Attempts to find a port when port 0 is given: a port that is free for TCP may be in use for UDP.
constexpr int max_port_attempts = 32;
/// Delay after a failed accept (such as no file descriptor left), to avoid a busy loop.
constexpr base::duration accept_retry_delay = std::chrono::milliseconds(100);

/// A connection that is open for the next call.
struct idle_connection {
    connection_pointer connection;
    base::monotonic_time since;
};

/// Keeps a connection in a set for the lifetime of this object, so that it is removed also when the
/// coroutine that uses it is cancelled.
class connection_registration {
  public:
    connection_registration(std::set<connection_pointer>& set, connection_pointer connection)
        : set_(set), connection_(std::move(connection)) {
        set_.insert(connection_);
    }
    ~connection_registration() { set_.erase(connection_); }
    connection_registration(const connection_registration&) = delete;
    connection_registration& operator=(const connection_registration&) = delete;

  private:
    std::set<connection_pointer>& set_;
    connection_pointer connection_;
};

template <typename Protocol>
typename Protocol::endpoint to_asio(const base::endpoint& address) {
    return {asio::ip::make_address(address.address), address.port};
}

}  // namespace

struct asio_transport::state : std::enable_shared_from_this<state> {
    state(runtime::scheduler& runner, transport_limits chosen)
        : scheduler(runner),
          limits(std::move(chosen)),
          acceptor(runner.executor()),
          datagrams(runner.executor()) {}

    void bind(const base::endpoint& address);
    runtime::task<void> receive_datagrams();
    runtime::task<void> accept_connections();
    runtime::task<void> serve(connection_pointer connection);
    runtime::task<bool> serve_call(connection_pointer connection);
    /// @return whether a connection was closed.
    bool close_oldest_unused();
    static void log_dropped_call(const result<message_bytes>& call, std::size_t length);
    runtime::task<result<message_bytes>> exchange(connection_pointer connection,
                                                  message_bytes request);
    runtime::task<result<message_bytes>> call(base::endpoint to, message_bytes request,
                                              base::duration limit);
    connection_pointer take_idle(const base::endpoint& to);
    void keep_idle(const base::endpoint& to, connection_pointer connection);
    void stop();

    runtime::scheduler& scheduler;
    transport_limits limits;
    asio::ip::tcp::acceptor acceptor;
    asio::ip::udp::socket datagrams;
    datagram_handler handle_datagram;
    call_handler handle_call;
    transport_counters counters;
    std::map<base::endpoint, std::vector<idle_connection>> idle;
    std::set<connection_pointer> incoming;
    /// Incoming connections that have not sent a whole call yet, and when they were accepted.
    std::map<connection_pointer, base::monotonic_time> incoming_unused;
    std::set<connection_pointer> outgoing;
    bool stopped = false;
};

void asio_transport::state::bind(const base::endpoint& address) {
    for (int attempt = 1;; ++attempt) {
        const auto wanted = to_asio<asio::ip::tcp>(address);
        acceptor.open(wanted.protocol());
        acceptor.set_option(asio::socket_base::reuse_address(true));
        acceptor.bind(wanted);
        const auto port = acceptor.local_endpoint().port();
        const asio::ip::udp::endpoint same_port(wanted.address(), port);
        datagrams.open(same_port.protocol());
        boost::system::error_code failure;
        datagrams.bind(same_port, failure);
        if (!failure) {
            break;
        }
        acceptor.close();
        datagrams.close();
        if (address.port != 0 || attempt == max_port_attempts) {
            throw boost::system::system_error(failure, "UDP " + address.to_string());
        }
    }
    acceptor.listen();
    datagrams.non_blocking(true);
}

runtime::task<void> asio_transport::state::receive_datagrams() {
    const auto self = shared_from_this();
    // One byte more than allowed, to tell an oversized datagram from one of the largest size.
    std::array<char, max_datagram_bytes + 1> buffer{};
    while (!stopped) {
        asio::ip::udp::endpoint from;
        const auto [failure, size] =
            co_await datagrams.async_receive_from(asio::buffer(buffer), from, awaitable_tuple);
        if (failure == asio::error::operation_aborted) {
            break;
        }
        // Other errors report earlier sends, such as an ICMP message that the port is closed.
        if (failure) {
            continue;
        }
        counters.datagram_bytes_received += size;
        if (size <= max_datagram_bytes && handle_datagram) {
            const base::endpoint sender{from.address().to_string(), from.port()};
            handle_datagram(sender, std::string_view(buffer.data(), size));
        }
    }
}

runtime::task<void> asio_transport::state::accept_connections() {
    const auto self = shared_from_this();
    while (!stopped) {
        auto [failure, socket] = co_await acceptor.async_accept(awaitable_tuple);
        if (failure == asio::error::operation_aborted || stopped) {
            break;
        }
        if (failure) {
            co_await scheduler.sleep_for(accept_retry_delay);
            continue;
        }
        if (incoming.size() >= limits.incoming_connections && !close_oldest_unused()) {
            continue;  // The socket is closed by its destructor.
        }
        boost::system::error_code ignored;
        socket.set_option(asio::ip::tcp::no_delay(true), ignored);
        auto connection = std::make_shared<framed_connection>(std::move(socket), limits.call_bytes);
        scheduler.spawn(component, serve(connection));
    }
}

runtime::task<void> asio_transport::state::serve(connection_pointer connection) {
    const auto self = shared_from_this();
    const connection_registration registered(incoming, connection);
    incoming_unused[connection] = scheduler.now();
    bool keep_open = true;
    while (keep_open && !stopped) {
        try {
            keep_open = co_await serve_call(connection);
        } catch (const std::exception& failure) {
            runtime::log(runtime::log_level::error, component,
                         "call handler threw an exception; closing the connection",
                         {{"error", failure.what()}});
            keep_open = false;
        }
    }
    incoming_unused.erase(connection);
    connection->close();
}

bool asio_transport::state::close_oldest_unused() {
    const auto oldest = std::min_element(
        incoming_unused.begin(), incoming_unused.end(),
        [](const auto& left, const auto& right) { return left.second < right.second; });
    if (oldest == incoming_unused.end()) {
        return false;
    }
    const connection_pointer closed = oldest->first;
    runtime::log(
        runtime::log_level::warning, component,
        "connection that sent no whole call closed to make room for a new one",
        {{"connections", std::to_string(incoming.size())},
         {"waited_ms", std::to_string(base::to_milliseconds(scheduler.now() - oldest->second))}});
    incoming_unused.erase(oldest);
    incoming.erase(closed);
    closed->close();
    return true;
}

void asio_transport::state::log_dropped_call(const result<message_bytes>& call,
                                             std::size_t length) {
    if (call || call.error().code != error_code::too_large) {
        return;
    }
    runtime::log(runtime::log_level::warning, component, "call dropped before it was complete",
                 {{"reason", call.error().message}, {"announced_bytes", std::to_string(length)}});
}

runtime::task<bool> asio_transport::state::serve_call(connection_pointer connection) {
    connection->set_deadline(scheduler.now() + limits.server_idle);
    const result<std::size_t> length = co_await connection->read_length();
    if (!length) {
        co_return false;
    }
    connection->set_deadline(scheduler.now() + limits.frame);
    std::optional<runtime::memory_account> memory;
    if (limits.memory) {
        memory.emplace(limits.memory, scheduler, [connection] { connection->close(); });
    }
    result<message_bytes> request =
        co_await connection->read_payload(*length, memory ? &*memory : nullptr);
    if (!request || !handle_call) {
        log_dropped_call(request, *length);
        co_return false;
    }
    incoming_unused.erase(connection);
    if (memory) {
        memory->keep();
    }
    counters.call_bytes_received += frame_header_bytes + request->size();
    connection->clear_deadline();
    message_bytes bytes = std::move(*request);
    message_bytes answer = co_await handle_call(std::move(bytes));
    if (answer.empty() || answer.size() > limits.call_bytes) {
        co_return false;
    }
    const std::size_t size = answer.size();
    connection->set_deadline(scheduler.now() + limits.frame);
    const result<void> written = co_await connection->write(std::move(answer));
    counters.call_bytes_sent += written ? frame_header_bytes + size : 0;
    co_return written.has_value();
}

runtime::task<result<message_bytes>> asio_transport::state::exchange(connection_pointer connection,
                                                                     message_bytes request) {
    const std::size_t size = request.size();
    const result<void> written = co_await connection->write(std::move(request));
    if (!written) {
        co_return written.error();
    }
    counters.call_bytes_sent += frame_header_bytes + size;
    const result<std::size_t> length = co_await connection->read_length();
    if (!length) {
        co_return length.error();
    }
    result<message_bytes> answer = co_await connection->read_payload(*length, nullptr);
    if (answer) {
        counters.call_bytes_received += frame_header_bytes + answer->size();
    }
    co_return answer;
}

runtime::task<result<message_bytes>> asio_transport::state::call(base::endpoint to,
                                                                 message_bytes request,
                                                                 base::duration limit) {
    const auto self = shared_from_this();
    if (stopped || !base::endpoint::parse(to.to_string())) {
        co_return error{error_code::unreachable, to.to_string()};
    }
    if (request.size() > limits.call_bytes) {
        co_return error{error_code::too_large,
                        "request of " + std::to_string(request.size()) + " bytes"};
    }
    const base::monotonic_time deadline = scheduler.now() + limit;
    connection_pointer connection = take_idle(to);
    const bool is_new = connection == nullptr;
    if (is_new) {
        asio::ip::tcp::socket socket(scheduler.executor());
        connection = std::make_shared<framed_connection>(std::move(socket), limits.call_bytes);
    }
    connection->set_deadline(deadline);
    const connection_registration registered(outgoing, connection);
    result<void> connected;
    if (is_new) {
        connected = co_await connection->connect(to_asio<asio::ip::tcp>(to));
    }
    result<message_bytes> answer = error{};
    if (connected) {
        answer = co_await exchange(connection, std::move(request));
    } else {
        answer = connected.error();
    }
    if (answer && !stopped) {
        keep_idle(to, connection);
    } else {
        connection->close();
    }
    co_return answer;
}

connection_pointer asio_transport::state::take_idle(const base::endpoint& to) {
    const auto entry = idle.find(to);
    if (entry == idle.end()) {
        return nullptr;
    }
    connection_pointer taken;
    std::vector<idle_connection>& waiting = entry->second;
    while (!waiting.empty() && !taken) {
        idle_connection candidate = std::move(waiting.back());
        waiting.pop_back();
        const bool unexpired = scheduler.now() - candidate.since < limits.client_idle;
        if (unexpired && candidate.connection->reusable()) {
            taken = std::move(candidate.connection);
        } else {
            candidate.connection->close();
        }
    }
    if (waiting.empty()) {
        idle.erase(entry);
    }
    return taken;
}

void asio_transport::state::keep_idle(const base::endpoint& to, connection_pointer connection) {
    std::vector<idle_connection>& waiting = idle[to];
    if (waiting.size() >= limits.idle_connections_per_address) {
        connection->close();
        return;
    }
    // The deadline closes the connection if no call needs it; `take_idle` then finds it closed.
    connection->set_deadline(scheduler.now() + limits.client_idle);
    waiting.push_back({std::move(connection), scheduler.now()});
}

void asio_transport::state::stop() {
    stopped = true;
    boost::system::error_code ignored;
    acceptor.close(ignored);
    datagrams.close(ignored);
    for (const connection_pointer& connection : incoming) {
        connection->close();
    }
    for (const connection_pointer& connection : outgoing) {
        connection->close();
    }
    for (const auto& [address, waiting] : idle) {
        for (const idle_connection& entry : waiting) {
            entry.connection->close();
        }
    }
    idle.clear();
}

asio_transport::asio_transport(runtime::scheduler& scheduler, transport_limits limits)
    : state_(std::make_shared<state>(scheduler, std::move(limits))) {}

asio_transport::~asio_transport() {
    state_->stop();
    state_->handle_datagram = nullptr;
    state_->handle_call = nullptr;
}

base::endpoint asio_transport::listen(const base::endpoint& address) {
    state_->bind(address);
    state_->scheduler.spawn(component, state_->receive_datagrams());
    state_->scheduler.spawn(component, state_->accept_connections());
    return {address.address, state_->acceptor.local_endpoint().port()};
}

void asio_transport::stop() {
    state_->stop();
}

void asio_transport::on_datagram(datagram_handler handler) {
    state_->handle_datagram = std::move(handler);
}

void asio_transport::on_call(call_handler handler) {
    state_->handle_call = std::move(handler);
}

void asio_transport::send(const base::endpoint& to, message_bytes bytes) {
    boost::system::error_code failure;
    const auto address = asio::ip::make_address(to.address, failure);
    if (failure || state_->stopped || bytes.size() > max_datagram_bytes) {
        return;
    }
    const asio::ip::udp::endpoint asio_to(address, to.port);
    const std::size_t sent = state_->datagrams.send_to(asio::buffer(bytes), asio_to, 0, failure);
    state_->counters.datagram_bytes_sent += failure ? 0 : sent;
}

runtime::task<result<message_bytes>> asio_transport::call(const base::endpoint& to,
                                                          message_bytes request,
                                                          base::duration limit) {
    return state_->call(to, std::move(request), limit);
}

const transport_counters& asio_transport::counters() const {
    return state_->counters;
}

std::size_t asio_transport::incoming_connections() const {
    return state_->incoming.size();
}

}  // namespace ferryroad::peer
