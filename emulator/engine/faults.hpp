/// @file
/// Faults that a test bench sets on an emulated engine (`POST /emulator/faults`).
#pragma once

#include "ferryroad/base/time.hpp"
#include "ferryroad/engine/protocol/fields.hpp"

#include <cstdint>
#include <optional>
#include <string_view>

namespace ferryroad::emulator {

/// The decoded body of `POST /emulator/faults`; absent fields leave the faults unchanged.
struct fault_request {
    bool clear = false;  ///< Ends all faults in force first.
    std::optional<double> slow_factor;
    bool crash = false;
    base::duration restart =
        std::chrono::milliseconds(500);  ///< Delay from the crash to the restart.
    std::optional<base::duration> freeze;
    std::optional<std::uint32_t> cut_after_tokens;
    std::optional<std::uint32_t> lost_answers;
    std::optional<std::uint32_t> event_gap;
    std::optional<bool> leaving;
    std::optional<bool> refuse_overloaded;
};

/// @param body of `POST /emulator/faults`. @return the request, or why the body is invalid.
engine::protocol::decoded<fault_request> decode_faults(std::string_view body);

}  // namespace ferryroad::emulator
