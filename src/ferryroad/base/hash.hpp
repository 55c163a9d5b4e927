/// @file
/// Hashing by xxHash (XXH3): stable between processes and machines.
#pragma once

#include <cstdint>
#include <initializer_list>
#include <string_view>

namespace ferryroad::base {

/// @return XXH3 of `bytes`, chained onto `seed`.
std::uint64_t hash_bytes(std::string_view bytes, std::uint64_t seed = 0);

/// @return XXH3 of two numbers, for chains and scores.
std::uint64_t hash_pair(std::uint64_t first, std::uint64_t second);

/// 128 bits: wide enough that different contents are not met with the same hash by chance.
struct wide_hash {
    std::uint64_t high = 0;
    std::uint64_t low = 0;

    friend bool operator==(const wide_hash&, const wide_hash&) = default;
    friend bool operator<(const wide_hash& first, const wide_hash& second) {
        return first.high != second.high ? first.high < second.high : first.low < second.low;
    }
};

/// @return XXH3 (128 bits) of the fields' own hashes in order, so that bytes can't move from one
/// field to the next unnoticed. Thread-safe.
wide_hash hash_fields(std::initializer_list<std::string_view> fields);

/// Score of `member` for `key` in rendezvous hashing: the highest score wins.
std::uint64_t rendezvous_score(std::uint64_t key, std::string_view member);

}  // namespace ferryroad::base
