/// @file
/// The catalog in the messages of schema/operator.proto.
#pragma once

#include "ferryroad/catalog/difference.hpp"
#include "ferryroad/catalog/errors.hpp"
#include "ferryroad/catalog/types.hpp"

#include <boost/leaf/result.hpp>

#include <operator/operator.pb.h>
#include <vector>

namespace ferryroad::operators {

void encode_state(const catalog::catalog& declared, v1::DesiredState& into);

/// Numbers that are 0 where 0 makes no sense stand for the default.
/// @return the catalog, or `catalog::invalid_catalog` with every fault.
boost::leaf::result<catalog::catalog> decode_state(const v1::DesiredState& state);

/// Appends the differences to a repeated field.
void encode_differences(const std::vector<catalog::difference>& differences,
                        google::protobuf::RepeatedPtrField<v1::ResourceDifference>& into);

}  // namespace ferryroad::operators
