#include "ferryroad/coordination/membership/member_table.hpp"

#include "ferryroad/base/hash.hpp"

#include <algorithm>
#include <utility>

namespace ferryroad::coordination::membership {

std::uint64_t digest_part(const member_update& update) {
    if (update.state == member_state::dead) {
        return 0;
    }
    const auto state = static_cast<std::uint64_t>(update.state);
    return base::hash_bytes(update.name.value, base::hash_pair(update.incarnation.value, state));
}

bool supersedes(const member_update& update, const member_update& known) {
    if (update.incarnation != known.incarnation) {
        return update.incarnation > known.incarnation;
    }
    return update.state > known.state;
}

member_record* member_table::find(const base::router_name& name) {
    const auto found = records_.find(name);
    return found == records_.end() ? nullptr : &found->second;
}

const member_record* member_table::find(const base::router_name& name) const {
    const auto found = records_.find(name);
    return found == records_.end() ? nullptr : &found->second;
}

void member_table::put(const member_update& update, base::monotonic_time now) {
    member_record* known = find(update.name);
    const bool was_live = known != nullptr && known->update.state != member_state::dead;
    if (known != nullptr) {
        count(known->update, false);
    }
    const bool differs = known != nullptr && known->view_differs;
    records_[update.name] = member_record{update, now, differs};
    count(update, true);
    const bool is_live = update.state != member_state::dead;
    if (is_live && !was_live) {
        add_live(update.name);
    } else if (!is_live && was_live) {
        remove_live(update.name);
    }
}

void member_table::count(const member_update& update, bool present) {
    digest_ ^= digest_part(update);
    if (update.state == member_state::suspect) {
        suspects_ += present ? 1 : -1;
    }
}

void member_table::forget_dead(base::monotonic_time before) {
    std::erase_if(records_, [&](const auto& entry) {
        const member_record& record = entry.second;
        return record.update.state == member_state::dead && record.changed_at < before;
    });
}

void member_table::add_live(const base::router_name& name) {
    // Insert at a random position in the rest of this round, so that the first probe comes at a
    // random time.
    const std::size_t left = probe_order_.size() - probe_cursor_;
    const std::size_t place = probe_cursor_ + random_.below(left + 1);
    probe_order_.insert(probe_order_.begin() + static_cast<std::ptrdiff_t>(place), name);
}

void member_table::remove_live(const base::router_name& name) {
    const auto found = std::find(probe_order_.begin(), probe_order_.end(), name);
    const auto place = static_cast<std::size_t>(found - probe_order_.begin());
    probe_order_.erase(found);
    if (place < probe_cursor_) {
        --probe_cursor_;
    }
}

std::optional<base::router_name> member_table::next_probe_target() {
    if (probe_order_.empty()) {
        return std::nullopt;
    }
    if (probe_cursor_ >= probe_order_.size()) {
        probe_cursor_ = 0;
        for (std::size_t last = probe_order_.size() - 1; last > 0; --last) {
            std::swap(probe_order_[last], probe_order_[random_.below(last + 1)]);
        }
    }
    return probe_order_[probe_cursor_++];
}

std::vector<const member_record*> member_table::sample_live(std::size_t count) const {
    std::vector<const member_record*> sample;
    if (probe_order_.empty()) {
        return sample;
    }
    // Take consecutive members from a random start; the order itself is shuffled.
    const std::size_t start = random_.below(probe_order_.size());
    const std::size_t size = std::min(count, probe_order_.size());
    for (std::size_t step = 0; step < size; ++step) {
        sample.push_back(find(probe_order_[(start + step) % probe_order_.size()]));
    }
    return sample;
}

const member_record* member_table::sample_dead() const {
    const std::size_t dead = records_.size() - probe_order_.size();
    if (dead == 0) {
        return nullptr;
    }
    std::size_t skip = random_.below(dead);
    for (const auto& [name, record] : records_) {
        if (record.update.state == member_state::dead && skip-- == 0) {
            return &record;
        }
    }
    return nullptr;
}

bool member_table::live_at(const base::endpoint& address) const {
    return std::any_of(records_.begin(), records_.end(), [&](const auto& entry) {
        const member_update& update = entry.second.update;
        return update.state != member_state::dead && update.address == address;
    });
}

}  // namespace ferryroad::coordination::membership
