/// @file
/// Those who follow the revisions.
#pragma once

#include "ferryroad/router/configuration/control.hpp"

#include <cstdint>
#include <map>
#include <memory>

namespace ferryroad::router {

/// Watchers may end their own or others' watches while being called.
class revision_watchers {
  public:
    std::unique_ptr<watch_subscription> add(revision_watcher watcher);
    void notify(const revision_event& event);

  private:
    struct registry {
        std::map<std::uint64_t, std::shared_ptr<revision_watcher>> watchers;
        std::uint64_t next_id = 0;
    };
    class subscription;

    std::shared_ptr<registry> registry_ = std::make_shared<registry>();
};

}  // namespace ferryroad::router
