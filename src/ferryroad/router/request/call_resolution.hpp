/// @file
/// Finds a call's tenant, route and model in the configuration in force.
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

/// What a call is, under one configuration. The pointers live as long as `configuration`.
struct resolved_call {
    std::shared_ptr<const catalog::catalog> configuration;
    const catalog::tenant* tenant = nullptr;
    const catalog::route* route = nullptr;
    const catalog::pool* pool = nullptr;
    const catalog::model* model = nullptr;  ///< Null for application calls.
    std::uint32_t prompt_tokens = 0;
    std::uint32_t max_tokens = 0;
};

/// Resolves calls. Errors are LEAF error objects of type `refusal`.
class call_resolver {
  public:
    /// A route of a model pool that serves the model at the call's path.
    boost::leaf::result<resolved_call> resolve(
        std::shared_ptr<const catalog::catalog> configuration, const generation_call& call);
    /// A route of an application pool at the call's path and method.
    boost::leaf::result<resolved_call> resolve(
        std::shared_ptr<const catalog::catalog> configuration, const application_call& call);

  private:
    boost::leaf::result<resolved_call> authenticate(
        std::shared_ptr<const catalog::catalog> configuration, std::string_view bearer_key);

    /// Tenants of `indexed_` by the digest of their key.
    std::unordered_map<std::string, const catalog::tenant*> tenants_by_key_;
    std::shared_ptr<const catalog::catalog> indexed_;
};

/// @return whether a route's prefix covers `path`: whole segments only, query ignored.
bool covers_path(std::string_view prefix, std::string_view path);

}  // namespace ferryroad::router
