/// @file
/// A prompt that the caller describes by its parts instead of sending text to be hashed.
#pragma once

#include "ferryroad/base/hash.hpp"
#include "ferryroad/base/ids.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace ferryroad::core::prefix {

/// One part of a prompt that other prompts may begin with, too.
struct prompt_part {
    std::string id;
    std::uint64_t tokens = 0;

    friend bool operator==(const prompt_part&, const prompt_part&) = default;
};

/// The leading parts that may be shared, root first, and the sizes of the whole request.
struct declared_prompt {
    std::string model;
    std::vector<prompt_part> parts;
    std::uint64_t input_tokens = 0;
    std::uint64_t output_tokens = 0;  ///< Most that is generated.

    friend bool operator==(const declared_prompt&, const declared_prompt&) = default;
};

/// One link of a prefix chain: names the parts up to and including one, within a scope.
struct prefix_link {
    base::piece_hash hash;
    std::uint64_t tokens = 0;  ///< Of all parts up to here.

    friend bool operator==(const prefix_link&, const prefix_link&) = default;
};

/// @param scope text that separates state that must never be shared.
/// @return one link a part, root first.
inline std::vector<prefix_link> chain_of(const declared_prompt& prompt, std::string_view scope) {
    std::vector<prefix_link> chain;
    chain.reserve(prompt.parts.size());
    std::uint64_t hash = base::hash_bytes(scope, base::hash_bytes(prompt.model));
    std::uint64_t tokens = 0;
    for (const prompt_part& part : prompt.parts) {
        hash = base::hash_bytes(part.id, hash);
        tokens += part.tokens;
        chain.push_back({base::piece_hash(hash), tokens});
    }
    return chain;
}

}  // namespace ferryroad::core::prefix
