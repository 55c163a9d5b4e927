/// @file
/// Hashing by xxHash (XXH3, 64 bits): stable between processes and machines.
#pragma once

#include <cstdint>
#include <string_view>

namespace ferryroad::base {

/// @return XXH3 of `bytes`, chained onto `seed`.
std::uint64_t hash_bytes(std::string_view bytes, std::uint64_t seed = 0);

/// @return XXH3 of two numbers, for chains and scores.
std::uint64_t hash_pair(std::uint64_t first, std::uint64_t second);

/// Score of `member` for `key` in rendezvous hashing: the highest score wins.
std::uint64_t rendezvous_score(std::uint64_t key, std::string_view member);

}  // namespace ferryroad::base
