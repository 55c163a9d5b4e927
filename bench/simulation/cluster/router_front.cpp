#include "bench/simulation/cluster/router_front.hpp"

#include <boost/asio/experimental/awaitable_operators.hpp>

#include <utility>

namespace ferryroad::bench::simulation {

namespace {

constexpr const char* completions_path = "/v1/completions";
constexpr const char* reading_path = "/readings";
constexpr const char* record_path = "/records";

}  // namespace

std::string bearer_key_of(const base::tenant_name& tenant) {
    return "key-of-" + tenant.value;
}

/// Hands tokens to the exchange; a caller that hung up wants no more.
class router_front::exchange_sink final : public router::token_sink {
  public:
    explicit exchange_sink(caller_exchange& exchange) : exchange_(exchange) {}

    runtime::task<bool> accept(engine::stream_token token) override {
        if (!exchange_.closed()) {
            exchange_.send_token(token.text);
        }
        co_return !exchange_.closed();
    }

  private:
    caller_exchange& exchange_;
};

router_front::router_front(virtual_scheduler& scheduler, router::request_service& requests,
                           std::string prefix)
    : scheduler_(scheduler), requests_(requests), prefix_(std::move(prefix)) {}

base::request_id router_front::next_request_id() {
    return base::request_id(prefix_ + std::to_string(next_request_++));
}

std::uint64_t router_front::admit(const std::shared_ptr<caller_exchange>& exchange) {
    const std::uint64_t connection = next_connection_++;
    exchanges_.emplace(connection, exchange);
    return connection;
}

void router_front::begin(std::uint64_t connection) {
    const std::shared_ptr<caller_exchange> exchange = exchanges_.at(connection);
    const wait_id gone = scheduler_.begin_wait();
    virtual_scheduler* scheduler = &scheduler_;
    exchange->on_caller_gone([scheduler, process = scheduler_.process(), gone] {
        scheduler->time().at(scheduler->time().now(), process,
                             [scheduler, gone] { scheduler->wake(gone); });
    });
    scheduler_.spawn("simulation.front", handle(connection, exchange, gone));
}

void router_front::break_off_all() {
    for (const auto& [connection, exchange] : std::exchange(exchanges_, {})) {
        exchange->on_caller_gone(nullptr);
        exchange->break_off("connection_lost");
    }
}

runtime::task<void> router_front::handle(std::uint64_t connection,
                                         std::shared_ptr<caller_exchange> exchange, wait_id gone) {
    using boost::asio::experimental::awaitable_operators::operator||;
    co_await (serve(exchange) || scheduler_.wait(gone));
    exchange->on_caller_gone(nullptr);
    exchanges_.erase(connection);
}

runtime::task<void> router_front::serve(std::shared_ptr<caller_exchange> exchange) {
    if (exchange->request().type == workload::request_type::generation) {
        co_await generate(exchange);
    } else {
        co_await call_application(exchange);
    }
}

runtime::task<void> router_front::generate(std::shared_ptr<caller_exchange> exchange) {
    const workload::workload_request& request = exchange->request();
    router::generation_call call;
    call.request = next_request_id();
    exchange->name_request(call.request);
    call.bearer_key = bearer_key_of(request.tenant);
    call.path = request.path.value_or(completions_path);
    call.model = request.model;
    call.prompt = request.prompt;
    call.max_tokens = request.max_tokens;
    call.key = request.key;
    exchange_sink sink(*exchange);
    const auto summary = co_await requests_.generate(std::move(call), sink);
    if (summary.has_error()) {
        exchange->send_refusal(summary.error());
    } else {
        exchange->send_end(*summary);
    }
}

runtime::task<void> router_front::call_application(std::shared_ptr<caller_exchange> exchange) {
    const workload::workload_request& request = exchange->request();
    const bool writes = request.type == workload::request_type::application_write;
    router::application_call call;
    call.request = next_request_id();
    exchange->name_request(call.request);
    call.bearer_key = bearer_key_of(request.tenant);
    call.method = writes ? "POST" : "GET";
    call.path = request.path.value_or(writes ? record_path : reading_path);
    call.content_type = "application/json";
    call.body = request.body;
    call.key = request.key;
    const auto reply = co_await requests_.call_application(std::move(call));
    if (reply.has_error()) {
        exchange->send_refusal(reply.error());
    } else {
        exchange->send_reply(*reply);
    }
}

}  // namespace ferryroad::bench::simulation
