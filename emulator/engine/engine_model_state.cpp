/// The parts of `engine_model` that deal with time, warm state, orders, crash and restart.
#include "emulator/engine/engine_model.hpp"

#include <algorithm>
#include <utility>

namespace ferryroad::emulator {

namespace {

/// Sets `least` to `other` if that is earlier; a missing time counts as later than any.
void lower(std::optional<base::monotonic_time>& least, std::optional<base::monotonic_time> other) {
    if (other && (!least || *other < *least)) {
        least = other;
    }
}

engine::error refuse_import(std::string message) {
    return {engine::error_code::refused_import, engine::proof::not_run, std::move(message),
            std::nullopt};
}

/// @return whether `part` is a prefix of `whole`.
bool is_prefix(const core::prefix::piece_chain& part, const core::prefix::piece_chain& whole) {
    return part.size() <= whole.size() && std::equal(part.begin(), part.end(), whole.begin());
}

}  // namespace

std::optional<base::monotonic_time> engine_model::next_wakeup() const {
    std::optional<base::monotonic_time> next = scheduler_.next_step();
    lower(next, model_ready_at_);
    for (const adapter_loading& loading : adapter_loads_) {
        lower(next, loading.ready_at);
    }
    for (const pending_import& pending : imports_) {
        lower(next, pending.ready_at);
    }
    for (const deadline& detached : detached_) {
        lower(next, detached.at);
    }
    return next;
}

void engine_model::run(base::monotonic_time now) {
    std::optional<base::monotonic_time> next = next_wakeup();
    while (next && *next <= now) {
        run_due(*next);
        next = next_wakeup();
    }
    drop_ended(now);
}

void engine_model::run_due(base::monotonic_time at) {
    finish_imports(at);
    if (scheduler_.next_step() == at) {
        scheduler_.step();
    }
    cancel_detached(at);
    finish_orders(at);
}

void engine_model::finish_imports(base::monotonic_time at) {
    for (const pending_import& pending : imports_) {
        if (pending.ready_at > at || !serves(pending.scope)) {
            continue;
        }
        std::uint32_t stored = cache_.pin(pending.scope, pending.pieces);
        while (stored < pending.pieces.size() &&
               cache_.append(pending.scope, pending.pieces, stored)) {
            ++stored;
        }
        cache_.unpin(pending.scope, pending.pieces, stored);
        publish(at);
    }
    std::erase_if(imports_, [at](const pending_import& pending) { return pending.ready_at <= at; });
}

void engine_model::cancel_detached(base::monotonic_time at) {
    std::vector<attempt_handle> due;
    for (const deadline& detached : detached_) {
        if (detached.at <= at) {
            due.push_back(detached.attempt);
        }
    }
    std::erase_if(detached_, [at](const deadline& detached) { return detached.at <= at; });
    for (const attempt_handle attempt : due) {
        cancel_attempt(attempt, at);
    }
}

void engine_model::drop_ended(base::monotonic_time at) {
    while (!ended_.empty() && ended_.front().at <= at) {
        attempts_.erase(ended_.front().attempt);
        ended_.pop_front();
    }
}

void engine_model::finish_orders(base::monotonic_time at) {
    for (const adapter_loading& loading : adapter_loads_) {
        const bool loaded =
            std::find(adapters_.begin(), adapters_.end(), loading.adapter) != adapters_.end();
        if (loading.ready_at <= at && !loaded) {
            adapters_.push_back(loading.adapter);
        }
    }
    std::erase_if(adapter_loads_, [at](const auto& loading) { return loading.ready_at <= at; });
    if (model_ready_at_ && *model_ready_at_ <= at) {
        model_ = model_orders_.front().model;
        version_ = model_orders_.front().version;
        adapters_.clear();
        cache_.clear();
        model_orders_.pop_front();
        model_ready_at_.reset();
        publish(at);
    }
    begin_model_load(at);
}

void engine_model::begin_model_load(base::monotonic_time at) {
    if (!model_orders_.empty() && !model_ready_at_ && scheduler_.idle()) {
        model_ready_at_ = at + settings_.model_load;
    }
}

outcome<void> engine_model::order(const engine::engine_order& order, base::fencing_token token,
                                  base::incarnation expected, base::monotonic_time now) {
    run(now);
    if (auto refusal = check_process(expected)) {
        return std::move(*refusal);
    }
    if (token < highest_token_) {
        return engine::error{engine::error_code::refused_stale_token, engine::proof::not_run,
                             "fencing token " + std::to_string(highest_token_.value) + " was seen",
                             std::nullopt};
    }
    highest_token_ = token;
    if (const auto* model_order = std::get_if<engine::load_model_order>(&order)) {
        const bool in_force = model_orders_.empty() && model_order->model == model_ &&
                              model_order->version == version_;
        if (!in_force) {
            model_orders_.push_back(*model_order);
            begin_model_load(now);
        }
    } else if (const auto* adapter_order = std::get_if<engine::load_adapter_order>(&order)) {
        adapter_loads_.push_back({now + settings_.adapter_load, adapter_order->adapter});
    } else {
        role_ = std::get<engine::set_role_order>(order).role;
    }
    return {};
}

std::uint32_t engine_model::held_pieces(const core::prefix::cache_namespace& scope,
                                        const core::prefix::piece_chain& pieces,
                                        base::monotonic_time now) {
    run(now);
    return cache_.match(scope, pieces);
}

outcome<exported_state> engine_model::export_state(const core::prefix::cache_namespace& scope,
                                                   const core::prefix::piece_chain& pieces,
                                                   base::monotonic_time now) {
    run(now);
    if (auto refusal = check_process(process_)) {
        return std::move(*refusal);
    }
    const std::uint32_t cached = cache_.match(scope, pieces);
    if (cached == 0) {
        return engine::error{engine::error_code::not_found, engine::proof::not_run,
                             "no piece of it is held", std::nullopt};
    }
    exported_state state;
    state.scope = scope;
    state.process = process_;
    state.pieces.assign(pieces.begin(), pieces.begin() + cached);
    state.payload = "state of " + settings_.name.value + ": " + std::to_string(cached) + " pieces";
    state.checksum = state_checksum(state);
    return state;
}

outcome<import_ticket> engine_model::import_state(const engine::import_request& request,
                                                  const exported_state& state,
                                                  base::incarnation expected,
                                                  base::monotonic_time now) {
    run(now);
    if (auto refusal = check_process(expected)) {
        return std::move(*refusal);
    }
    if (state.scope != request.scope || !serves(state.scope) || !model_orders_.empty()) {
        return refuse_import("namespace is not the one asked for, or not loaded");
    }
    if (state.process != request.source.incarnation) {
        return refuse_import("exported by another process than asked for");
    }
    if (!is_prefix(state.pieces, request.pieces) || state.checksum != state_checksum(state)) {
        return refuse_import("pieces or checksum do not match");
    }
    const std::uint32_t cached = cache_.match(state.scope, state.pieces);
    const auto moved = static_cast<std::uint32_t>(state.pieces.size()) - cached;
    const import_ticket ticket{now + settings_.transfer_per_piece * std::int64_t{moved}, moved};
    imports_.push_back({ticket.ready_at, state.scope, state.pieces});
    return ticket;
}

void engine_model::freeze(base::monotonic_time now, base::duration length) {
    run(now);
    scheduler_.freeze(now, now + length);
}

void engine_model::thaw(base::monotonic_time now) {
    run(now);
    scheduler_.thaw(now);
}

void engine_model::crash(base::monotonic_time now) {
    run(now);
    down_ = true;
    for (auto& [attempt, entry] : attempts_) {
        if (!entry.ended) {
            executions_[record_index(attempt)].state = execution_state::failed;
        }
    }
    scheduler_.clear();
    cache_.clear();
    cache_.take_updates();
    journal_.reset();
    history_.clear();
    attempts_.clear();
    known_attempts_.clear();
    detached_.clear();
    ended_.clear();
    outputs_.clear();
    imports_.clear();
    adapter_loads_.clear();
    model_orders_.clear();
    model_ready_at_.reset();
}

void engine_model::restart(base::incarnation process, base::monotonic_time now) {
    run(now);
    process_ = process;
    down_ = false;
    leaving_ = false;
    role_ = engine::engine_role::general;
    model_ = settings_.model;
    version_ = settings_.version;
    adapters_ = settings_.adapters;
    highest_token_ = {};
}

}  // namespace ferryroad::emulator
