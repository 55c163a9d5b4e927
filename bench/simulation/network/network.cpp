#include "bench/simulation/network/network.hpp"

#include <algorithm>
#include <utility>
#include <vector>

namespace ferryroad::bench::simulation {

network::network(virtual_time& time, network_settings settings, fault_counts& faults)
    : time_(time), settings_(settings), faults_(faults) {}

network::~network() {
    std::vector<std::shared_ptr<channel>> busy;
    for (channel* line : busy_) {
        busy.push_back(line->shared_from_this());
    }
    for (const auto& line : busy) {
        line->close();
    }
}

void network::place(const base::endpoint& machine, machine_place where) {
    places_[machine] = std::move(where);
}

cut_id network::cut(machine_set left, machine_set right) {
    const cut_id id(next_cut_++);
    cuts_.emplace(id, cut_sets{std::move(left), std::move(right)});
    return id;
}

void network::heal(cut_id id) {
    cuts_.erase(id);
}

void network::heal_all() {
    cuts_.clear();
    slowed_.clear();
}

bool network::is_cut(const base::endpoint& from, const base::endpoint& to) const {
    return std::any_of(cuts_.begin(), cuts_.end(), [&](const auto& entry) {
        const cut_sets& sets = entry.second;
        return (sets.left.contains(from) && sets.right.contains(to)) ||
               (sets.left.contains(to) && sets.right.contains(from));
    });
}

void network::slow(const base::endpoint& machine, base::duration extra) {
    if (extra > base::duration::zero()) {
        slowed_[machine] = extra;
    } else {
        slowed_.erase(machine);
    }
}

base::duration network::base_latency(const base::endpoint& from, const base::endpoint& to) const {
    const auto left = places_.find(from);
    const auto right = places_.find(to);
    if (left == places_.end() || right == places_.end()) {
        return settings_.within_zone;
    }
    if (left->second.region != right->second.region) {
        return settings_.between_regions;
    }
    return left->second.zone == right->second.zone ? settings_.within_zone
                                                   : settings_.between_zones;
}

base::duration network::extra_of(const base::endpoint& machine) const {
    const auto found = slowed_.find(machine);
    return found == slowed_.end() ? base::duration::zero() : found->second;
}

base::duration network::latency(const base::endpoint& from, const base::endpoint& to) {
    const base::duration least = base_latency(from, to);
    const double jitter = settings_.jitter_share * time_.random().unit();
    const auto added =
        base::duration(static_cast<std::int64_t>(static_cast<double>(least.count()) * jitter));
    return least + added + extra_of(from) + extra_of(to);
}

bool network::happens(double share) {
    return share > 0 && time_.random().unit() < share;
}

void network::send_datagram(const base::endpoint& from, const base::endpoint& to,
                            const std::function<void()>& arrive) {
    if (is_cut(from, to)) {
        return;
    }
    if (happens(settings_.loss_share)) {
        faults_.add(fault_kind::datagram_lost);
        return;
    }
    if (happens(settings_.doubled_share)) {
        faults_.add(fault_kind::datagram_doubled);
        deliver_datagram(from, to, arrive);
    }
    deliver_datagram(from, to, arrive);
}

void network::deliver_datagram(const base::endpoint& from, const base::endpoint& to,
                               const std::function<void()>& arrive) {
    base::duration delay = latency(from, to);
    if (happens(settings_.reordered_share)) {
        faults_.add(fault_kind::datagram_reordered);
        delay += settings_.reorder_delay;
    }
    time_.after(delay, arrive);
}

std::shared_ptr<channel> channel::open(network& carrier, base::endpoint from, base::endpoint to) {
    return std::shared_ptr<channel>(new channel(carrier, std::move(from), std::move(to)));
}

channel::channel(network& carrier, base::endpoint from, base::endpoint to)
    : carrier_(carrier), from_(std::move(from)), to_(std::move(to)) {}

void channel::send(std::function<void()> arrive) {
    if (closed_) {
        return;
    }
    const base::monotonic_time due = carrier_.time().now() + carrier_.latency(from_, to_);
    last_due_ = std::max(last_due_, due);
    waiting_.push_back({last_due_, std::move(arrive)});
    if (waiting_.size() == 1) {
        carrier_.busy_.insert(this);
        schedule(last_due_);
    }
}

void channel::close() {
    closed_ = true;
    carrier_.busy_.erase(this);
    const auto dropped = std::exchange(waiting_, {});
}

void channel::schedule(base::monotonic_time when) {
    carrier_.time().at(when, [self = shared_from_this()] { self->deliver_first(); });
}

void channel::deliver_first() {
    if (waiting_.empty()) {
        return;
    }
    if (carrier_.is_cut(from_, to_)) {
        schedule(carrier_.time().now() + carrier_.settings().retransmission);
        return;
    }
    const std::function<void()> arrive = std::move(waiting_.front().arrive);
    waiting_.pop_front();
    if (waiting_.empty()) {
        carrier_.busy_.erase(this);
    } else {
        schedule(waiting_.front().due);
    }
    arrive();
}

}  // namespace ferryroad::bench::simulation
