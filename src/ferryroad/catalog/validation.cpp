#include "ferryroad/catalog/validation.hpp"

#include "ferryroad/catalog/limits.hpp"
#include "ferryroad/catalog/names.hpp"
#include "ferryroad/catalog/resource_key.hpp"

#include <boost/leaf/error.hpp>

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <utility>

namespace ferryroad::catalog {

namespace {

constexpr std::size_t sha256_hex_digits = 64;

bool is_letter_or_digit(char character) {
    return (character >= 'a' && character <= 'z') || (character >= 'A' && character <= 'Z') ||
           (character >= '0' && character <= '9');
}

bool is_name(std::string_view text) {
    return !text.empty() && text.size() <= limits::name_characters &&
           std::all_of(text.begin(), text.end(), [](char character) {
               return is_letter_or_digit(character) || character == '.' || character == '_' ||
                      character == '-';
           });
}

bool is_sha256(std::string_view text) {
    return text.size() == sha256_hex_digits &&
           text.find_first_not_of("0123456789abcdef") == std::string_view::npos;
}

bool is_path_prefix(std::string_view text) {
    return text.starts_with('/') && text.size() <= limits::path_characters &&
           std::all_of(text.begin(), text.end(), [](char character) {
               return character > ' ' && character < '\x7f' && character != '?' && character != '#';
           });
}

bool is_method(std::string_view text) {
    return !text.empty() && std::all_of(text.begin(), text.end(), [](char character) {
        return character >= 'A' && character <= 'Z';
    });
}

std::string quoted(std::string_view text) {
    std::string result(1, '"');
    result += text;
    result += '"';
    return result;
}

/// Collects the faults of one resource.
class fault_list {
  public:
    fault_list(resource_kind kind, std::string_view name, std::vector<error>& faults)
        : resource_(make_key(kind, name).value), faults_(faults) {}

    void add(error_code code, std::string field, std::string value, std::string expected) {
        faults_.push_back(
            {code, resource_, std::move(field), std::move(value), std::move(expected)});
    }

    void require(bool holds, std::string field, std::string_view value, std::string expected) {
        if (!holds) {
            add(error_code::invalid_value, std::move(field), quoted(value), std::move(expected));
        }
    }

    void require_name(std::string field, std::string_view value) {
        require(is_name(value), std::move(field), value,
                "1 to " + std::to_string(limits::name_characters) +
                    " letters, digits, dots, dashes or underscores");
    }

    void require_range(std::string field, double value, number_range range) {
        if (!(value >= range.least && value <= range.greatest)) {
            add(error_code::invalid_value, std::move(field), std::to_string(value),
                "a number from " + std::to_string(range.least) + " to " +
                    std::to_string(range.greatest));
        }
    }

    template <typename Ids>
    void require_names_once(const std::string& field, const Ids& ids) {
        std::set<std::string> seen;
        for (const auto& id : ids) {
            require_name(field, id.value);
            if (!seen.insert(id.value).second) {
                add(error_code::duplicate, field, quoted(id.value), "each name once");
            }
        }
    }

    const std::string& resource() const { return resource_; }

