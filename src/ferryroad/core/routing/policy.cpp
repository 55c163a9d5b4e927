#include "ferryroad/core/routing/policy.hpp"

#include "ferryroad/core/routing/cost_policy.hpp"
#include "ferryroad/core/routing/index_only.hpp"
#include "ferryroad/core/routing/least_loaded.hpp"
#include "ferryroad/core/routing/rendezvous.hpp"
#include "ferryroad/core/routing/rendezvous_bounded.hpp"
#include "ferryroad/core/routing/round_robin.hpp"

namespace ferryroad::core::routing {

namespace {

constexpr std::string_view cost_name = "cost";
constexpr std::string_view ideal_name = "ideal";

constexpr std::string_view names[] = {cost_name,
                                      round_robin::policy_name,
                                      least_loaded::policy_name,
                                      rendezvous::policy_name,
                                      rendezvous_bounded::policy_name,
                                      index_only::policy_name,
                                      ideal_name};

}  // namespace

std::span<const std::string_view> policy_names() {
    return names;
}

std::unique_ptr<policy> make_policy(std::string_view name) {
    if (name == cost_name) {
        return std::make_unique<cost_policy>(cost_name, candidate_scope::selected);
    }
    if (name == ideal_name) {
        return std::make_unique<cost_policy>(ideal_name, candidate_scope::all);
    }
    if (name == round_robin::policy_name) {
        return std::make_unique<round_robin>();
    }
    if (name == least_loaded::policy_name) {
        return std::make_unique<least_loaded>();
    }
    if (name == rendezvous::policy_name) {
        return std::make_unique<rendezvous>();
    }
    if (name == rendezvous_bounded::policy_name) {
        return std::make_unique<rendezvous_bounded>();
    }
    if (name == index_only::policy_name) {
        return std::make_unique<index_only>();
    }
    return nullptr;
}

}  // namespace ferryroad::core::routing
