/// @file
/// When which engine held which piece, as its event stream told. Pure.
#pragma once

#include "ferryroad/base/ids.hpp"
#include "ferryroad/engine/types.hpp"

#include <cstddef>
#include <optional>
#include <unordered_map>
#include <vector>

namespace ferryroad::bench::load {

/// Times are seconds since the run's start. Events come late by the engines' event lag, so
/// that what the history says of a moment is what could have been known then.
class cache_history {
  public:
    /// Takes one engine's events in their order.
    void accept(std::size_t engine, const engine::cache_event& event, double at);
    /// The engine lost its cache, or events of it were lost: nothing of it is held any more.
    void forget(std::size_t engine, double at);

    /// @return whether some engine held the piece at that moment.
    bool held(const base::piece_hash& piece, double at) const;

  private:
    struct holding {
        std::size_t engine = 0;
        double from = 0;
        std::optional<double> until;
    };
    std::unordered_map<base::piece_hash, std::vector<holding>> holdings_;
};

}  // namespace ferryroad::bench::load
