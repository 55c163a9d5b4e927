#include "ferryroad/core/prefix/pieces.hpp"

#include "ferryroad/base/hash.hpp"

namespace ferryroad::core::prefix {

piece_chain hash_pieces(const cache_namespace& scope, std::string_view prompt,
                        std::size_t piece_bytes) {
    const std::size_t whole_pieces = prompt.size() / piece_bytes;
    piece_chain chain;
    chain.reserve(whole_pieces);
    std::uint64_t previous = scope.hash();
    for (std::size_t piece = 0; piece < whole_pieces; ++piece) {
        previous = base::hash_bytes(prompt.substr(piece * piece_bytes, piece_bytes), previous);
        chain.emplace_back(previous);
    }
    return chain;
}

}  // namespace ferryroad::core::prefix
