/// @file
/// JSON encoding of the catalog: the desired-state file that operators write, and the single
/// resources that configuration revisions contain.
#pragma once

#include "ferryroad/catalog/errors.hpp"
#include "ferryroad/catalog/resource_key.hpp"
#include "ferryroad/catalog/types.hpp"

#include <boost/leaf/result.hpp>

#include <map>
#include <string>
#include <string_view>

namespace ferryroad::catalog {

namespace leaf = boost::leaf;

/// Resources in canonical JSON: all fields in a fixed order, without white space, so that equal
/// resources have equal text.
using resource_texts = std::map<resource_key, std::string>;

/// Reads `{"tenants":[…],"models":[…],"pools":[…],"routes":[…]}`. A tenant has either `key`
/// (the bearer key itself, kept only as its SHA-256) or `key_sha256`.
/// @return a valid catalog of revision 0, or `invalid_catalog` with every fault.
leaf::result<catalog> decode_desired_state(std::string_view json);

/// @return a desired-state file, indented, that decodes to the same catalog.
std::string encode_desired_state(const catalog& declared);

resource_texts encode_resources(const catalog& declared);
std::string encode(const tenant& value);
std::string encode(const model& value);
std::string encode(const pool& value);
std::string encode(const route& value);

/// Adds or replaces one resource, given as canonical JSON. Unknown fields are ignored, because a
/// router of a newer version may have written them. References aren't checked.
/// @return `invalid_catalog` where the key or the text is invalid; `declared` is then unchanged.
leaf::result<void> put_resource(catalog& declared, const resource_key& key, std::string_view text);

/// Removes one resource; an unknown key is ignored.
void remove_resource(catalog& declared, const resource_key& key);

}  // namespace ferryroad::catalog
