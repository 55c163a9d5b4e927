#include "bench/simulation/engines/simulated_engine.hpp"

#include <algorithm>
#include <utility>

namespace ferryroad::bench::simulation {

namespace {

constexpr unsigned status_ok = 200;
/// Between two looks for new cache events where none is on its way.
constexpr base::duration event_poll = std::chrono::milliseconds(50);
/// Connections remembered before ended ones are forgotten.
constexpr std::size_t connection_sweep = 256;

engine::error refused_import(const char* message) {
    return {engine::error_code::refused_import, engine::proof::not_run, message, std::nullopt};
}

engine::error no_such_service() {
    return {engine::error_code::not_found, engine::proof::not_run, "no such service", std::nullopt};
}

}  // namespace

simulated_engine::simulated_engine(network& carrier, engine_machine machine)
    : carrier_(carrier), machine_(std::move(machine)) {
    carrier_.place(machine_.address, machine_.where);
    if (const auto* model = std::get_if<emulator::engine_model_settings>(&machine_.service)) {
        model_ = std::make_unique<emulator::engine_model>(*model, process_);
    } else {
        application_ = std::make_unique<emulator::application_model>(
            std::get<emulator::application_model_settings>(machine_.service), process_);
    }
}

bool simulated_engine::receive(std::function<void()> work) {
    if (down_) {
        return false;
    }
    if (time().now() >= frozen_until_) {
        work();
        return true;
    }
    const base::incarnation meant = process_;
    time().at(frozen_until_, [this, meant, work = std::move(work)] {
        if (meant == process_ && !down_) {
            work();
        }
    });
    return true;
}

void simulated_engine::remember(const std::shared_ptr<server_connection>& connection) {
    if (connections_.size() >= connection_sweep) {
        std::erase_if(connections_, [](const auto& held) { return held.expired(); });
    }
    connections_.push_back(connection);
}

void simulated_engine::record_arrival(dispatch_arrival arrival,
                                      std::optional<engine::error_code> refused) {
    arrival.at = time().now();
    arrival.process = process_;
    arrival.refused = refused;
    arrivals_.push_back(std::move(arrival));
}

void simulated_engine::generate(const std::shared_ptr<stream_link>& line,
                                const base::endpoint& router,
                                const engine::generation_request& request) {
    remember(line);
    if (!model_) {
        line->send_to_client(no_such_service());
        return;
    }
    const auto admitted = model_->submit(request, time().now());
    dispatch_arrival arrival;
    arrival.router = router;
    arrival.request = request.request;
    arrival.attempt = request.attempt;
    arrival.version = request.scope.version;
    if (admitted.has_error()) {
        record_arrival(std::move(arrival), admitted.error().code);
        line->send_to_client(admitted.error());
        return;
    }
    record_arrival(std::move(arrival), std::nullopt);
    open_stream(line, *admitted);
}

void simulated_engine::resume(const std::shared_ptr<stream_link>& line,
                              const engine::engine_target& target, const base::attempt_id& attempt,
                              std::uint32_t first_token) {
    remember(line);
    if (!model_) {
        line->send_to_client(no_such_service());
        return;
    }
    const auto resumed = model_->resume(attempt, first_token, target.incarnation, time().now());
    if (resumed.has_error()) {
        line->send_to_client(resumed.error());
        return;
    }
    open_stream(line, *resumed);
}

void simulated_engine::open_stream(const std::shared_ptr<stream_link>& line,
                                   emulator::attempt_handle attempt) {
    std::shared_ptr<stream_link>& reader = readers_[attempt];
    if (reader) {
        reader->break_off();
    }
    reader = line;
    line->on_closed([this, attempt, closed = line.get()] {
        receive([this, attempt, closed] { close_stream(attempt, closed); });
    });
    line->send_to_client(stream_opened{});
    settle();
}

void simulated_engine::close_stream(emulator::attempt_handle attempt, const stream_link* closed) {
    const auto found = readers_.find(attempt);
    if (down_ || found == readers_.end() || found->second.get() != closed) {
        return;
    }
    readers_.erase(found);
    model_->detach(attempt, time().now());
    settle();
}

void simulated_engine::settle() {
    if (!model_) {
        return;
    }
    for (const emulator::model_output& output : model_->advance(time().now())) {
        dispatch(output);
    }
    plan_wakeup();
}

void simulated_engine::plan_wakeup() {
    const std::optional<base::monotonic_time> next = model_->next_wakeup();
    if (!next || (planned_wakeup_ && *planned_wakeup_ <= *next)) {
        return;
    }
    planned_wakeup_ = next;
    time().at(*next, [this, due = *next] {
        if (planned_wakeup_ == due) {
            planned_wakeup_.reset();
            settle();
        }
    });
}

void simulated_engine::dispatch(const emulator::model_output& output) {
    const auto found = readers_.find(output.attempt);
    if (found == readers_.end()) {
        return;
    }
    const std::shared_ptr<stream_link> line = found->second;
    if (const auto* started = std::get_if<engine::stream_started>(&output.event)) {
        line->send_to_client(engine::stream_event(*started));
    } else if (const auto* token = std::get_if<engine::stream_token>(&output.event)) {
        line->send_to_client(engine::stream_event(*token));
    } else if (const auto* end = std::get_if<engine::stream_end>(&output.event)) {
        readers_.erase(found);
        line->on_closed(nullptr);
        line->send_to_client(engine::stream_event(*end));
    } else {
        const auto& broken = std::get<emulator::stream_failure>(output.event);
        readers_.erase(found);
        line->send_to_client(
            engine::error{broken.code, engine::proof::unknown, broken.message, std::nullopt});
    }
}

void simulated_engine::cancel(const std::shared_ptr<answer_link<void>>& line,
                              const base::attempt_id& attempt) {
    remember(line);
    if (model_) {
        model_->cancel(attempt, time().now());
        settle();
    }
    line->send_to_client(engine::result<void>());
}

void simulated_engine::call_application(
    const std::shared_ptr<answer_link<engine::application_answer>>& line,
    const base::endpoint& router, const engine::application_request& request) {
    remember(line);
    if (!application_) {
        line->send_to_client(no_such_service());
        return;
    }
    const auto ticket = application_->submit(request, time().now());
    dispatch_arrival arrival;
    arrival.router = router;
    arrival.request = request.request;
    arrival.attempt = request.attempt;
    if (ticket.has_error()) {
        record_arrival(std::move(arrival), ticket.error().code);
        line->send_to_client(ticket.error());
        return;
    }
    record_arrival(std::move(arrival), std::nullopt);
    const emulator::attempt_handle attempt = ticket->attempt;
    time().at(ticket->ready_at, [this, line, request, attempt, meant = process_] {
        if (meant == process_ && !down_) {
            receive([this, line, request, attempt] { finish_call(line, request, attempt); });
        }
    });
}

void simulated_engine::finish_call(
    const std::shared_ptr<answer_link<engine::application_answer>>& line,
    const engine::application_request& request, emulator::attempt_handle attempt) {
    if (!application_->finish(attempt)) {
        return;
    }
    if (lost_answers_ > 0) {
        --lost_answers_;
        carrier_.faults().add(fault_kind::application_lost_answer);
        line->break_off();
        return;
    }
    engine::application_answer answer;
    answer.incarnation = process_;
    answer.status = status_ok;
    answer.content_type = request.content_type;
    answer.body = request.request.value + " " + request.body;
    line->send_to_client(std::move(answer));
}

void simulated_engine::read_load(const std::shared_ptr<answer_link<engine::load_report>>& line) {
    remember(line);
    line->send_to_client(model_ ? model_->load(time().now()) : application_->load());
    settle();
}

void simulated_engine::read_events(
    const std::shared_ptr<answer_link<engine::cache_event_batch>>& line, base::incarnation process,
    std::uint64_t from, base::duration wait) {
    if (!model_) {
        line->send_to_client(no_such_service());
        return;
    }
    const base::monotonic_time now = time().now();
    engine::cache_event_batch batch = model_->events_since(process, from, now);
    settle();
    if (!batch.events.empty() || batch.gap || wait <= base::duration::zero() || is_leaving()) {
        remember(line);
        line->send_to_client(std::move(batch));
        return;
    }
    const base::monotonic_time next =
        model_->next_event_publication(now).value_or(now + event_poll);
    const base::duration pause = std::clamp(next - now, base::duration(1), wait);
    time().after(pause, [this, line, process, from, left = wait - pause] {
        const bool listens =
            receive([this, line, process, from, left] { read_events(line, process, from, left); });
        if (!listens) {
            line->break_off();
        }
    });
}

void simulated_engine::import_state(const std::shared_ptr<answer_link<engine::import_answer>>& line,
                                    const engine::import_request& request,
                                    base::incarnation expected, simulated_engine* source) {
    remember(line);
    if (!model_ || source == nullptr || !source->model_ ||
        carrier_.is_cut(address(), source->address())) {
        line->send_to_client(refused_import("source can't be reached"));
        return;
    }
    const base::duration there = carrier_.latency(address(), source->address());
    const base::duration back = carrier_.latency(source->address(), address());
    time().after(there, [this, line, request, expected, source, back] {
        const auto state =
            source->model_->export_state(request.scope, request.pieces, time().now());
        time().after(back, [this, line, request, expected, state] {
            answer_import(line, request, expected, state);
        });
    });
}

void simulated_engine::answer_import(
    const std::shared_ptr<answer_link<engine::import_answer>>& line,
    const engine::import_request& request, base::incarnation expected,
    const emulator::outcome<emulator::exported_state>& state) {
    if (down_) {
        return;
    }
    if (state.has_error()) {
        line->send_to_client(refused_import("source holds nothing of it"));
        return;
    }
    const auto ticket = model_->import_state(request, *state, expected, time().now());
    settle();
    if (ticket.has_error()) {
        line->send_to_client(ticket.error());
        return;
    }
    time().at(ticket->ready_at, [this, line, request, meant = process_] {
        if (meant != process_ || down_) {
            return;
        }
        settle();
        const std::uint32_t held = model_->held_pieces(request.scope, request.pieces, time().now());
        line->send_to_client(engine::import_answer{held});
    });
}

void simulated_engine::order(const std::shared_ptr<answer_link<void>>& line,
                             base::fencing_token token, const engine::engine_order& order,
                             base::incarnation expected) {
    remember(line);
    if (!model_) {
        line->send_to_client(no_such_service());
        return;
    }
    const auto accepted = model_->order(order, token, expected, time().now());
    settle();
    if (accepted.has_error()) {
        line->send_to_client(accepted.error());
    } else {
        line->send_to_client(engine::result<void>());
    }
}

void simulated_engine::crash(base::duration restart_after) {
    if (down_) {
        return;
    }
    down_ = true;
    if (model_) {
        model_->crash(time().now());
    } else {
        application_->crash();
    }
    readers_.clear();
    planned_wakeup_.reset();
    for (const auto& held : std::exchange(connections_, {})) {
        if (const auto connection = held.lock()) {
            connection->break_off();
        }
    }
    time().after(restart_after, [this] { restart(); });
}

void simulated_engine::restart() {
    process_.value += 1;
    down_ = false;
    frozen_until_ = time().now();
    lost_answers_ = 0;
    if (model_) {
        model_->restart(process_, time().now());
        order_weights();
    } else {
        application_->restart(process_);
    }
}

void simulated_engine::freeze(base::duration length) {
    frozen_until_ = time().now() + length;
    frozen_times_.push_back({time().now(), frozen_until_});
    if (model_ && !down_) {
        model_->freeze(time().now(), length);
        settle();
    }
}

void simulated_engine::set_slow_factor(double factor) {
    if (model_) {
        model_->set_slow_factor(factor);
    } else {
        application_->set_slow_factor(factor);
    }
}

void simulated_engine::set_refuse_overloaded(bool refuse) {
    if (model_) {
        model_->set_refuse_overloaded(refuse);
    } else {
        application_->set_refuse_overloaded(refuse);
    }
}

void simulated_engine::lose_events(std::uint32_t count) {
    if (model_) {
        model_->lose_events(count);
    }
}

void simulated_engine::cut_streams() {
    const auto readers = std::exchange(readers_, {});
    for (const auto& [attempt, line] : readers) {
        line->break_off();
        model_->detach(attempt, time().now());
    }
    settle();
}

void simulated_engine::leave() {
    if (down_ || is_leaving()) {
        return;
    }
    leavings_.push_back({process_, time().now()});
    if (model_) {
        model_->set_leaving(true);
    } else {
        application_->set_leaving(true);
    }
}

void simulated_engine::load_weights(const engine::load_model_order& order,
                                    base::fencing_token token) {
    if (!model_ || token < weights_token_) {
        return;
    }
    weights_ = order;
    weights_token_ = token;
    if (!down_) {
        order_weights();
    }
}

void simulated_engine::order_weights() {
    if (weights_) {
        // A refusal means that a router's order carried a higher token.
        [[maybe_unused]] const auto outcome =
            model_->order(*weights_, weights_token_, process_, time().now());
        settle();
    }
}

bool simulated_engine::was_frozen(base::monotonic_time from, base::monotonic_time until) const {
    return std::any_of(frozen_times_.begin(), frozen_times_.end(), [&](const frozen_time& held) {
        return held.from <= until && from <= held.until;
    });
}

const std::vector<emulator::execution_record>& simulated_engine::executions() const {
    return model_ ? model_->executions() : application_->executions();
}

}  // namespace ferryroad::bench::simulation
