/// @file
/// Checks a catalog: values, uniqueness and references (route to pool, pool to model).
#pragma once

#include "ferryroad/catalog/errors.hpp"
#include "ferryroad/catalog/types.hpp"

#include <boost/leaf/result.hpp>

#include <vector>

namespace ferryroad::catalog {

/// @return all faults, ordered by tenants, models, pools, routes; empty where the catalog is valid.
std::vector<error> find_faults(const catalog& declared);

/// @return `invalid_catalog` with all faults where there are any.
boost::leaf::result<void> validate(const catalog& declared);

}  // namespace ferryroad::catalog
