/// @file
/// The prompt that a model gets for a workload request.
#pragma once

#include "bench/workload/request.hpp"

#include <string>
#include <string_view>

namespace ferryroad::bench::load {

inline bool is_chat_path(std::string_view path) {
    return path.ends_with("/chat/completions");
}

/// Chats are rendered as routers do it: each message under its role, the assistant's turn last.
inline std::string rendered_prompt(const workload::workload_request& request) {
    if (!request.path || !is_chat_path(*request.path)) {
        return *request.prompt;
    }
    return "<|user|>\n" + *request.prompt + "\n<|assistant|>\n";
}

}  // namespace ferryroad::bench::load
