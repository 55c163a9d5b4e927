/// @file
/// Cuts a prompt into pieces and names each by the hash of everything up to its end.
#pragma once

#include "ferryroad/base/ids.hpp"
#include "ferryroad/core/prefix/cache_namespace.hpp"

#include <cstddef>
#include <string_view>
#include <vector>

namespace ferryroad::core::prefix {

/// One token is taken for this many bytes of prompt wherever no tokenizer is at hand.
inline constexpr std::size_t bytes_per_token = 4;
/// Size of a piece where a model sets no other (the engines move about 1,000 tokens at once).
inline constexpr std::size_t default_piece_bytes = 1024 * bytes_per_token;

/// Hashes of a prompt's leading whole pieces: element n names pieces 0 to n together. The
/// rest that fills no piece is not cached by engines and has no hash. The first element is
/// called the root.
using piece_chain = std::vector<base::piece_hash>;

/// @param piece_bytes bytes of prompt in a piece, at least 1.
piece_chain hash_pieces(const cache_namespace& scope, std::string_view prompt,
                        std::size_t piece_bytes);

}  // namespace ferryroad::core::prefix
