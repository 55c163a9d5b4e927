#include "ferryroad/operator/service/operator_server.hpp"

#include <atomic>
#include <chrono>
#include <utility>

namespace ferryroad::operators {

namespace {

/// In bytes. A desired state with 1,200 tenants, the design size, is about one megabyte.
constexpr int largest_message = 16 * 1024 * 1024;
constexpr base::duration shutdown_check = std::chrono::milliseconds(10);

}  // namespace

operator_server::operator_server(operator_ports ports) : ports_(ports), service_(ports) {}

operator_server::~operator_server() {
    if (shutdown_.joinable()) {
        shutdown_.join();
    }
}

runtime::result<base::endpoint, error> operator_server::start(base::endpoint listen) {
    int port = 0;
    grpc::ServerBuilder builder;
    builder.SetMaxReceiveMessageSize(largest_message);
    builder.AddChannelArgument(GRPC_ARG_ALLOW_REUSEPORT, 0);
    builder.AddListeningPort(listen.to_string(), grpc::InsecureServerCredentials(), &port);
    builder.RegisterService(&service_);
    server_ = builder.BuildAndStart();
    if (!server_ || port == 0) {
        server_.reset();
        return error{error_code::listen_failed, "can't listen on " + listen.to_string()};
    }
    listen.port = static_cast<std::uint16_t>(port);
    return listen;
}

runtime::task<void> operator_server::stop(base::duration grace) {
    if (!server_) {
        co_return;
    }
    std::atomic<bool> done = false;
    // Runs on a thread of its own: Shutdown blocks until every call has ended, and calls end on the
    // event loop.
    shutdown_ = std::thread([this, grace, &done] {
        server_->Shutdown(std::chrono::system_clock::now() +
                          std::chrono::duration_cast<std::chrono::milliseconds>(grace));
        done = true;
    });
    while (!done) {
        co_await ports_.scheduler.sleep_for(shutdown_check);
    }
    shutdown_.join();
    server_.reset();
}

}  // namespace ferryroad::operators
