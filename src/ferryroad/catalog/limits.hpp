/// @file
/// Limits of the values that operators may declare.
#pragma once

#include "ferryroad/catalog/field_reader.hpp"

#include <cstddef>

namespace ferryroad::catalog::limits {

inline constexpr std::size_t json_depth = 8;
inline constexpr std::size_t name_characters = 63;
inline constexpr std::size_t path_characters = 1024;
inline constexpr number_range rate{0, 1e9};
inline constexpr number_range concurrent_requests{0, 1e9};
inline constexpr number_range weight{0.001, 1000};
inline constexpr number_range context_tokens{1, 1e8};
inline constexpr number_range piece_bytes{16, 1 << 20};
inline constexpr number_range deadline_milliseconds{1, 24.0 * 3600 * 1000};
inline constexpr number_range recompute_price{0, 1000};
inline constexpr number_range retry_share{0, 1};
inline constexpr number_range max_tokens{1, 1e8};

}  // namespace ferryroad::catalog::limits
