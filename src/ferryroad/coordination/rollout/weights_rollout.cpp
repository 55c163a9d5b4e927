#include "ferryroad/coordination/rollout/weights_rollout.hpp"

#include <algorithm>
#include <set>
#include <tuple>
#include <utility>

namespace ferryroad::coordination::rollout {

namespace {

const engine_view* find(const std::vector<engine_view>& engines, const base::engine_name& name) {
    const auto found = std::find_if(engines.begin(), engines.end(),
                                    [&](const engine_view& one) { return one.name == name; });
    return found == engines.end() ? nullptr : &*found;
}

}  // namespace

void weights_rollout::want(const std::string& model, std::uint64_t version) {
    std::uint64_t& newest = m_wanted[model];
    newest = std::max(newest, version);
}

std::uint64_t weights_rollout::wanted(const std::string& model) const {
    const auto found = m_wanted.find(model);
    return found == m_wanted.end() ? 0 : found->second;
}

bool weights_rollout::has_work(const std::vector<engine_view>& engines) const {
    const bool outdated = std::any_of(engines.begin(), engines.end(), [&](const engine_view& one) {
        return one.version < wanted(one.model);
    });
    return outdated || !m_engines.empty();
}

std::size_t weights_rollout::without_order(const std::string& model,
                                           const std::vector<engine_view>& engines) const {
    const std::uint64_t newest = wanted(model);
    const auto lacks = [&](const engine_view& one) {
        const auto found = m_ordered.find(one.name);
        const bool sent = found != m_ordered.end() && found->second >= newest;
        return one.model == model && one.version < newest && !sent;
    };
    return static_cast<std::size_t>(std::count_if(engines.begin(), engines.end(), lacks));
}

void weights_rollout::drop_ended(const std::vector<engine_view>& engines,
                                 base::monotonic_time now) {
    std::erase_if(m_engines, [&](const auto& entry) {
        const engine_view* seen = find(engines, entry.first);
        const bool done = seen != nullptr && seen->version >= wanted(seen->model);
        const bool silent = now - entry.second.since > m_tunables.give_up;
        return seen == nullptr || (!entry.second.call_under_way && (done || silent));
    });
}

weights_rollout::places weights_rollout::places_of(const std::string& model,
                                                   const std::vector<engine_view>& engines) const {
    places counted;
    for (const engine_view& one : engines) {
        if (one.model != model) {
            continue;
        }
        ++counted.total;
        const auto found = m_engines.find(one.name);
        if (found != m_engines.end()) {
            const progress& state = found->second;
            counted.loading += state.unanswered ? 0 : 1;
            counted.unanswered += state.unanswered ? 1 : 0;
            counted.repeating += state.unanswered && state.stage == phase::ordering ? 1 : 0;
        } else if (one.version < wanted(model)) {
            ++counted.waiting;
            counted.longest = std::max(counted.longest, one.outdated_for);
        }
    }
    return counted;
}

std::size_t weights_rollout::allowed(const places& model) const {
    return m_pace.allowed(model.total, model.waiting, m_tunables.order_within - model.longest);
}

bool weights_rollout::may_expose(const places& model, base::duration outdated_for) const {
    const double elapsed =
        base::to_seconds(outdated_for) / base::to_seconds(m_tunables.order_within);
    return model.loading + model.unanswered < m_pace.most_exposed(model.total, elapsed);
}

// An order without answer holds no place: with most of them lost, engines that had got none waited
// for those that were ordered again and again.
bool weights_rollout::has_room(const engine_view& one,
                               const std::vector<engine_view>& engines) const {
    const places model = places_of(one.model, engines);
    return model.loading < allowed(model) && may_expose(model, one.outdated_for);
}

bool weights_rollout::has_room_to_repeat(const std::string& model,
                                         const std::vector<engine_view>& engines) const {
    const places counted = places_of(model, engines);
    const bool first_orders = counted.waiting > 0 && may_expose(counted, counted.longest);
    const std::size_t kept =
        first_orders ? std::max(counted.loading, allowed(counted)) : counted.loading;
    return kept + counted.repeating < m_pace.most(counted.total);
}

void weights_rollout::sort_by_urgency(std::vector<const engine_view*>& outdated,
                                      const std::vector<engine_view>& engines) const {
    std::map<std::string, bool> hurried;
    for (const engine_view* one : outdated) {
        if (!hurried.contains(one->model)) {
            const places model = places_of(one->model, engines);
            hurried[one->model] =
                m_pace.hurries(model.total, model.waiting, m_tunables.order_within - model.longest);
        }
    }
    // The oldest weights first; of equals the least loaded, which is free the soonest. Where time
    // is short the longest queue: what waits there would begin too late, and the order turns it
    // away to other engines at once.
    const auto rank = [&](const engine_view* one) {
        const auto unread = static_cast<std::int64_t>(one->unread_tokens);
        const std::int64_t load = one->load;
        return hurried.at(one->model) ? std::tuple(one->version, -unread, -load)
                                      : std::tuple(one->version, std::int64_t{0}, load);
    };
    std::stable_sort(outdated.begin(), outdated.end(),
                     [&](const engine_view* a, const engine_view* b) { return rank(a) < rank(b); });
}

void weights_rollout::begin_some(const std::vector<engine_view>& engines,
                                 base::monotonic_time now) {
    std::vector<const engine_view*> outdated;
    for (const engine_view& one : engines) {
        if (one.version < wanted(one.model) && !m_engines.contains(one.name)) {
            outdated.push_back(&one);
        }
    }
    sort_by_urgency(outdated, engines);
    std::map<base::zone_name, std::size_t> under_way;
    for (const engine_view& one : engines) {
        under_way[one.zone] += m_engines.contains(one.name) ? 1 : 0;
    }
    std::set<std::string> full;
    while (!outdated.empty()) {
        // Spread over zones, so that requests find engines with new weights near.
        const auto next = std::min_element(outdated.begin(), outdated.end(),
                                           [&](const engine_view* a, const engine_view* b) {
                                               return std::pair(a->version, under_way[a->zone]) <
                                                      std::pair(b->version, under_way[b->zone]);
                                           });
        const engine_view* one = *next;
        outdated.erase(next);
        // Those after it have newer weights or the same: there is no room for them either.
        if (full.contains(one->model) || !has_room(*one, engines)) {
            full.insert(one->model);
            continue;
        }
        ++under_way[one->zone];
        progress begun;
        begun.version = wanted(one->model);
        begun.since = now;
        begun.next_call = now;
        m_engines.emplace(one->name, begun);
    }
}

rollout_steps weights_rollout::next(const std::vector<engine_view>& engines,
                                    base::monotonic_time now) {
    if (!has_work(engines)) {
        m_ordered.clear();
    }
    drop_ended(engines, now);
    begin_some(engines, now);
    rollout_steps steps;
    repeat_some(engines, now, steps);
    for (auto& [name, state] : m_engines) {
        call(*find(engines, name), state, now, steps);
    }
    return steps;
}

void weights_rollout::repeat_some(const std::vector<engine_view>& engines, base::monotonic_time now,
                                  rollout_steps& steps) {
    std::vector<std::pair<base::monotonic_time, const engine_view*>> lost;
    for (const auto& [name, state] : m_engines) {
        if (state.unanswered && state.stage == phase::ready && !state.call_under_way) {
            lost.emplace_back(state.last_order, find(engines, name));
        }
    }
    std::stable_sort(lost.begin(), lost.end(),
                     [](const auto& a, const auto& b) { return a.first < b.first; });
    std::set<std::string> full;
    for (const auto& [last_order, seen] : lost) {
        if (full.contains(seen->model) || !has_room_to_repeat(seen->model, engines)) {
            full.insert(seen->model);
            continue;
        }
        order(*seen, m_engines.at(seen->name), now, steps);
    }
}

void weights_rollout::order(const engine_view& seen, progress& state, base::monotonic_time now,
                            rollout_steps& steps) {
    state.call_under_way = true;
    state.stage = phase::ordering;
    state.version = wanted(seen.model);
    state.last_order = now;
    m_ordered[seen.name] = state.version;
    steps.orders.push_back({seen.name, seen.model, state.version, state.orders_taken});
}

void weights_rollout::call(const engine_view& seen, progress& state, base::monotonic_time now,
                           rollout_steps& steps) {
    if (state.untold) {
        state.untold = false;
        steps.coming.push_back({seen.name, seen.model, state.version});
    }
    if (state.call_under_way || now < state.next_call) {
        return;
    }
    if (state.stage == phase::ready && !state.unanswered) {
        order(seen, state, now, steps);
        return;
    }
    // Not said of an engine in doubt: it serves until its order is carried out.
    if (state.stage == phase::asking && !state.unanswered) {
        steps.coming.push_back({seen.name, seen.model, wanted(seen.model)});
    }
    state.call_under_way = true;
    steps.reports.push_back({seen.name});
}

void weights_rollout::reported(const base::engine_name& engine, const engine_report& report,
                               base::monotonic_time now) {
    const auto found = m_engines.find(engine);
    if (found == m_engines.end()) {
        return;
    }
    progress& state = found->second;
    state.call_under_way = false;
    if (report.version >= state.version) {
        if (state.stage == phase::loading) {
            m_pace.loaded(now - state.since);
        }
        m_engines.erase(found);
        return;
    }
    // Carried out or under way: none of the orders before can be let through any more, and where
    // the weights aren't the newest the next order must not wait.
    const bool settled = report.busy || report.orders_taken != state.orders_taken;
    state.orders_taken = report.orders_taken;
    state.next_call = now;
    if (state.unanswered && !settled) {
        looked_idle(state, now);
        return;
    }
    state.unanswered = false;
    // Whatever it was ready for, another order is carried out.
    state.stage = state.stage == phase::ready ? phase::asking : state.stage;
    const bool working = report.busy || state.stage == phase::loading;
    if (working) {
        state.next_call = now + m_tunables.look_period;
        const bool lost_track = !report.busy && now - state.since > m_tunables.give_up / 2;
        state.stage = lost_track ? phase::ready : state.stage;
        return;
    }
    state.stage = phase::ready;
}

void weights_rollout::looked_idle(progress& state, base::monotonic_time now) const {
    state.stage = phase::ready;
    state.since = now;
    state.next_call = now + m_tunables.watch_period;
}

void weights_rollout::report_lost(const base::engine_name& engine, base::monotonic_time now) {
    const auto found = m_engines.find(engine);
    if (found == m_engines.end()) {
        return;
    }
    found->second.call_under_way = false;
    found->second.next_call = now + m_tunables.retry_delay;
}

void weights_rollout::ordered(const base::engine_name& engine, order_answer answer,
                              base::monotonic_time now) {
    const auto found = m_engines.find(engine);
    if (found == m_engines.end()) {
        return;
    }
    progress& state = found->second;
    state.call_under_way = false;
    if (answer == order_answer::accepted) {
        state.untold = state.unanswered;
        state.unanswered = false;
        state.stage = phase::loading;
        state.since = now;
        state.next_call = now + m_tunables.first_look;
        return;
    }
    if (answer == order_answer::lost) {
        state.unanswered = true;
        state.since = now;
    }
    state.stage = phase::asking;
    state.next_call = now + m_tunables.retry_delay;
}

}  // namespace ferryroad::coordination::rollout
