#include "ferryroad/coordination/release/types.hpp"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <array>

namespace ferryroad::coordination::release {

namespace {

namespace json = boost::json;

constexpr std::array all_phases = {release_phase::trial, release_phase::promoted,
                                   release_phase::completed, release_phase::rolled_back};

template <typename Number>
std::optional<Number> number_of(const json::object& fields, std::string_view name) {
    boost::system::error_code failure;
    const json::value* value = fields.if_contains(name);
    if (value == nullptr || !value->is_number()) {
        return std::nullopt;
    }
    const auto number = value->to_number<Number>(failure);
    return failure ? std::nullopt : std::optional<Number>(number);
}

std::optional<std::string> text_of(const json::value* value) {
    const json::string* text = value ? value->if_string() : nullptr;
    return text ? std::optional(std::string(*text)) : std::nullopt;
}

std::optional<release_phase> phase_of(const json::object& fields) {
    const auto text = text_of(fields.if_contains("phase"));
    for (const release_phase phase : all_phases) {
        if (text && *text == to_string(phase)) {
            return phase;
        }
    }
    return std::nullopt;
}

json::array list_of(const std::set<software_version>& versions) {
    json::array list;
    for (const software_version& each : versions) {
        list.emplace_back(each.value);
    }
    return list;
}

std::optional<std::set<software_version>> versions_of(const json::object& fields,
                                                      std::string_view name) {
    const json::value* value = fields.if_contains(name);
    const json::array* list = value ? value->if_array() : nullptr;
    if (list == nullptr) {
        return std::nullopt;
    }
    std::set<software_version> versions;
    for (const json::value& each : *list) {
        auto text = text_of(&each);
        if (!text) {
            return std::nullopt;
        }
        versions.emplace(std::move(*text));
    }
    return versions;
}

std::optional<bool> flag_of(const json::object& fields, std::string_view name) {
    const json::value* value = fields.if_contains(name);
    const bool* flag = value ? value->if_bool() : nullptr;
    return flag ? std::optional(*flag) : std::nullopt;
}

}  // namespace

std::string_view to_string(release_phase phase) {
    switch (phase) {
        case release_phase::trial:
            return "trial";
        case release_phase::promoted:
            return "promoted";
        case release_phase::completed:
            return "completed";
        case release_phase::rolled_back:
            return "rolled_back";
    }
    return "unknown";
}

std::string encode(const release_record& record) {
    return json::serialize(json::object{{"order", record.order.value},
                                        {"target", record.target.value},
                                        {"phase", to_string(record.phase)},
                                        {"status_told", record.status_told},
                                        {"ordered_after_ms", record.ordered_after},
                                        {"refused", list_of(record.refused)},
                                        {"replaced", list_of(record.replaced)}});
}

std::optional<release_record> decode_release_record(std::string_view text) {
    boost::system::error_code failure;
    const json::value parsed = json::parse(text, failure);
    const json::object* fields = failure ? nullptr : parsed.if_object();
    if (fields == nullptr) {
        return std::nullopt;
    }
    const auto order = number_of<std::uint64_t>(*fields, "order");
    auto target = text_of(fields->if_contains("target"));
    const auto phase = phase_of(*fields);
    const auto status_told = flag_of(*fields, "status_told");
    const auto ordered_after = number_of<store_milliseconds>(*fields, "ordered_after_ms");
    auto refused = versions_of(*fields, "refused");
    auto replaced = versions_of(*fields, "replaced");
    if (!order || !target || !phase || !status_told || !ordered_after || !refused || !replaced) {
        return std::nullopt;
    }
    return release_record{order_number(*order),
                          software_version(std::move(*target)),
                          *phase,
                          *status_told,
                          *ordered_after,
                          std::move(*refused),
                          std::move(*replaced)};
}

}  // namespace ferryroad::coordination::release
