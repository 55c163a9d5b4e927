/// @file
/// JSON form of the catalog: the desired-state file that operators write, and single
/// resources as revisions carry them.
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

/// Resources as canonical JSON: every field in a fixed order, no white space. Equal
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

/// Sets one resource from its canonical text. Fields that this version doesn't know are
/// passed over, as a newer router may have written them; references aren't checked.
/// @return `invalid_catalog` where key or text make no sense; `declared` is then unchanged.
leaf::result<void> put_resource(catalog& declared, const resource_key& key, std::string_view text);

/// Takes one resource away; an unknown key changes nothing.
void remove_resource(catalog& declared, const resource_key& key);

}  // namespace ferryroad::catalog
