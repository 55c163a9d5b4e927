#include "emulator/engine/engine_settings.hpp"

namespace ferryroad::emulator {

namespace {

using settings::presence;
using settings::range;

constexpr range any_count{1, 1e9};
constexpr range any_piece_bytes{4, 1e7};

void describe_place(settings::schema& schema, engine_settings& target) {
    schema.add("listen", "Address to listen on; port 0 takes a free one.", target.listen,
               presence::required);
    schema.add("name", "Name of this engine, unique over the whole system.", target.engine.name,
               presence::required);
    schema.add("zone", "Zone that this engine stands in.", target.zone, presence::required);
    schema.add("region", "Region of the zone.", target.region);
    schema.add("pool", "Pool that this engine joins.", target.pool, presence::required);
    schema.add("platform", "Address of the platform, whose machine list this engine joins.",
               target.platform);
    schema.add("incarnation", "Number of this process; 0 takes milliseconds since 1970.",
               target.incarnation);
    schema.add_choice("kind", "What is emulated.", target.kind, {"model", "application"});
    schema.add_choice("log_level", "Lowest level logged.", target.log_level,
                      {"debug", "info", "warning", "error"});
}

void describe_cache(settings::schema& schema, engine_settings& target) {
    engine_model_settings& engine = target.engine;
    schema.add("model", "Model that is loaded at the start.", engine.model);
    schema.add("version", "Weights version that is loaded at the start.", engine.version);
    schema.add("adapters", "Adapters that are loaded at the start.", target.adapters);
    schema.add("context_tokens", "Longest prompt and answer together, in tokens.",
               engine.context_tokens, any_count);
    schema.add("piece_bytes", "Bytes of prompt in a cached piece; as the model declares it.",
               engine.piece_bytes, any_piece_bytes);
    schema.add("capacity_pieces", "Pieces that the prefix cache holds.", engine.capacity_pieces,
               any_count);
    schema.add("transfer_ms", "Time to import one piece of warm state.", engine.transfer_per_piece);
    schema.add("event_lag_ms", "Delay of cache events.", engine.event_lag);
    schema.add("event_loss_interval", "Every n-th cache event is lost; 0 loses none.",
               engine.event_loss_interval);
}

void describe_speed(settings::schema& schema, engine_settings& target) {
    engine_model_settings& engine = target.engine;
    schema.add("prefill_tokens_per_second", "Rate of prefill.", engine.prefill_tokens_per_second,
               any_count);
    schema.add("prefill_chunk_tokens", "Tokens prefilled in one step at most.",
               engine.prefill_chunk_tokens, any_count);
    schema.add("decode_step_ms", "Time of a step, prefill not counted.", engine.decode_step);
    schema.add("decode_sequence_cost_us", "Microseconds that each sequence adds to a step.",
               target.decode_sequence_cost_us);
    schema.add("max_batch", "Sequences served together.", engine.max_batch, any_count);
    schema.add("queue_limit", "Requests that may wait; more are refused.", engine.queue_limit);
    schema.add("answer_tokens", "Answers stop by themselves here; 0 lets them run on.",
               engine.answer_tokens);
    schema.add("load_lag_ms", "Age of reported load figures.", engine.load_lag);
    schema.add("model_load_ms", "Time to load a model.", engine.model_load);
    schema.add("adapter_load_ms", "Time to load an adapter.", engine.adapter_load);
    schema.add("resume_window_ms", "Ended attempts can be resumed for so long.",
               engine.resume_window);
    schema.add("detached_limit_ms", "Attempts that nobody reads are cancelled after it.",
               engine.detached_limit);
    schema.add("service_ms", "Time of one call of an application.",
               target.application.service_time);
    schema.add("concurrent_calls", "Calls of an application at once; more are refused.",
               target.application.concurrent_calls, any_count);
}

}  // namespace

settings::schema describe(engine_settings& target) {
    settings::schema schema("ferry-engine", "Emulates a model engine or an application service.");
    describe_place(schema, target);
    describe_cache(schema, target);
    describe_speed(schema, target);
    return schema;
}

engine_model_settings model_settings(const engine_settings& settings) {
    engine_model_settings model = settings.engine;
    model.decode_sequence_cost = std::chrono::microseconds(settings.decode_sequence_cost_us);
    for (const std::string& adapter : settings.adapters) {
        model.adapters.emplace_back(adapter);
    }
    return model;
}

}  // namespace ferryroad::emulator
