/// @file
/// Randomness as a dependency, so that a run can be replayed from its seed.
#pragma once

#include <cstdint>
#include <random>

namespace ferryroad::base {

/// Source of random numbers. Not thread-safe; borrowed from the composition root.
class random_source {
  public:
    virtual ~random_source() = default;
    /// @return 64 uniform bits.
    virtual std::uint64_t next() = 0;

    /// @param bound exclusive upper bound, at least 1.
    /// @return a uniform number in [0, bound).
    std::uint64_t below(std::uint64_t bound) {
        return std::uniform_int_distribution<std::uint64_t>(0, bound - 1)(adapter_);
    }
    /// @return a uniform number in [0, 1).
    double unit() { return std::uniform_real_distribution<double>(0.0, 1.0)(adapter_); }

  private:
    /// Lets the standard distributions draw from `next`.
    struct engine_adapter {
        using result_type = std::uint64_t;
        random_source& source;
        static constexpr result_type min() { return 0; }
        static constexpr result_type max() { return ~result_type{0}; }
        result_type operator()() { return source.next(); }
    };
    engine_adapter adapter_{*this};
};

/// Deterministic source: the same seed gives the same numbers.
class seeded_random final : public random_source {
  public:
    explicit seeded_random(std::uint64_t seed) : generator_(seed) {}
    std::uint64_t next() override { return generator_(); }

  private:
    std::mt19937_64 generator_;
};

}  // namespace ferryroad::base
