/// @file
/// Encoding and decoding of the bodies of the platform protocol
/// (docs/reference/platform-protocol.md), used by the clients and by the emulated platform.
#pragma once

#include "ferryroad/http/errors.hpp"
#include "ferryroad/platform/services.hpp"
#include "ferryroad/runtime/task.hpp"

#include <string>
#include <string_view>
#include <vector>

namespace ferryroad::platform {

/// A decoded body, or `malformed` with the name of the invalid field.
template <typename T>
using decoded = runtime::result<T, http::error>;

std::string encode_transactions(const std::vector<transaction>& transactions);
decoded<std::vector<transaction>> decode_transactions(std::string_view body);

std::string encode_outcomes(const std::vector<transaction_outcome>& outcomes);
decoded<std::vector<transaction_outcome>> decode_outcomes(std::string_view body);

std::string encode_keys(const std::vector<row_key>& keys);
decoded<std::vector<row_key>> decode_keys(std::string_view body);

std::string encode_rows(const std::vector<row>& rows);
decoded<std::vector<row>> decode_rows(std::string_view body);

std::string encode_machine(const machine& one);
decoded<machine> decode_machine(std::string_view body);

std::string encode_machines(const std::vector<machine>& machines);
decoded<std::vector<machine>> decode_machines(std::string_view body);

}  // namespace ferryroad::platform
