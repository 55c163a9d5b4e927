/// @file
/// Splits a prompt into pieces and identifies each by the hash of the prompt up to its end.
#pragma once

#include "ferryroad/base/ids.hpp"
#include "ferryroad/core/prefix/cache_namespace.hpp"

#include <cstddef>
#include <string_view>
#include <vector>

namespace ferryroad::core::prefix {

/// Bytes of prompt per token, for estimates without a tokenizer.
inline constexpr std::size_t bytes_per_token = 4;
/// Size of a piece unless the model sets another one. Engines transfer state in units of about
/// 1,000 tokens.
inline constexpr std::size_t default_piece_bytes = 1024 * bytes_per_token;

/// Hashes of a prompt's leading complete pieces: element n identifies pieces 0 to n together. An
/// incomplete piece at the end is not cached by engines and has no hash. The first element is
/// called the root.
using piece_chain = std::vector<base::piece_hash>;

/// Computes the piece hashes of a prompt. Thread-safe.
/// @param piece_bytes size of a piece in bytes, at least 1.
piece_chain hash_pieces(const cache_namespace& scope, std::string_view prompt,
                        std::size_t piece_bytes);

}  // namespace ferryroad::core::prefix
