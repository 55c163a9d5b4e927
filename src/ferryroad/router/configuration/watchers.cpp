#include "ferryroad/router/configuration/watchers.hpp"

#include <utility>

namespace ferryroad::router {

class revision_watchers::subscription final : public watch_subscription {
  public:
    subscription(std::weak_ptr<registry> owner, std::uint64_t id)
        : owner_(std::move(owner)), id_(id) {}
    subscription(const subscription&) = delete;
    subscription& operator=(const subscription&) = delete;
    ~subscription() override {
        if (const auto owner = owner_.lock()) {
            owner->watchers.erase(id_);
        }
    }

  private:
    std::weak_ptr<registry> owner_;
    std::uint64_t id_;
};

std::unique_ptr<watch_subscription> revision_watchers::add(revision_watcher watcher) {
    const std::uint64_t id = registry_->next_id++;
    registry_->watchers.emplace(id, std::make_shared<revision_watcher>(std::move(watcher)));
    return std::make_unique<subscription>(registry_, id);
}

void revision_watchers::notify(const revision_event& event) {
    const auto called = registry_->watchers;
    for (const auto& [id, watcher] : called) {
        if (registry_->watchers.contains(id)) {
            (*watcher)(event);
        }
    }
}

}  // namespace ferryroad::router
