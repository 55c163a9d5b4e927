/// @file
/// Encodes and decodes the rows and objects that store the configuration. The format is JSON.
#pragma once

#include "ferryroad/coordination/configuration/rows.hpp"

#include <boost/leaf/result.hpp>

#include <string>
#include <string_view>

namespace ferryroad::router {

/// Error object that the decoding functions load into `leaf::result`.
struct row_error {
    std::string message;
};

std::string encode_head(const coordination::configuration::head_row& head);
boost::leaf::result<coordination::configuration::head_row> decode_head(std::string_view text);

std::string encode_change(const coordination::configuration::change& added);
boost::leaf::result<coordination::configuration::change> decode_change(std::string_view text);

std::string encode_snapshot(const coordination::configuration::snapshot& state);
boost::leaf::result<coordination::configuration::snapshot> decode_snapshot(std::string_view text);

}  // namespace ferryroad::router
