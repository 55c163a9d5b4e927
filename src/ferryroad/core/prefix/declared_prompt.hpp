/// @file
/// A prompt that the caller describes by its parts instead of sending text to be hashed.
#pragma once

#include "ferryroad/base/hash.hpp"
#include "ferryroad/base/ids.hpp"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace ferryroad::core::prefix {

/// One part of a prompt that other prompts may begin with, too.
struct prompt_part {
    std::string id;
    std::uint64_t tokens = 0;

    friend bool operator==(const prompt_part&, const prompt_part&) = default;
};

/// All parts of a prompt, root first, and the sizes of the whole request. The last part is
/// the request's own; those before it are shared with other requests.
struct declared_prompt {
    std::string model;
    std::vector<prompt_part> parts;
    std::uint64_t input_tokens = 0;
    std::uint64_t output_tokens = 0;  ///< Most that is generated.

    /// @return how many of the leading parts are shared.
    std::size_t shared_parts() const { return parts.empty() ? 0 : parts.size() - 1; }
    /// @return tokens of the shared parts.
    std::uint64_t shared_tokens() const {
        std::uint64_t tokens = 0;
        for (std::size_t index = 0; index < shared_parts(); ++index) {
            tokens += parts[index].tokens;
        }
        return tokens;
    }

    friend bool operator==(const declared_prompt&, const declared_prompt&) = default;
};

/// One link of a prefix chain: names the parts up to and including one, within a scope.
struct prefix_link {
    base::piece_hash hash;
    std::uint64_t tokens = 0;  ///< Of all parts up to here.

    friend bool operator==(const prefix_link&, const prefix_link&) = default;
};

/// @param scope text that separates state that must never be shared.
/// @return one link a shared part, root first.
inline std::vector<prefix_link> chain_of(const declared_prompt& prompt, std::string_view scope) {
    std::vector<prefix_link> chain;
    chain.reserve(prompt.shared_parts());
    std::uint64_t hash = base::hash_bytes(scope, base::hash_bytes(prompt.model));
    std::uint64_t tokens = 0;
    for (std::size_t index = 0; index < prompt.shared_parts(); ++index) {
        const prompt_part& part = prompt.parts[index];
        hash = base::hash_bytes(part.id, hash);
        tokens += part.tokens;
        chain.push_back({base::piece_hash(hash), tokens});
    }
    return chain;
}

}  // namespace ferryroad::core::prefix
