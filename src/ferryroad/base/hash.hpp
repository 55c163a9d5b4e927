/// @file
/// Non-cryptographic hashes (xxHash XXH3). Values are the same in all processes and on all
/// machines.
#pragma once

#include <cstdint>
#include <initializer_list>
#include <string_view>

namespace ferryroad::base {

/// @return the 64-bit XXH3 hash of `bytes` with `seed`; pass an earlier hash as `seed` to chain.
std::uint64_t hash_bytes(std::string_view bytes, std::uint64_t seed = 0);

/// @return the 64-bit XXH3 hash of two numbers, for hash chains and scores.
std::uint64_t hash_pair(std::uint64_t first, std::uint64_t second);

/// A 128-bit hash: wide enough that accidental collisions can be ruled out in practice.
struct hash128 {
    std::uint64_t high = 0;
    std::uint64_t low = 0;

    friend bool operator==(const hash128&, const hash128&) = default;
    friend bool operator<(const hash128& first, const hash128& second) {
        return first.high != second.high ? first.high < second.high : first.low < second.low;
    }
};

/// @return the 128-bit XXH3 hash of the hashes of the fields, in order. Hashing each field by
/// itself makes {"ab", "c"} and {"a", "bc"} differ. Thread-safe.
hash128 hash_fields(std::initializer_list<std::string_view> fields);

/// @return the score of `member` for `key` in rendezvous hashing; the member with the highest score
/// is chosen.
std::uint64_t rendezvous_score(std::uint64_t key, std::string_view member);

}  // namespace ferryroad::base
