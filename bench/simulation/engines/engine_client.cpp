#include "bench/simulation/engines/engine_client.hpp"

#include <algorithm>
#include <utility>

namespace ferryroad::bench::simulation {

namespace {

using engine::error_code;
using engine::proof;

/// A stream resumed has no deadline of its own: silence ends it.
constexpr base::duration no_deadline = std::chrono::hours(24);
/// Share of exchanges that go over a connection opened before: to a process that has ended
/// since, bytes are written before that shows, so nothing is proven.
constexpr double reused_connection_share = 0.5;

engine::error timed_out() {
    return {error_code::timed_out, proof::unknown, "no answer in time", std::nullopt};
}

engine::error connect_failed(const char* message) {
    return {error_code::connect_failed, proof::not_sent, message, std::nullopt};
}

}  // namespace

simulated_engine* engine_fleet::find(const base::endpoint& address) const {
    const auto found = engines_.find(address);
    return found == engines_.end() ? nullptr : found->second;
}

/// Reads one link's events; closes it where it is destroyed before the end.
class engine_client::stream final : public engine::generation_stream {
  public:
    stream(virtual_scheduler& scheduler, const engine::tunables& limits,
           std::shared_ptr<stream_link> line, base::monotonic_time deadline)
        : scheduler_(scheduler),
          limits_(limits),
          link_(std::move(line)),
          guard_(link_),
          deadline_(deadline) {}

    runtime::task<engine::result<engine::stream_event>> next() override {
        const base::duration limit = limit_for_next();
        std::optional<stream_message> message = co_await link_->inbox().take(limit);
        if (!message) {
            co_return timed_out();
        }
        if (const auto* failure = std::get_if<engine::error>(&*message)) {
            guard_.dismiss();
            co_return *failure;
        }
        engine::stream_event event = std::get<engine::stream_event>(*message);
        started_ = true;
        if (std::holds_alternative<engine::stream_end>(event)) {
            guard_.dismiss();
        }
        co_return event;
    }

  private:
    base::duration limit_for_next() const {
        const base::duration silence = started_ ? limits_.token_timeout : limits_.start_timeout;
        const base::duration left = deadline_ - scheduler_.now();
        return std::max(base::duration::zero(), std::min(silence, left));
    }

