/// @file
/// Prompt that the caller declares as a list of parts, so that its text need not be hashed.
#pragma once

#include "ferryroad/base/hash.hpp"
#include "ferryroad/base/ids.hpp"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace ferryroad::core::prefix {

/// One part of a prompt. Other prompts may share it.
struct prompt_part {
    std::string id;
    std::uint64_t tokens = 0;

    friend bool operator==(const prompt_part&, const prompt_part&) = default;
};

/// All parts of a prompt, root first, and the sizes of the whole request. The last part is specific
/// to the request; those before it may be shared with other requests.
struct declared_prompt {
    std::string model;
    std::vector<prompt_part> parts;
    std::uint64_t input_tokens = 0;
    std::uint64_t output_tokens = 0;  ///< Maximum number of tokens to generate.

    /// @return the number of shared parts.
    std::size_t shared_parts() const { return parts.empty() ? 0 : parts.size() - 1; }
    /// @return the number of tokens in the shared parts.
    std::uint64_t shared_tokens() const {
        std::uint64_t tokens = 0;
        for (std::size_t index = 0; index < shared_parts(); ++index) {
            tokens += parts[index].tokens;
        }
        return tokens;
    }

    friend bool operator==(const declared_prompt&, const declared_prompt&) = default;
};

/// Key of the state of one part within a scope.
using part_key = base::strong_id<struct part_key_tag, std::uint64_t>;

/// @param scope name of the scope; state is never shared between scopes.
inline part_key key_of(std::string_view scope, std::string_view model, std::string_view part) {
    return part_key(base::hash_bytes(part, base::hash_bytes(model, base::hash_bytes(scope))));
}

/// A shared part, identified within a scope.
struct scoped_part {
    part_key key;
    std::uint64_t tokens = 0;

    friend bool operator==(const scoped_part&, const scoped_part&) = default;
};

/// @return the shared parts, root first. The state of a part is usable only together with the state
/// of all parts before it.
inline std::vector<scoped_part> scoped_parts_of(const declared_prompt& prompt,
                                                std::string_view scope) {
    std::vector<scoped_part> scoped;
    scoped.reserve(prompt.shared_parts());
    for (std::size_t index = 0; index < prompt.shared_parts(); ++index) {
        const prompt_part& part = prompt.parts[index];
        scoped.push_back({key_of(scope, prompt.model, part.id), part.tokens});
    }
    return scoped;
}

/// @return the parts for a log line, as `KEY:TOKENS` separated by spaces.
inline std::string to_string(const std::vector<scoped_part>& parts) {
    std::string text;
    for (const scoped_part& part : parts) {
        text += text.empty() ? "" : " ";
        text += std::to_string(part.key.value) + ":" + std::to_string(part.tokens);
    }
    return text;
}

}  // namespace ferryroad::core::prefix
