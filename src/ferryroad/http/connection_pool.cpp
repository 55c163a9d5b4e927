#include "ferryroad/http/connection_pool.hpp"

#include "ferryroad/runtime/boot_clock.hpp"

#include <algorithm>

namespace ferryroad::http {

namespace {

/// How long before the server's announced idle timeout a connection is given up: a request sent
/// just before that timeout could cross the server's close.
constexpr base::duration idle_timeout_margin = std::chrono::milliseconds(500);

}  // namespace

connection_pool::connection_pool(runtime::scheduler& scheduler, client_limits limits)
    : scheduler_(scheduler), limits_(limits), sweep_timer_(scheduler.executor()) {}

std::shared_ptr<connection> connection_pool::take(const base::endpoint& address) {
    const auto found = idle_.find(address);
    if (found == idle_.end()) {
        return nullptr;
    }
    idle_list& list = found->second;
    const base::monotonic_time now = scheduler_.now();
    while (!list.empty()) {
        const idle_connection newest = std::move(list.back());
        list.pop_back();
        if (newest.until > now && newest.link->is_idle()) {
            return newest.link;
        }
        newest.link->close();
    }
    return nullptr;
}

bool connection_pool::has_idle_connection(const base::endpoint& address) const {
    const auto found = idle_.find(address);
    const bool any = found != idle_.end() && !found->second.empty();
    return any && found->second.back().until > scheduler_.now();
}

std::shared_ptr<connection> connection_pool::make() {
    return std::make_shared<connection>(connection::socket_type(scheduler_.executor()));
}

void connection_pool::put_back(const base::endpoint& address, std::shared_ptr<connection> link,
                               std::optional<base::duration> announced_idle_timeout) {
    const base::duration announced_limit =
        announced_idle_timeout.value_or(limits_.idle) - idle_timeout_margin;
    const base::duration idle_timeout =
        announced_idle_timeout ? std::min(limits_.idle, announced_limit) : limits_.idle;
    const bool keepable =
        limits_.idle_connections_per_address > 0 && idle_timeout > base::duration{};
    if (!keepable || !link->is_idle()) {
        link->close();
        return;
    }
    idle_list& list = idle_[address];
    list.push_back({std::move(link), scheduler_.now() + idle_timeout});
    if (list.size() > limits_.idle_connections_per_address) {
        list.front().link->close();
        list.pop_front();
    }
    start_sweeping();
}

void connection_pool::start_sweeping() {
    if (sweeping_) {
        return;
    }
    sweeping_ = true;
    sweep_timer_.expires_after(limits_.idle);
    sweep_timer_.async_wait([weak = weak_from_this()](boost::system::error_code) {
        if (const auto self = weak.lock()) {
            self->sweeping_ = false;
            self->close_expired();
        }
    });
}

void connection_pool::close_expired() {
    const base::monotonic_time now = scheduler_.now();
    for (auto& [address, list] : idle_) {
        std::erase_if(list, [now](const idle_connection& one) {
            if (one.until > now) {
                return false;
            }
            one.link->close();
            return true;
        });
    }
    std::erase_if(idle_, [](const auto& entry) { return entry.second.empty(); });
    if (!idle_.empty()) {
        start_sweeping();
    }
}

}  // namespace ferryroad::http