    virtual_scheduler& scheduler_;
    const engine::tunables& limits_;
    std::shared_ptr<stream_link> link_;
    closing_guard<stream_message> guard_;
    base::monotonic_time deadline_;
    bool started_ = false;
};

engine_client::engine_client(engine_fleet& fleet, network& carrier, virtual_scheduler& scheduler,
                             base::endpoint own, engine::tunables limits)
    : fleet_(fleet),
      carrier_(carrier),
      scheduler_(scheduler),
      own_(std::move(own)),
      limits_(limits) {}

template <typename Message>
std::shared_ptr<link<Message>> engine_client::open_link(const base::endpoint& address) {
    const engine::error closed{error_code::connection_lost, proof::unknown, "connection closed",
                               std::nullopt};
    return std::make_shared<link<Message>>(carrier_, scheduler_, own_, address, Message(closed));
}

engine::error engine_client::nobody_there() {
    if (carrier_.time().random().unit() < reused_connection_share) {
        return {error_code::connection_lost, proof::unknown, "reset by peer", std::nullopt};
    }
    return connect_failed("connection refused");
}

template <typename Message>
void engine_client::send(const std::shared_ptr<link<Message>>& line, const base::endpoint& address,
                         arrival work) {
    // The client may be gone when it arrives: nothing of it is captured but what outlives it.
    simulated_engine* engine = fleet_.find(address);
    const engine::error nobody = nobody_there();
    line->send_to_server([line, engine, nobody, work = std::move(work)] {
        const auto run = [engine, work] { work(*engine); };
        if (engine == nullptr || !engine->receive(run)) {
            line->send_to_client(nobody);
        }
    });
}

runtime::task<std::optional<engine::error>> engine_client::connect(base::endpoint address,
                                                                   base::duration limit) {
    if (!carrier_.is_cut(own_, address)) {
        co_return std::nullopt;
    }
    co_await scheduler_.sleep_for(limit);
    co_return connect_failed("no answer to connect");
}

template <typename T>
runtime::task<engine::result<T>> engine_client::exchange(base::endpoint address,
                                                         base::duration limit,
                                                         std::shared_ptr<answer_link<T>> line,
                                                         arrival work) {
    const std::optional<engine::error> refused = co_await connect(address, limit);
    if (refused) {
        co_return *refused;
    }
    closing_guard<engine::result<T>> guard(line);
    send(line, address, std::move(work));
    std::optional<engine::result<T>> answer = co_await line->inbox().take(limit);
    if (!answer) {
        co_return timed_out();
    }
    guard.dismiss();
    co_return std::move(*answer);
}

runtime::task<engine::result<std::unique_ptr<engine::generation_stream>>>
engine_client::open_stream(base::endpoint address, base::duration limit,
                           base::monotonic_time deadline, std::shared_ptr<stream_link> line,
                           arrival work) {
    const std::optional<engine::error> refused = co_await connect(address, limit);
    if (refused) {
        co_return *refused;
    }
    auto opened = std::make_unique<stream>(scheduler_, limits_, line, deadline);
    send(line, address, std::move(work));
    std::optional<stream_message> answer = co_await line->inbox().take(limit);
    if (!answer) {
        co_return timed_out();
    }
    if (const auto* failure = std::get_if<engine::error>(&*answer)) {
        co_return *failure;
    }
    co_return std::unique_ptr<engine::generation_stream>(std::move(opened));
}

runtime::task<engine::result<std::unique_ptr<engine::generation_stream>>> engine_client::generate(
    const engine::engine_target& target, engine::generation_request request) {
    if (request.time_left <= base::duration::zero()) {
        co_return engine::error{error_code::timed_out, proof::not_sent, "no time left",
                                std::nullopt};
    }
    const base::endpoint address = target.address;
    const auto line = open_link<stream_message>(address);
    const base::duration limit = std::min(limits_.admission, request.time_left);
    const base::monotonic_time deadline = scheduler_.now() + request.time_left;
    arrival work = [line, from = own_, request = std::move(request)](simulated_engine& engine) {
        engine.generate(line, from, request);
    };
    co_return co_await open_stream(address, limit, deadline, line, std::move(work));
}

runtime::task<engine::result<std::unique_ptr<engine::generation_stream>>> engine_client::resume(
    const engine::engine_target& target, base::attempt_id attempt, std::uint32_t first_token) {
    const base::endpoint address = target.address;
    const auto line = open_link<stream_message>(address);
    const base::monotonic_time deadline = scheduler_.now() + no_deadline;
    arrival work = [line, target, attempt, first_token](simulated_engine& engine) {
        engine.resume(line, target, attempt, first_token);
    };
    co_return co_await open_stream(address, limits_.admission, deadline, line, std::move(work));
}

runtime::task<engine::result<void>> engine_client::cancel(const engine::engine_target& target,
                                                          base::attempt_id attempt) {
    const base::endpoint address = target.address;
    const auto line = open_link<engine::result<void>>(address);
    arrival work = [line, attempt](simulated_engine& engine) { engine.cancel(line, attempt); };
    co_return co_await exchange<void>(address, limits_.control, line, std::move(work));
}

runtime::task<engine::result<engine::application_answer>> engine_client::call_application(
    const engine::engine_target& target, engine::application_request request) {
    const base::duration limit = request.time_left;
    if (limit <= base::duration::zero()) {
        co_return engine::error{error_code::timed_out, proof::not_sent, "no time left",
                                std::nullopt};
    }
    const base::endpoint address = target.address;
    const auto line = open_link<engine::result<engine::application_answer>>(address);
    arrival work = [line, from = own_, request = std::move(request)](simulated_engine& engine) {
        engine.call_application(line, from, request);
    };
    co_return co_await exchange<engine::application_answer>(address, limit, line, std::move(work));
}

runtime::task<engine::result<engine::load_report>> engine_client::read_load(
    const base::endpoint& address) {
    const auto line = open_link<engine::result<engine::load_report>>(address);
    arrival work = [line](simulated_engine& engine) { engine.read_load(line); };
    co_return co_await exchange<engine::load_report>(address, limits_.control, line,
                                                     std::move(work));
}

runtime::task<engine::result<engine::cache_event_batch>> engine_client::read_events(
    const engine::engine_target& target, std::uint64_t from_sequence, base::duration wait) {
    const base::endpoint address = target.address;
    const auto line = open_link<engine::result<engine::cache_event_batch>>(address);
    const base::incarnation process = target.incarnation;
    arrival work = [line, process, from_sequence, wait](simulated_engine& engine) {
        engine.read_events(line, process, from_sequence, wait);
    };
    co_return co_await exchange<engine::cache_event_batch>(address, wait + limits_.control, line,
                                                           std::move(work));
}

runtime::task<engine::result<engine::import_answer>> engine_client::import_state(
    const engine::engine_target& target, engine::import_request request) {
    const base::endpoint address = target.address;
    const auto line = open_link<engine::result<engine::import_answer>>(address);
    const base::incarnation process = target.incarnation;
    simulated_engine* source = fleet_.find(request.source.address);
    arrival work = [line, process, source, request = std::move(request)](simulated_engine& engine) {
        engine.import_state(line, request, process, source);
    };
    co_return co_await exchange<engine::import_answer>(address, limits_.import, line,
                                                       std::move(work));
}

runtime::task<engine::result<void>> engine_client::order(const engine::engine_target& target,
                                                         base::fencing_token token,
                                                         engine::engine_order order) {
    const base::endpoint address = target.address;
    const auto line = open_link<engine::result<void>>(address);
    const base::incarnation process = target.incarnation;
    arrival work = [line, process, token, order = std::move(order)](simulated_engine& engine) {
        engine.order(line, token, order, process);
    };
    co_return co_await exchange<void>(address, limits_.control, line, std::move(work));
}

}  // namespace ferryroad::bench::simulation
