#include "ferryroad/base/hash.hpp"

#include <array>
#include <xxhash.h>

namespace ferryroad::base {

std::uint64_t hash_bytes(std::string_view bytes, std::uint64_t seed) {
    return XXH3_64bits_withSeed(bytes.data(), bytes.size(), seed);
}

std::uint64_t hash_pair(std::uint64_t first, std::uint64_t second) {
    const std::array<std::uint64_t, 2> both{first, second};
    return XXH3_64bits(both.data(), sizeof(both));
}

std::uint64_t rendezvous_score(std::uint64_t key, std::string_view member) {
    return hash_bytes(member, key);
}

}  // namespace ferryroad::base
