#include "ferryroad/base/hash.hpp"

#include <array>
#include <vector>
#include <xxhash.h>

namespace ferryroad::base {

std::uint64_t hash_bytes(std::string_view bytes, std::uint64_t seed) {
    return XXH3_64bits_withSeed(bytes.data(), bytes.size(), seed);
}

std::uint64_t hash_pair(std::uint64_t first, std::uint64_t second) {
    const std::array<std::uint64_t, 2> numbers{first, second};
    return XXH3_64bits(numbers.data(), sizeof(numbers));
}

hash128 hash_fields(std::initializer_list<std::string_view> fields) {
    std::vector<XXH128_hash_t> field_hashes;
    field_hashes.reserve(fields.size());
    for (const std::string_view field : fields) {
        field_hashes.push_back(XXH3_128bits(field.data(), field.size()));
    }
    const XXH128_hash_t combined =
        XXH3_128bits(field_hashes.data(), field_hashes.size() * sizeof(XXH128_hash_t));
    return {combined.high64, combined.low64};
}

std::uint64_t rendezvous_score(std::uint64_t key, std::string_view member) {
    return hash_bytes(member, key);
}

}  // namespace ferryroad::base
