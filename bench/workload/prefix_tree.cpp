#include "bench/workload/prefix_tree.hpp"

#include "ferryroad/base/hash.hpp"

#include <array>
#include <charconv>

namespace ferryroad::bench::workload {

namespace {

constexpr int hexadecimal = 16;

/// Places a rank on a node: after each shift other nodes hold the hot ranks.
std::uint64_t node_of_rank(std::uint64_t rank, std::uint64_t children, std::uint64_t shift,
                           std::uint64_t parent) {
    if (shift == 0) {
        return rank;
    }
    return (rank + base::hash_pair(parent, shift)) % children;
}

}  // namespace

std::string make_text(std::uint64_t seed, std::size_t bytes) {
    std::string text;
    text.reserve(bytes + hexadecimal + 1);
    for (std::uint64_t word = 0; text.size() < bytes; ++word) {
        std::array<char, hexadecimal> digits{};
        const auto written = std::to_chars(digits.data(), digits.data() + digits.size(),
                                           base::hash_pair(seed, word), hexadecimal);
        text.append(digits.data(), written.ptr);
        text.push_back(' ');
    }
    text.resize(bytes);
    return text;
}

prefix_tree::prefix_tree(const corpus& source, std::uint64_t seed)
    : seed_(base::hash_bytes(source.name, seed)), levels_(source.levels) {
    rank_choices_.reserve(levels_.size());
    for (const prefix_level& level : levels_) {
        rank_choices_.emplace_back(zipf_weights(level.children, source.zipf_exponent));
    }
}

std::string prefix_tree::draw(base::random_source& random, std::uint64_t shift) {
    std::string prefix;
    std::uint64_t node = seed_;
    for (std::size_t depth = 0; depth < levels_.size(); ++depth) {
        const prefix_level& level = levels_[depth];
        const std::uint64_t rank = rank_choices_[depth].draw(random);
        const std::uint64_t child = node_of_rank(rank, level.children, shift, node);
        node = base::hash_pair(node, child);
        prefix += node_text(node, level.bytes);
        if (random.unit() < level.stop_share) {
            break;
        }
    }
    return prefix;
}

const std::string& prefix_tree::node_text(std::uint64_t node, std::size_t bytes) {
    auto [entry, inserted] = texts_.try_emplace(node);
    if (inserted) {
        entry->second = make_text(node, bytes);
    }
    return entry->second;
}

}  // namespace ferryroad::bench::workload
