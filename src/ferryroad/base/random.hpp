/// @file
/// Injectable random numbers, so that a simulation can be replayed from its seed.
#pragma once

#include <cstdint>
#include <random>

namespace ferryroad::base {

/// Source of random numbers. Not thread-safe. Owned by the composition root; users hold a
/// reference.
class random_source {
  public:
    virtual ~random_source() = default;
    /// @return 64 uniformly distributed bits.
    virtual std::uint64_t next() = 0;

    /// @param bound exclusive upper bound, at least 1.
    /// @return a uniformly distributed number in [0, bound).
    std::uint64_t below(std::uint64_t bound) {
        return std::uniform_int_distribution<std::uint64_t>(0, bound - 1)(adapter_);
    }
    /// @return a uniformly distributed number in [0, 1).
    double unit() { return std::uniform_real_distribution<double>(0.0, 1.0)(adapter_); }

  private:
    /// Adapts `next` to the interface that the standard distributions expect.
    struct engine_adapter {
        using result_type = std::uint64_t;
        random_source& source;
        static constexpr result_type min() { return 0; }
        static constexpr result_type max() { return ~result_type{0}; }
        result_type operator()() { return source.next(); }
    };
    engine_adapter adapter_{*this};
};

/// Deterministic pseudo-random source: the same seed yields the same sequence.
class seeded_random final : public random_source {
  public:
    explicit seeded_random(std::uint64_t seed) : generator_(seed) {}
    std::uint64_t next() override { return generator_(); }

  private:
    std::mt19937_64 generator_;
};

}  // namespace ferryroad::base
