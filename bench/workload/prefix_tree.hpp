/// @file
/// The texts of a corpus: nested prefixes, chosen by Zipf's law, with a hot set that shifts.
#pragma once

#include "bench/workload/specification.hpp"
#include "bench/workload/zipf.hpp"
#include "ferryroad/base/random.hpp"

#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

namespace ferryroad::bench::workload {

/// Deterministic: the same seed, corpus and random source give the same texts.
class prefix_tree {
  public:
    prefix_tree(const corpus& source, std::uint64_t seed);

    /// Draws the shared part of one prompt.
    /// @param shift number of hot-set shifts so far: each maps ranks to other nodes.
    std::string draw(base::random_source& random, std::uint64_t shift);

  private:
    const std::string& node_text(std::uint64_t node, std::size_t bytes);

    std::uint64_t seed_;
    std::vector<prefix_level> levels_;
    std::vector<weighted_choice> rank_choices_;
    std::unordered_map<std::uint64_t, std::string> texts_;
};

/// @return `bytes` of printable text that depends on nothing but `seed`.
std::string make_text(std::uint64_t seed, std::size_t bytes);

}  // namespace ferryroad::bench::workload
