/// @file
/// Checks a whole catalog: values, uniqueness and references (route to pool to model).
#pragma once

#include "ferryroad/catalog/errors.hpp"
#include "ferryroad/catalog/types.hpp"

#include <boost/leaf/result.hpp>

#include <vector>

namespace ferryroad::catalog {

/// @return every fault, in the order of tenants, models, pools, routes; empty where valid.
std::vector<error> find_faults(const catalog& declared);

/// @return `invalid_catalog` where there is a fault.
boost::leaf::result<void> validate(const catalog& declared);

}  // namespace ferryroad::catalog
