#include "ferryroad/coordination/membership/failure_detector.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace ferryroad::coordination::membership {

namespace {

/// Maximum number of pings in flight on behalf of other members; further requests are ignored.
constexpr std::size_t max_relays = 64;
/// Maximum number of member entries processed per datagram.
constexpr std::size_t max_entries = 64;

/// @return a random duration between 0.5 and 1.5 times `period`, so that members don't act in
/// lockstep.
base::duration jittered(base::duration period, base::random_source& random) {
    return base::from_seconds(base::to_seconds(period) * (0.5 + random.unit()));
}

}  // namespace

failure_detector::failure_detector(detector_settings settings, member_update self,
                                   std::vector<base::endpoint> seeds, base::random_source& random,
                                   base::monotonic_time now)
    : settings_(settings),
      self_(std::move(self)),
      seeds_(std::move(seeds)),
      random_(random),
      table_(random),
      dissemination_(settings_, self_, table_, now),
      next_sequence_(random.next()),
      next_probe_(now + jittered(settings.probe_period, random)),
      next_gossip_(now),
      next_dead_probe_(now + jittered(settings.dead_probe_period, random)),
      next_seed_(now),
      list_period_(settings.shortest_list_period),
      next_member_list_(now + jittered(settings.shortest_list_period, random)) {
    announce_self();
}

base::monotonic_time failure_detector::next_tick() const {
    const bool idle = probe_.phase == probe_phase::idle;
    return std::min(idle ? next_probe_ : probe_.deadline, next_gossip_);
}

actions failure_detector::on_tick(base::monotonic_time now) {
    if (departed_) {
        return {};
    }
    const base::duration late = now - next_tick();
    if (late > settings_.pause_tolerance) {
        resume_after_pause(late, now);
    }
    dissemination_.advance(now);
    expire_suspicions(now);
    std::erase_if(relays_, [&](const auto& entry) { return entry.second.deadline <= now; });
    advance_probe(now);
    probe_dead_member(now);
    contact_seeds(now);
    request_member_list(now);
    gossip(now);
    return take_actions();
}

actions failure_detector::on_datagram(const datagram& message, const base::endpoint& from,
                                      base::monotonic_time now) {
    if (departed_ || message.sender == self_.name) {
        return {};
    }
    dissemination_.advance(now);
    const std::size_t entries = std::min(message.members.size(), max_entries);
    for (std::size_t index = 0; index < entries; ++index) {
        merge(message.members[index], now);
    }
    for (const notice& each : message.notices) {
        spread(each, now);
    }
    const bool differs = message.members_digest != digest();
    if (member_record* sender = table_.find(message.sender)) {
        sender->view_differs = differs;
    }
    if (!differs) {
        dissemination_.view_matched();
        list_period_ = settings_.shortest_list_period;
        schedule_member_list(now);
    }
    if (message.revision > dissemination_.revision()) {
        pending_.emplace_back(revision_seen{message.sender, from, message.revision});
    }
    answer_probe(message, from, now);
    return take_actions();
}

join_outcome failure_detector::on_join_request(const join_request& message,
                                               base::monotonic_time now) {
    if (departed_) {
        return {};
    }
    merge(message.member, now);
    join_outcome outcome;
    outcome.answer.members.push_back(self_);
    for (const auto& [name, record] : table_.records()) {
        outcome.answer.members.push_back(record.update);
    }
    outcome.todo = take_actions();
    return outcome;
}

actions failure_detector::on_join_answer(const join_answer& message, base::monotonic_time now) {
    if (departed_) {
        return {};
    }
    const std::uint64_t before = digest();
    for (const member_update& update : message.members) {
        merge(update, now);
    }
    if (digest() == before) {
        list_period_ = std::min(list_period_ * 2, settings_.longest_list_period);
        schedule_member_list(now);
    }
    queue_updates_missing_in(message);
    return take_actions();
}

void failure_detector::queue_updates_missing_in(const join_answer& message) {
    std::map<base::router_name, const member_update*> listed;
    for (const member_update& update : message.members) {
        listed[update.name] = &update;
    }
    for (const auto& [name, record] : table_.records()) {
        const auto found = listed.find(name);
        const bool dead = record.update.state == member_state::dead;
        const bool lacks =
            found == listed.end() ? !dead : supersedes(record.update, *found->second);
        if (lacks) {
            dissemination_.peer_lacks_member(name);
        }
    }
}

void failure_detector::set_seeds(std::vector<base::endpoint> seeds) {
    seeds_ = std::move(seeds);
}

void failure_detector::set_revision(std::uint64_t revision) {
    dissemination_.set_revision(revision);
}

void failure_detector::spread(const notice& message, base::monotonic_time now) {
    dissemination_.advance(now);
    if (dissemination_.spread(message)) {
        pending_.emplace_back(notice_learned{message});
    }
}

void failure_detector::probe_soon(const base::router_name& name) {
    probe_hint_ = name;
}

