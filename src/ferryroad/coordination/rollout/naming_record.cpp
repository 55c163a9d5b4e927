#include "ferryroad/coordination/rollout/naming_record.hpp"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

namespace ferryroad::coordination::rollout {

namespace {

namespace json = boost::json;

std::optional<std::int64_t> number_of(const json::value* value) {
    boost::system::error_code failure;
    if (value == nullptr || !value->is_number()) {
        return std::nullopt;
    }
    const auto number = value->to_number<std::int64_t>(failure);
    return failure ? std::nullopt : std::optional(number);
}

std::optional<std::vector<named_weights>> decode_versions(const json::value& value) {
    const json::array* list = value.if_array();
    if (list == nullptr) {
        return std::nullopt;
    }
    std::vector<named_weights> versions;
    for (const json::value& each : *list) {
        const json::object* one = each.if_object();
        const auto version = number_of(one ? one->if_contains("version") : nullptr);
        const auto after = number_of(one ? one->if_contains("accepted_after_ms") : nullptr);
        if (!version || !after || *version < 0) {
            return std::nullopt;
        }
        versions.push_back({static_cast<std::uint64_t>(*version), *after});
    }
    return versions;
}

}  // namespace

std::string encode(const naming_record& record) {
    json::object models;
    for (const auto& [model, versions] : record.models) {
        json::array list;
        for (const named_weights& one : versions) {
            list.push_back(
                json::object{{"version", one.version}, {"accepted_after_ms", one.accepted_after}});
        }
        models[model] = std::move(list);
    }
    return json::serialize(
        json::object{{"confirmed_at_ms", record.confirmed_at}, {"models", std::move(models)}});
}

std::optional<naming_record> decode_naming_record(std::string_view text) {
    boost::system::error_code failure;
    const json::value parsed = json::parse(text, failure);
    const json::object* fields = failure ? nullptr : parsed.if_object();
    const auto confirmed_at = number_of(fields ? fields->if_contains("confirmed_at_ms") : nullptr);
    const json::value* models = fields ? fields->if_contains("models") : nullptr;
    if (!confirmed_at || models == nullptr || !models->is_object()) {
        return std::nullopt;
    }
    naming_record record;
    record.confirmed_at = *confirmed_at;
    for (const auto& [model, list] : models->get_object()) {
        auto versions = decode_versions(list);
        if (!versions) {
            return std::nullopt;
        }
        record.models.emplace(std::string(model), std::move(*versions));
    }
    return record;
}

}  // namespace ferryroad::coordination::rollout
