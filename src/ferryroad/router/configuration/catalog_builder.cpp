#include "ferryroad/router/configuration/catalog_builder.hpp"

#include "ferryroad/runtime/log.hpp"

#include <boost/leaf/handle_errors.hpp>

#include <string>
#include <utility>

namespace ferryroad::router {

namespace {

namespace leaf = boost::leaf;
namespace configuration = coordination::configuration;

void log_unreadable(const catalog::resource_key& key, const std::string& message) {
    runtime::log(runtime::log_level::error, "router.configuration",
                 "can't decode a resource of the configuration; keeping its previous value",
                 {{"resource", key.value}, {"fault", message}});
}

void put_or_log(catalog::catalog& target, const catalog::resource_key& key,
                const std::string& text) {
    leaf::try_handle_all(
        [&]() -> leaf::result<void> { return catalog::put_resource(target, key, text); },
        [&](const catalog::invalid_catalog& invalid) { log_unreadable(key, invalid.to_string()); },
        [&]() { log_unreadable(key, "unknown error"); });
}

}  // namespace

std::shared_ptr<const catalog::catalog> apply_step(const catalog::catalog& from,
                                                   const configuration::applied_change& step) {
    auto next = std::make_shared<catalog::catalog>(from);
    next->revision = step.revision;
    for (const configuration::resource_difference& difference : step.differences) {
        const catalog::resource_key key(difference.key.value);
        if (difference.after) {
            put_or_log(*next, key, *difference.after);
        } else {
            catalog::remove_resource(*next, key);
        }
    }
    return next;
}

std::vector<catalog::difference> to_catalog_differences(
    const std::vector<configuration::resource_difference>& differences) {
    std::vector<catalog::difference> converted;
    converted.reserve(differences.size());
    for (const configuration::resource_difference& difference : differences) {
        converted.push_back(
            {catalog::resource_key(difference.key.value), difference.before, difference.after});
    }
    return converted;
}

std::vector<configuration::resource_change> changes_between(const configuration::resources& content,
                                                            const catalog::catalog& desired) {
    configuration::resources wanted;
    for (auto& [key, text] : catalog::encode_resources(desired)) {
        wanted.emplace(configuration::resource_key(key.value), text);
    }
    return configuration::to_changes(configuration::find_differences(content, wanted));
}

}  // namespace ferryroad::router