void failure_detector::leave() {
    if (self_.state == member_state::alive) {
        self_.state = member_state::leaving;
        ++self_.incarnation.value;
        announce_self();
    }
}

actions failure_detector::depart() {
    leave();
    self_.state = member_state::dead;
    for (const member_record* member : table_.sample_live(settings_.departure_fanout)) {
        datagram farewell{
            self_.name, self_.incarnation, dissemination_.revision(), digest(), {}, {self_}, {}};
        pending_.emplace_back(send_datagram{member->update.address, std::move(farewell)});
    }
    departed_ = true;
    return take_actions();
}

base::duration failure_detector::suspicion_time() const {
    const double periods =
        settings_.suspicion_periods + settings_.suspicion_periods_per_doubling *
                                          std::log2(static_cast<double>(table_.live_count()) + 2.0);
    return base::from_seconds(base::to_seconds(settings_.probe_period) * periods);
}

// ---- Ticks ----

void failure_detector::resume_after_pause(base::duration pause, base::monotonic_time now) {
    probe_ = probe_state{};
    next_probe_ = now;
    for (auto& [name, record] : table_.records()) {
        record.changed_at += pause;
    }
}

void failure_detector::expire_suspicions(base::monotonic_time now) {
    if (table_.suspect_count() == 0) {
        return;
    }
    const base::duration limit = suspicion_time();
    std::vector<member_update> expired;
    for (const auto& [name, record] : table_.records()) {
        if (record.update.state == member_state::suspect && now - record.changed_at >= limit) {
            expired.push_back(record.update);
        }
    }
    for (member_update& update : expired) {
        update.state = member_state::dead;
        apply(update, now);
    }
}

void failure_detector::advance_probe(base::monotonic_time now) {
    if (probe_.phase != probe_phase::idle && now >= probe_.deadline) {
        if (probe_.phase == probe_phase::direct) {
            ask_others_to_probe(now);
        } else {
            fail_probe(now);
        }
    }
    if (probe_.phase == probe_phase::idle && now >= next_probe_) {
        start_probe(now);
    }
}

void failure_detector::start_probe(base::monotonic_time now) {
    next_probe_ = std::max(next_probe_ + settings_.probe_period, now);
    const std::optional<base::router_name> hint = std::exchange(probe_hint_, std::nullopt);
    const member_record* hinted = hint ? table_.find(*hint) : nullptr;
    const bool use_hint = hinted != nullptr && hinted->update.state != member_state::dead;
    const std::optional<base::router_name> target = use_hint ? hint : table_.next_probe_target();
    if (!target) {
        return;
    }
    probe_ = {probe_phase::direct, *target, next_sequence_++, now + settings_.direct_timeout};
    const member_record* record = table_.find(*target);
    send(record->update.address, record, ping{probe_.sequence});
}

void failure_detector::ask_others_to_probe(base::monotonic_time now) {
    probe_.phase = probe_phase::indirect;
    probe_.deadline = now + settings_.probe_period - settings_.direct_timeout;
    // Sample enough candidates to choose from, and prefer members in other zones: their network
    // paths to the target differ most from the path that just failed.
    std::vector<const member_record*> helpers =
        table_.sample_live(std::size_t{settings_.indirect_probes} * 4 + 1);
    std::erase_if(helpers, [&](const member_record* helper) {
        return helper->update.name == probe_.target ||
               helper->update.state == member_state::suspect;
    });
    std::stable_partition(helpers.begin(), helpers.end(), [&](const member_record* helper) {
        return helper->update.zone != self_.zone;
    });
    const std::size_t count = std::min<std::size_t>(helpers.size(), settings_.indirect_probes);
    for (std::size_t index = 0; index < count; ++index) {
        const ping_request request{probe_.sequence, probe_.target};
        send(helpers[index]->update.address, helpers[index], request);
    }
}

void failure_detector::fail_probe(base::monotonic_time now) {
    const member_record* record = table_.find(probe_.target);
    probe_ = probe_state{};
    if (record == nullptr || record->update.state == member_state::dead ||
        record->update.state == member_state::suspect) {
        return;
    }
    member_update update = record->update;
    // A leaving member has announced its stop, so there is no need to suspect it first.
    const bool leaving = update.state == member_state::leaving;
    update.state = leaving ? member_state::dead : member_state::suspect;
    apply(update, now);
}

void failure_detector::gossip(base::monotonic_time now) {
    if (now < next_gossip_) {
        return;
    }
    next_gossip_ = std::max(next_gossip_ + settings_.gossip_period, now);
    for (const member_record* member : table_.sample_live(settings_.gossip_fanout)) {
        if (!dissemination_.has_updates()) {
            return;
        }
        send(member->update.address, member, std::monostate{});
    }
}

void failure_detector::probe_dead_member(base::monotonic_time now) {
    if (now < next_dead_probe_) {
        return;
    }
    next_dead_probe_ = now + jittered(settings_.dead_probe_period, random_);
    table_.forget_dead(now - settings_.dead_retention);
    if (const member_record* dead = table_.sample_dead()) {
        send(dead->update.address, dead, ping{next_sequence_++});
    }
}

