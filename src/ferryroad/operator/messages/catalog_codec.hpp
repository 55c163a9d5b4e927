/// @file
/// Converts the catalog to and from the messages of schema/operator.proto.
#pragma once

#include "ferryroad/catalog/difference.hpp"
#include "ferryroad/catalog/errors.hpp"
#include "ferryroad/catalog/types.hpp"

#include <boost/leaf/result.hpp>

#include <operator/operator.pb.h>
#include <vector>

namespace ferryroad::operators {

/// Writes all resources to `into`; the revision isn't part of the message.
void encode_state(const catalog::catalog& declared, v1::DesiredState& into);

/// Converts and checks a desired state. A number that is 0 where 0 isn't a valid value is replaced
/// by its default.
/// @return the catalog, or `catalog::invalid_catalog` with every fault.
boost::leaf::result<catalog::catalog> decode_state(const v1::DesiredState& state);

/// Appends the differences to a repeated field.
void encode_differences(const std::vector<catalog::difference>& differences,
                        google::protobuf::RepeatedPtrField<v1::ResourceDifference>& into);

}  // namespace ferryroad::operators
