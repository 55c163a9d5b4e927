/// @file
/// Name of a declared resource over all kinds: `tenant/NAME`, `model/NAME`, `pool/NAME` or
/// `route/NAME`. Revisions of the configuration carry resources under these keys.
#pragma once

#include "ferryroad/base/strong_id.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace ferryroad::catalog {

enum class resource_kind { tenant, model, pool, route };

using resource_key = base::strong_id<struct catalog_resource_key_tag, std::string>;

/// A key taken apart.
struct resource_name {
    resource_kind kind{};
    std::string name;
};

/// @return "tenant", "model", "pool" or "route".
std::string_view to_string(resource_kind kind);

resource_key make_key(resource_kind kind, std::string_view name);

/// @return nothing where the key isn't `KIND/NAME` of a known kind.
std::optional<resource_name> split_key(const resource_key& key);

}  // namespace ferryroad::catalog
