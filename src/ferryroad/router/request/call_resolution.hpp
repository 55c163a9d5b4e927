/// @file
/// Resolves a call's tenant, route and model in a configuration revision.
#pragma once

#include "ferryroad/catalog/types.hpp"
#include "ferryroad/router/request_types.hpp"

#include <boost/leaf/result.hpp>

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>

namespace ferryroad::router {

/// A call resolved in one configuration revision. The pointers are valid as long as
/// `configuration` is held.
struct resolved_call {
    std::shared_ptr<const catalog::catalog> configuration;
    const catalog::tenant* tenant = nullptr;
    const catalog::route* route = nullptr;
    const catalog::pool* pool = nullptr;
    const catalog::model* model = nullptr;  ///< Null for application calls.
    std::uint32_t prompt_tokens = 0;
    std::uint32_t max_tokens = 0;
};

/// Resolves calls. Errors are reported as LEAF error objects of type `refusal`.
class call_resolver {
  public:
    /// Resolves a generation call to the route of a model pool that serves its model at its path.
    /// If several match, the longest path prefix wins.
    boost::leaf::result<resolved_call> resolve(
        std::shared_ptr<const catalog::catalog> configuration, const generation_call& call);
    /// Resolves an application call to the route of an application pool that covers its path and
    /// method. If several match, the longest path prefix wins.
    boost::leaf::result<resolved_call> resolve(
        std::shared_ptr<const catalog::catalog> configuration, const application_call& call);

  private:
    boost::leaf::result<resolved_call> authenticate(
        std::shared_ptr<const catalog::catalog> configuration, std::string_view bearer_key);

    /// Tenants of `indexed_` by the SHA-256 digest of their key.
    std::unordered_map<std::string, const catalog::tenant*> tenants_by_key_;
    std::shared_ptr<const catalog::catalog> indexed_;
};

/// @return whether a route's prefix covers `path`. Only whole path segments match; the query
/// string is ignored.
bool covers_path(std::string_view prefix, std::string_view path);

}  // namespace ferryroad::router
