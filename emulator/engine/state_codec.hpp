/// @file
/// JSON encoding of the warm state that emulated engines exchange.
#pragma once

#include "emulator/engine/model_types.hpp"
#include "ferryroad/engine/protocol/fields.hpp"

#include <string>
#include <string_view>

namespace ferryroad::emulator {

std::string encode(const exported_state& state);
/// @return the state, or why `body` is invalid.
engine::protocol::decoded<exported_state> decode_state(std::string_view body);

}  // namespace ferryroad::emulator
