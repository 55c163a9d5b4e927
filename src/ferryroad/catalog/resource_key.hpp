/// @file
/// Key of a declared resource, unique across all kinds: `tenant/NAME`, `model/NAME`, `pool/NAME` or
/// `route/NAME`. Configuration revisions refer to resources by these keys.
#pragma once

#include "ferryroad/base/strong_id.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace ferryroad::catalog {

enum class resource_kind { tenant, model, pool, route };

using resource_key = base::strong_id<struct catalog_resource_key_tag, std::string>;

/// The kind and the name in a resource key.
struct resource_name {
    resource_kind kind{};
    std::string name;
};

/// @return "tenant", "model", "pool" or "route".
std::string_view to_string(resource_kind kind);

resource_key make_key(resource_kind kind, std::string_view name);

/// @return kind and name; nothing where the key isn't `KIND/NAME` with a known kind.
std::optional<resource_name> split_key(const resource_key& key);

}  // namespace ferryroad::catalog
