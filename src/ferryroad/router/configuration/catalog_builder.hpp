/// @file
/// Conversions between the replicated configuration, which is text, and typed catalogs.
#pragma once

#include "ferryroad/catalog/codec.hpp"
#include "ferryroad/catalog/difference.hpp"
#include "ferryroad/catalog/types.hpp"
#include "ferryroad/coordination/configuration/types.hpp"

#include <memory>
#include <vector>

namespace ferryroad::router {

/// @return a copy of `from` with the step's differences applied. A resource that can't be decoded
/// is logged and keeps its previous value.
std::shared_ptr<const catalog::catalog> apply_step(
    const catalog::catalog& from, const coordination::configuration::applied_change& step);

/// Converts the keys of differences to those of the catalog.
std::vector<catalog::difference> to_catalog_differences(
    const std::vector<coordination::configuration::resource_difference>& differences);

/// @return the changes that turn `content` into `desired`.
std::vector<coordination::configuration::resource_change> changes_between(
    const coordination::configuration::resources& content, const catalog::catalog& desired);

}  // namespace ferryroad::router
