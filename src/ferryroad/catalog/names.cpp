#include "ferryroad/catalog/names.hpp"

namespace ferryroad::catalog {

std::string_view to_string(pool_kind kind) {
    return kind == pool_kind::model ? "model" : "application";
}

std::optional<pool_kind> parse_pool_kind(std::string_view text) {
    for (const pool_kind kind : {pool_kind::model, pool_kind::application}) {
        if (to_string(kind) == text) {
            return kind;
        }
    }
    return std::nullopt;
}

std::string_view to_string(request_priority priority) {
    switch (priority) {
        case request_priority::low:
            return "low";
        case request_priority::normal:
            return "normal";
        case request_priority::high:
            return "high";
    }
    return "";
}

std::optional<request_priority> parse_priority(std::string_view text) {
    for (const request_priority priority :
         {request_priority::low, request_priority::normal, request_priority::high}) {
        if (to_string(priority) == text) {
            return priority;
        }
    }
    return std::nullopt;
}

}  // namespace ferryroad::catalog
