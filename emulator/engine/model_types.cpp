#include "emulator/engine/model_types.hpp"

#include "ferryroad/base/digest.hpp"

#include <initializer_list>

namespace ferryroad::emulator {

namespace {

constexpr std::size_t answer_digest_digits = 8;

}  // namespace

prompt_summary summarize_prompt(const core::prefix::cache_namespace& scope, std::string_view prompt,
                                std::size_t piece_bytes) {
    constexpr std::size_t round_up = core::prefix::bytes_per_token - 1;
    prompt_summary summary;
    summary.pieces = core::prefix::hash_pieces(scope, prompt, piece_bytes);
    summary.tokens =
        static_cast<std::uint32_t>((prompt.size() + round_up) / core::prefix::bytes_per_token);
    summary.sha256 = base::sha256_hex(prompt);
    return summary;
}

std::string answer_token(std::string_view prompt_sha256, std::uint32_t index) {
    std::string token(prompt_sha256.substr(0, answer_digest_digits));
    token += '.';
    token += std::to_string(index);
    token += ' ';
    return token;
}

std::string state_checksum(const exported_state& state) {
    std::string text;
    const auto add = [&text](std::string_view field) {
        text += std::to_string(field.size());
        text += ':';
        text += field;
    };
    for (const std::string* field : {&state.scope.tenant.value, &state.scope.model.value,
                                     &state.scope.version.value, &state.scope.adapter.value}) {
        add(*field);
    }
    for (const base::piece_hash& piece : state.pieces) {
        add(std::to_string(piece.value));
    }
    add(state.payload);
    return base::sha256_hex(text);
}

}  // namespace ferryroad::emulator
