#include "ferryroad/base/hash.hpp"

#include <array>
#include <vector>
#include <xxhash.h>

namespace ferryroad::base {

std::uint64_t hash_bytes(std::string_view bytes, std::uint64_t seed) {
    return XXH3_64bits_withSeed(bytes.data(), bytes.size(), seed);
}

std::uint64_t hash_pair(std::uint64_t first, std::uint64_t second) {
    const std::array<std::uint64_t, 2> both{first, second};
    return XXH3_64bits(both.data(), sizeof(both));
}

wide_hash hash_fields(std::initializer_list<std::string_view> fields) {
    std::vector<XXH128_hash_t> each;
    each.reserve(fields.size());
    for (const std::string_view field : fields) {
        each.push_back(XXH3_128bits(field.data(), field.size()));
    }
    const XXH128_hash_t all = XXH3_128bits(each.data(), each.size() * sizeof(XXH128_hash_t));
    return {all.high64, all.low64};
}

std::uint64_t rendezvous_score(std::uint64_t key, std::string_view member) {
    return hash_bytes(member, key);
}

}  // namespace ferryroad::base
