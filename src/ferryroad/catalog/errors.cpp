#include "ferryroad/catalog/errors.hpp"

namespace ferryroad::catalog {

std::string error::to_string() const {
    std::string text = resource;
    if (!field.empty()) {
        text += ": field \"" + field + "\"";
    }
    if (!value.empty()) {
        text += ": value " + value;
    }
    return text + ": expected " + expected;
}

std::string invalid_catalog::to_string() const {
    std::string text;
    for (const error& fault : faults) {
        if (!text.empty()) {
            text += '\n';
        }
        text += fault.to_string();
    }
    return text;
}

}  // namespace ferryroad::catalog
