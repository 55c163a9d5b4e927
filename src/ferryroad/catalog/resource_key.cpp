#include "ferryroad/catalog/resource_key.hpp"

#include <array>

namespace ferryroad::catalog {

namespace {

constexpr std::array<std::string_view, 4> kind_names{"tenant", "model", "pool", "route"};

}  // namespace

std::string_view to_string(resource_kind kind) {
    return kind_names.at(static_cast<std::size_t>(kind));
}

resource_key make_key(resource_kind kind, std::string_view name) {
    std::string text(to_string(kind));
    text += '/';
    text += name;
    return resource_key(std::move(text));
}

std::optional<resource_name> split_key(const resource_key& key) {
    const std::size_t slash = key.value.find('/');
    if (slash == std::string::npos) {
        return std::nullopt;
    }
    const std::string_view kind = std::string_view(key.value).substr(0, slash);
    for (std::size_t index = 0; index < kind_names.size(); ++index) {
        if (kind_names.at(index) == kind) {
            return resource_name{static_cast<resource_kind>(index), key.value.substr(slash + 1)};
        }
    }
    return std::nullopt;
}

}  // namespace ferryroad::catalog
