/// @file
/// Converts enumerators to and from their names in files and messages.
#pragma once

#include "ferryroad/catalog/types.hpp"

#include <optional>
#include <string_view>

namespace ferryroad::catalog {

std::string_view to_string(pool_kind kind);
std::optional<pool_kind> parse_pool_kind(std::string_view text);

std::string_view to_string(request_priority priority);
std::optional<request_priority> parse_priority(std::string_view text);

}  // namespace ferryroad::catalog
