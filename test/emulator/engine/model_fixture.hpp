/// @file
/// A small engine model and helpers to use it, for the tests in this folder.
#pragma once

#include "emulator/engine/engine_model.hpp"

#include <memory>
#include <string>
#include <vector>

namespace ferryroad::emulator::test {

using namespace std::chrono_literals;

inline base::monotonic_time at(base::duration since_start) {
    return base::monotonic_time(since_start);
}

inline const core::prefix::cache_namespace scope{
    base::tenant_name("aire"), base::model_name("m1"), base::weights_version("v1"), {}};

/// Pieces of 16 bytes (4 tokens), prefilled at 1,000 tokens a second.
inline engine_model_settings small_engine() {
    engine_model_settings settings;
    settings.name = base::engine_name("e1");
    settings.model = scope.model;
    settings.version = scope.version;
    settings.piece_bytes = 16;
    settings.capacity_pieces = 8;
    settings.prefill_tokens_per_second = 1000;
    settings.prefill_chunk_tokens = 8;
    settings.decode_step = 10ms;
    settings.decode_sequence_cost = 0ms;
    settings.max_batch = 2;
    settings.queue_limit = 2;
    return settings;
}

/// @return a prompt of `pieces` complete pieces; prompts of the same letter share their prefix.
inline std::string prompt_of(char letter, std::size_t pieces) {
    return std::string(pieces * 16, letter);
}

inline engine::generation_request request_of(const std::string& attempt, const std::string& prompt,
                                             std::uint32_t max_tokens = 3) {
    engine::generation_request request;
    request.request = base::request_id("r-" + attempt);
    request.attempt = base::attempt_id(attempt);
    request.scope = scope;
    request.expected_incarnation = base::incarnation(1);
    request.prompt = std::make_shared<const std::string>(prompt);
    request.max_tokens = max_tokens;
    return request;
}

/// The collected events of one attempt.
struct transcript {
    std::vector<std::uint32_t> indexes;
    std::string text;
    std::optional<engine::stream_started> started;
    std::optional<engine::stream_end> ended;
    base::monotonic_time first_token_at{};
};

inline transcript transcript_of(const std::vector<model_output>& outputs, attempt_handle attempt) {
    transcript collected;
    for (const model_output& output : outputs) {
        if (output.attempt != attempt) {
            continue;
        }
        if (const auto* started = std::get_if<engine::stream_started>(&output.event)) {
            collected.started = *started;
        } else if (const auto* token = std::get_if<engine::stream_token>(&output.event)) {
            if (collected.indexes.empty()) {
                collected.first_token_at = output.at;
            }
            collected.indexes.push_back(token->index);
            collected.text += token->text;
        } else if (const auto* end = std::get_if<engine::stream_end>(&output.event)) {
            collected.ended = *end;
        }
    }
    return collected;
}

}  // namespace ferryroad::emulator::test