  private:
    std::string resource_;
    std::vector<error>& faults_;
};

void check_tenants(const catalog& declared, std::vector<error>& faults) {
    std::map<std::string, std::string> owners;
    for (const auto& [name, tenant] : declared.tenants) {
        fault_list found(resource_kind::tenant, name.value, faults);
        found.require_name("name", name.value);
        found.require(is_sha256(tenant.key_sha256), "key_sha256", tenant.key_sha256,
                      "64 lower-case hex digits");
        found.require_range("requests_per_second", tenant.limits.requests_per_second, limits::rate);
        found.require_range("request_burst", tenant.limits.request_burst, limits::rate);
        found.require_range("concurrent_requests", tenant.limits.concurrent_requests,
                            limits::concurrent_requests);
        found.require_range("weight", tenant.weight, limits::weight);
        const auto [owner, first] = owners.emplace(tenant.key_sha256, found.resource());
        if (!first) {
            found.add(error_code::duplicate, "key_sha256", quoted(tenant.key_sha256),
                      "a key of its own, other than that of " + owner->second);
        }
    }
}

void check_models(const catalog& declared, std::vector<error>& faults) {
    for (const auto& [name, model] : declared.models) {
        fault_list found(resource_kind::model, name.value, faults);
        found.require_name("name", name.value);
        found.require_name("version", model.version.value);
        found.require_range("context_tokens", model.context_tokens, limits::context_tokens);
        found.require_range("piece_bytes", model.piece_bytes, limits::piece_bytes);
        found.require_names_once("adapters", model.adapters);
    }
}

void check_pools(const catalog& declared, std::vector<error>& faults) {
    for (const auto& [name, pool] : declared.pools) {
        fault_list found(resource_kind::pool, name.value, faults);
        found.require_name("name", name.value);
        found.require_names_once("drained", pool.drained);
        if (pool.kind == pool_kind::application) {
            found.require(pool.model.value.empty(), "model", pool.model.value,
                          "no model in a pool of kind application");
        } else if (!declared.models.contains(pool.model)) {
            found.add(error_code::unknown_reference, "model", quoted(pool.model.value),
                      "the name of a declared model");
        }
    }
}

bool share_a_method(const route& first, const route& second) {
    if (first.methods.empty() || second.methods.empty()) {
        return true;  // A route without methods accepts all methods.
    }
    return std::find_first_of(first.methods.begin(), first.methods.end(), second.methods.begin(),
                              second.methods.end()) != first.methods.end();
}

void check_route_values(const route& route, fault_list& found) {
    found.require_name("name", route.name.value);
    found.require(is_path_prefix(route.path_prefix), "path_prefix", route.path_prefix,
                  "a path that begins with / and has no space, query or fragment");
    for (const std::string& method : route.methods) {
        found.require(is_method(method), "methods", method, "HTTP methods in capital letters");
    }
    found.require_range("deadline_ms", static_cast<double>(base::to_milliseconds(route.deadline)),
                        limits::deadline_milliseconds);
    found.require_range("recompute_price", route.recompute_price, limits::recompute_price);
    found.require_range("retry_share", route.retry_share, limits::retry_share);
    found.require_range("default_max_tokens", route.default_max_tokens, limits::max_tokens);
    if (route.hedge && !route.repeatable) {
        found.add(error_code::invalid_value, "hedge", "true",
                  "false where the route is not repeatable");
    }
}

void check_routes(const catalog& declared, std::vector<error>& faults) {
    std::multimap<std::string_view, const route*> by_path;
    for (const auto& [name, route] : declared.routes) {
        fault_list found(resource_kind::route, name.value, faults);
        check_route_values(route, found);
        if (!declared.pools.contains(route.pool)) {
            found.add(error_code::unknown_reference, "pool", quoted(route.pool.value),
                      "the name of a declared pool");
        }
        const auto [begin, end] = by_path.equal_range(route.path_prefix);
        for (auto other = begin; other != end; ++other) {
            if (share_a_method(*other->second, route)) {
                found.add(error_code::duplicate, "path_prefix", quoted(route.path_prefix),
                          "a path and methods other than those of " +
                              make_key(resource_kind::route, other->second->name.value).value);
            }
        }
        by_path.emplace(route.path_prefix, &route);
    }
}

}  // namespace

std::vector<error> find_faults(const catalog& declared) {
    std::vector<error> faults;
    check_tenants(declared, faults);
    check_models(declared, faults);
    check_pools(declared, faults);
    check_routes(declared, faults);
    return faults;
}

boost::leaf::result<void> validate(const catalog& declared) {
    std::vector<error> faults = find_faults(declared);
    if (!faults.empty()) {
        return boost::leaf::new_error(invalid_catalog{std::move(faults)});
    }
    return {};
}

}  // namespace ferryroad::catalog
