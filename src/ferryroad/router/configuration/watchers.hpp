/// @file
/// The registered watchers of configuration revisions.
#pragma once

#include "ferryroad/router/configuration/control.hpp"

#include <cstdint>
#include <map>
#include <memory>

namespace ferryroad::router {

/// Not thread-safe. A watcher may end its own subscription or others while it is being called.
class revision_watchers {
  public:
    /// @return the subscription; destroying it removes the watcher. It may outlive this object.
    std::unique_ptr<watch_subscription> add(revision_watcher watcher);
    /// Calls all watchers, in the order in which they were added.
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
