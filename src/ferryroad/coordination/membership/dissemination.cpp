#include "ferryroad/coordination/membership/dissemination.hpp"

#include <algorithm>
#include <cmath>

namespace ferryroad::coordination::membership {

dissemination::dissemination(const detector_settings& settings, const member_update& self,
                             const member_table& table, base::monotonic_time now)
    : settings_(settings),
      self_(self),
      table_(table),
      allowance_(settings.entries_burst),
      now_(now) {}

void dissemination::advance(base::monotonic_time now) {
    const double earned = base::to_seconds(now - now_) * settings_.entries_per_second;
    allowance_ = std::min(settings_.entries_burst, allowance_ + std::max(earned, 0.0));
    now_ = std::max(now, now_);
    std::erase_if(latest_, [&](const latest_change& change) {
        return now_ - change.at > settings_.repair_time;
    });
    std::erase_if(notices_, [&](const auto& entry) {
        const bool old = now_ - entry.second.since > settings_.notice_retention;
        if (old) {
            notice_updates_.remove(entry.first);
        }
        return old;
    });
}

void dissemination::member_changed(const base::router_name& name) {
    std::erase_if(latest_, [&](const latest_change& change) { return change.name == name; });
    latest_.push_front({name, now_});
    if (latest_.size() > settings_.repairs_per_datagram) {
        latest_.pop_back();
    }
    member_updates_.add(name.value);
}

void dissemination::peer_lacks_member(const base::router_name& name) {
    member_updates_.add(name.value);
}

void dissemination::view_matched() {
    member_updates_.credit(transmission_limit());
}

bool dissemination::spread(const notice& message) {
    const auto known = notices_.find(message.subject);
    if (known != notices_.end()) {
        const notice& held = known->second.message;
        const bool is_newer = message.version > held.version ||
                              (message.version == held.version && message.raised && !held.raised);
        if (!is_newer) {
            return false;
        }
    } else if (notices_.size() >= settings_.max_notices) {
        return false;
    }
    notices_[message.subject] = stored_notice{message, now_};
    notice_updates_.add(message.subject);
    return true;
}

bool dissemination::set_revision(std::uint64_t revision) {
    if (revision <= revision_) {
        return false;
    }
    revision_ = revision;
    revision_transmissions_left_ = transmission_limit();
    return true;
}

bool dissemination::has_updates() const {
    const bool entries = !member_updates_.empty() || !notice_updates_.empty();
    return (entries && allowance_ >= 1.0) || revision_transmissions_left_ > 0;
}

void dissemination::fill(datagram& message, const member_record* receiver) {
    message.revision = revision_;
    if (revision_transmissions_left_ > 0) {
        --revision_transmissions_left_;
    }
    add_notices(message);
    add_updates(message, receiver);
    if (receiver != nullptr && receiver->view_differs) {
        add_repairs(message);
    }
}

void dissemination::add_notices(datagram& message) {
    const std::size_t wanted = std::min(settings_.notices_per_datagram, notice_updates_.size());
    const std::size_t count = take_allowance(wanted);
    for (const std::string& subject : notice_updates_.take(count, transmission_limit())) {
        const auto held = notices_.find(subject);
        if (held != notices_.end()) {
            message.notices.push_back(held->second.message);
        }
    }
}

void dissemination::add_updates(datagram& message, const member_record* receiver) {
    // A receiver that is suspected or declared dead gets its own state first, so that it can refute
    // it.
    const bool accused = receiver != nullptr && (receiver->update.state == member_state::suspect ||
                                                 receiver->update.state == member_state::dead);
    if (accused) {
        message.members.push_back(receiver->update);
    }
    const std::size_t room = settings_.members_per_datagram - message.members.size();
    const std::size_t count = take_allowance(std::min(room, member_updates_.size()));
    for (const std::string& subject : member_updates_.take(count, transmission_limit())) {
        add_member(message, base::router_name(subject));
    }
}

void dissemination::add_repairs(datagram& message) {
    const std::size_t room = settings_.members_per_datagram - message.members.size();
    const std::size_t wanted = std::min({room, settings_.repairs_per_datagram, latest_.size()});
    const std::size_t count = take_allowance(wanted);
    for (std::size_t index = 0; index < count; ++index) {
        add_member(message, latest_[index].name);
    }
}

void dissemination::add_member(datagram& message, const base::router_name& name) {
    const auto& members = message.members;
    const bool listed = std::any_of(members.begin(), members.end(),
                                    [&](const auto& member) { return member.name == name; });
    const member_record* record = table_.find(name);
    if (listed) {
        return;
    }
    if (name == self_.name) {
        message.members.push_back(self_);
    } else if (record != nullptr) {
        message.members.push_back(record->update);
    }
}

std::uint32_t dissemination::transmission_limit() const {
    const double doublings = std::log2(static_cast<double>(table_.live_count()) + 2.0);
    return static_cast<std::uint32_t>(
        std::ceil(settings_.transmissions + settings_.transmissions_per_doubling * doublings));
}

std::size_t dissemination::take_allowance(std::size_t wanted) {
    const std::size_t taken = std::min(wanted, static_cast<std::size_t>(allowance_));
    allowance_ -= static_cast<double>(taken);
    return taken;
}

}  // namespace ferryroad::coordination::membership