void failure_detector::contact_seeds(base::monotonic_time now) {
    if (now < next_seed_) {
        return;
    }
    const bool alone = table_.live_count() == 0;
    next_seed_ = now + jittered(alone ? settings_.join_period : settings_.seed_period, random_);
    std::vector<base::endpoint> missing;
    for (const base::endpoint& seed : seeds_) {
        if (seed != self_.address && !table_.live_at(seed)) {
            missing.push_back(seed);
        }
    }
    if (!missing.empty()) {
        const base::endpoint& seed = missing[random_.below(missing.size())];
        pending_.emplace_back(request_join{seed, join_request{self_}});
    }
}

void failure_detector::request_member_list(base::monotonic_time now) {
    if (now < next_member_list_) {
        return;
    }
    schedule_member_list(now);
    for (const member_record* member : table_.sample_live(1)) {
        pending_.emplace_back(request_join{member->update.address, join_request{self_}});
    }
}

void failure_detector::schedule_member_list(base::monotonic_time now) {
    const auto members = static_cast<std::int64_t>(table_.live_count());
    const base::duration period = list_period_ + members * settings_.list_period_per_member;
    next_member_list_ = now + jittered(period, random_);
}

// ---- Messages ----

void failure_detector::answer_probe(const datagram& message, const base::endpoint& to,
                                    base::monotonic_time now) {
    const member_record* sender = table_.find(message.sender);
    if (const auto* asked = std::get_if<ping>(&message.probe)) {
        send(to, sender, ack{asked->sequence});
    } else if (const auto* answered = std::get_if<ack>(&message.probe)) {
        accept_ack(answered->sequence);
    } else if (const auto* request = std::get_if<ping_request>(&message.probe)) {
        relay_ping(*request, to, now);
    }
}

void failure_detector::relay_ping(const ping_request& request, const base::endpoint& origin,
                                  base::monotonic_time now) {
    const member_record* target = table_.find(request.target);
    if (target == nullptr || relays_.size() >= max_relays) {
        return;
    }
    const std::uint64_t sequence = next_sequence_++;
    relays_[sequence] = relay{origin, request.sequence, now + settings_.probe_period};
    send(target->update.address, target, ping{sequence});
}

void failure_detector::accept_ack(std::uint64_t sequence) {
    if (probe_.phase != probe_phase::idle && sequence == probe_.sequence) {
        probe_ = probe_state{};
        return;
    }
    const auto relayed = relays_.find(sequence);
    if (relayed != relays_.end()) {
        const relay request = relayed->second;
        relays_.erase(relayed);
        send(request.origin, nullptr, ack{request.origin_sequence});
    }
}

void failure_detector::merge(const member_update& update, base::monotonic_time now) {
    if (update.name == self_.name) {
        merge_self(update);
        return;
    }
    if (const std::optional<member_update> change = admissible(update, now)) {
        apply(*change, now);
    }
}

void failure_detector::merge_self(const member_update& update) {
    if (supersedes(update, self_)) {
        self_.incarnation.value = update.incarnation.value + 1;
        announce_self();
    } else if (update.state == member_state::suspect || update.state == member_state::dead) {
        announce_self();  // It was refuted before, but the refutation didn't reach everyone.
    }
}

std::optional<member_update> failure_detector::admissible(const member_update& update,
                                                          base::monotonic_time now) const {
    const member_record* known = table_.find(update.name);
    const bool death = update.state == member_state::dead;
    if (known == nullptr) {
        // An unknown member that is dead is of no interest, and a full table accepts no more
        // members.
        const bool room = table_.records().size() < settings_.max_members;
        return death || !room ? std::nullopt : std::optional(update);
    }
    if (!supersedes(update, known->update)) {
        return std::nullopt;
    }
    if (!death || known->update.state == member_state::leaving) {
        return update;
    }
    // A reported death shortens the time to refute but never removes it: the report may come from
    // the other side of a partition.
    const bool suspected = known->update.state == member_state::suspect;
    if (suspected) {
        const bool half_over = now - known->changed_at >= suspicion_time() / 2;
        return half_over ? std::optional(update) : std::nullopt;
    }
    member_update suspicion = update;
    suspicion.state = member_state::suspect;
    return suspicion;
}

void failure_detector::apply(const member_update& update, base::monotonic_time now) {
    table_.put(update, now);
    dissemination_.member_changed(update.name);
    pending_.emplace_back(member_changed{update});
}

void failure_detector::announce_self() {
    dissemination_.member_changed(self_.name);
}

// ---- Sending ----

void failure_detector::send(const base::endpoint& to, const member_record* receiver,
                            probe content) {
    datagram out{self_.name, self_.incarnation, 0, digest(), std::move(content), {}, {}};
    dissemination_.fill(out, receiver);
    pending_.emplace_back(send_datagram{to, std::move(out)});
}

actions failure_detector::take_actions() {
    return std::exchange(pending_, {});
}

}  // namespace ferryroad::coordination::membership
