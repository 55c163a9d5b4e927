#include "ferryroad/coordination/rollout/weights_rollout.hpp"

#include <algorithm>
#include <deque>
#include <tuple>
#include <utility>

namespace ferryroad::coordination::rollout {

namespace {

/// Engines of one version, ordered by urgency and handed out so that zones get equal shares:
/// requests then find engines with new weights nearby.
class zone_queues {
  public:
    /// @param position position in the order; increases from call to call.
    void add(const engine_view& one, std::size_t position) {
        m_queues[one.zone].emplace_back(position, &one);
    }
    /// @param under_way number of started engines in each zone.
    /// @return the next engine of the zone with the fewest started engines; null if none is left.
    const engine_view* take(const std::map<base::zone_name, std::size_t>& under_way) {
        if (m_queues.empty()) {
            return nullptr;
        }
        const auto rank = [&](const auto& entry) {
            return std::pair(under_way.at(entry.first), entry.second.front().first);
        };
        const auto next =
            std::min_element(m_queues.begin(), m_queues.end(),
                             [&](const auto& a, const auto& b) { return rank(a) < rank(b); });
        const engine_view* one = next->second.front().second;
        next->second.pop_front();
        if (next->second.empty()) {
            m_queues.erase(next);
        }
        return one;
    }

  private:
    std::map<base::zone_name, std::deque<std::pair<std::size_t, const engine_view*>>> m_queues;
};

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
        const auto found = m_ordered.find({one.name, one.model});
        const bool sent = found != m_ordered.end() && found->second >= newest;
        return one.model == model && one.version < newest && !sent;
    };
    return static_cast<std::size_t>(std::count_if(engines.begin(), engines.end(), lacks));
}

weights_rollout::views_by_engine weights_rollout::by_engine(
    const std::vector<engine_view>& engines) {
    views_by_engine found;
    found.reserve(engines.size());
    for (const engine_view& one : engines) {
        found.emplace(one.name.value, &one);
    }
    return found;
}

const engine_view* weights_rollout::find_view(const views_by_engine& engines,
                                              const base::engine_name& engine,
                                              const std::string& model) {
    const auto [first, last] = engines.equal_range(engine.value);
    const auto found =
        std::find_if(first, last, [&](const auto& entry) { return entry.second->model == model; });
    return found == last ? nullptr : found->second;
}

const weights_rollout::progress* weights_rollout::progress_of(const engine_view& one) const {
    const auto found = m_engines.find(one.name);
    return found != m_engines.end() && found->second.model == one.model ? &found->second : nullptr;
}

void weights_rollout::remove_finished(const views_by_engine& engines, base::monotonic_time now) {
    std::erase_if(m_engines, [&](const auto& entry) {
        const progress& state = entry.second;
        const engine_view* seen = find_view(engines, entry.first, state.model);
        if (seen == nullptr) {
            return true;
        }
        const bool done = seen->version >= wanted(state.model);
        const bool silent = now - state.since > m_tunables.unresponsive_after;
        const bool ends = done || silent || blocks_other_model(state, *seen, engines, now);
        if (state.call_under_way || !ends) {
            return false;
        }
        if (!done) {
            m_abandoned[entry.first] = state.model;
        }
        return true;
    });
    std::erase_if(m_abandoned,
                  [&](const auto& entry) { return !engines.contains(entry.first.value); });
}

base::duration weights_rollout::model_counts::longest_outdated() const {
    const base::duration most =
        outdated_for.empty() ? base::duration{} : outdated_for.rbegin()->first;
    return std::max(most, base::duration{});
}

void weights_rollout::model_counts::add_waiting(const engine_view& one) {
    ++waiting;
    ++outdated_for[one.outdated_for];
}

void weights_rollout::model_counts::begin(const engine_view& one) {
    --waiting;
    ++loading;
    const auto same = outdated_for.find(one.outdated_for);
    if (--same->second == 0) {
        outdated_for.erase(same);
    }
}

weights_rollout::fleet_counts weights_rollout::count_engines(
    const std::vector<engine_view>& engines) const {
    fleet_counts fleet;
    for (const engine_view& one : engines) {
        model_counts& counted = fleet[one.model];
        ++counted.total;
        if (const progress* state = progress_of(one)) {
            counted.loading += state->unanswered || state->drains ? 0 : 1;
            counted.unanswered += state->unanswered ? 1 : 0;
            counted.repeating += state->unanswered && state->stage == phase::ordering ? 1 : 0;
        } else if (one.version < wanted(one.model)) {
            counted.add_waiting(one);
        }
    }
    return fleet;
}

std::size_t weights_rollout::allowed(const model_counts& model) const {
    return m_pace.allowed(model.total, model.waiting,
                          m_tunables.order_within - model.longest_outdated());
}

bool weights_rollout::may_expose(const model_counts& model, base::duration outdated_for) const {
    const double elapsed =
        base::to_seconds(outdated_for) / base::to_seconds(m_tunables.order_within);
    return model.loading + model.unanswered < m_pace.max_exposed(model.total, elapsed);
}

// An engine with an unanswered order takes no place: when most orders were lost, engines that had
// got no order waited behind engines that were sent one again and again.
bool weights_rollout::has_room(const engine_view& one, const model_counts& model) const {
    return model.loading < allowed(model) && may_expose(model, one.outdated_for);
}

bool weights_rollout::has_room_to_repeat(const model_counts& model) const {
    const bool first_orders = model.waiting > 0 && may_expose(model, model.longest_outdated());
    const std::size_t kept = first_orders ? std::max(model.loading, allowed(model)) : model.loading;
    return kept + model.repeating < m_pace.max_loading(model.total);
}

void weights_rollout::sort_by_urgency(engine_list& outdated, const fleet_counts& fleet) const {
    std::map<std::string, bool> hurried;
    for (const auto& [name, model] : fleet) {
        hurried[name] = m_pace.is_behind_schedule(
            model.total, model.waiting, m_tunables.order_within - model.longest_outdated());
    }
    // The engines with the oldest weights come first, then those that need not drain, and among
    // equals the least loaded, which is free the soonest. If time is short, the longest queue comes
    // first instead: its requests would start too late, and the order diverts them to other engines
    // at once.
    const auto rank = [&](const engine_view* one) {
        const auto unread = static_cast<std::int64_t>(one->unread_tokens);
        const std::int64_t load = one->load;
        const bool drains = is_relied_on(*one);
        return hurried.at(one->model) ? std::tuple(one->version, false, -unread, -load)
                                      : std::tuple(one->version, drains, std::int64_t{0}, load);
    };
    std::stable_sort(outdated.begin(), outdated.end(),
                     [&](const engine_view* a, const engine_view* b) { return rank(a) < rank(b); });
}

bool weights_rollout::waits_for_writers(const engine_view& one) const {
    return one.pinned_writers > 0 && one.outdated_for < m_tunables.longest_writer_wait;
}

bool weights_rollout::is_relied_on(const engine_view& one) {
    return one.state_used_for > base::duration{} || !one.reports_current;
}

bool weights_rollout::waits_for_state_uses(const engine_view& seen, const progress& state,
                                           base::monotonic_time now) const {
    const bool just_ready = now - state.ready_since.value_or(now) < m_tunables.shortest_writer_wait;
    return is_relied_on(seen) && (just_ready || seen.outdated_for < m_tunables.longest_writer_wait);
}

template <typename Predicate>
bool weights_rollout::any_other_outdated(const engine_view& one, const views_by_engine& views,
                                         Predicate matches) const {
    const auto [first, last] = views.equal_range(one.name.value);
    return std::any_of(first, last, [&](const auto& entry) {
        const engine_view& other = *entry.second;
        return other.model != one.model && other.version < wanted(other.model) && matches(other);
    });
}

bool weights_rollout::blocks_other_model(const progress& state, const engine_view& seen,
                                         const views_by_engine& views,
                                         base::monotonic_time now) const {
    const bool loads = state.stage == phase::loading || state.unanswered;
    const bool overdue = now - state.begun > m_tunables.unresponsive_after;
    return !loads && overdue &&
           any_other_outdated(seen, views, [](const engine_view&) { return true; });
}

bool weights_rollout::waits_for_other_model(const engine_view& one,
                                            const views_by_engine& views) const {
    const auto abandoned = m_abandoned.find(one.name);
    const auto was_abandoned = [&](const engine_view& view) {
        return abandoned != m_abandoned.end() && abandoned->second == view.model;
    };
    return any_other_outdated(one, views, [&](const engine_view& other) {
        const bool is_older = other.outdated_for > one.outdated_for && !was_abandoned(other);
        return was_abandoned(one) || is_older;
    });
}

weights_rollout::engine_list weights_rollout::waiting(const std::vector<engine_view>& engines,
                                                      const views_by_engine& views) const {
    engine_list outdated;
    for (const engine_view& one : engines) {
        if (one.version < wanted(one.model) && !m_engines.contains(one.name) &&
            !waits_for_other_model(one, views) && !waits_for_writers(one)) {
            outdated.push_back(&one);
        }
    }
    return outdated;
}

void weights_rollout::start_engines(const std::vector<engine_view>& engines,
                                    const views_by_engine& views, fleet_counts& fleet,
                                    base::monotonic_time now) {
    engine_list outdated = waiting(engines, views);
    sort_by_urgency(outdated, fleet);
    std::map<base::zone_name, std::size_t> under_way;
    for (const engine_view& one : engines) {
        under_way[one.zone] += progress_of(one) != nullptr ? 1 : 0;
    }
    std::map<std::uint64_t, zone_queues> by_version;
    for (std::size_t position = 0; position < outdated.size(); ++position) {
        by_version[outdated[position]->version].add(*outdated[position], position);
    }
    for (auto& [version, queues] : by_version) {
        while (const engine_view* one = queues.take(under_way)) {
            model_counts& model = fleet.at(one->model);
            // Another model of the engine may have been started before.
            if (!m_engines.contains(one->name) && has_room(*one, model)) {
                ++under_way[one->zone];
                begin(*one, model, now);
            }
        }
    }
}

void weights_rollout::begin(const engine_view& one, model_counts& model, base::monotonic_time now) {
    progress begun;
    begun.model = one.model;
    begun.version = wanted(one.model);
    begun.begun = now;
    begun.since = now;
    begun.next_call = now;
    m_engines.emplace(one.name, begun);
    m_abandoned.erase(one.name);
    model.begin(one);
}

rollout_steps weights_rollout::next(const std::vector<engine_view>& engines,
                                    base::monotonic_time now) {
    if (!has_work(engines)) {
        m_ordered.clear();
    }
    const views_by_engine views = by_engine(engines);
    remove_finished(views, now);
    fleet_counts fleet = count_engines(engines);
    start_engines(engines, views, fleet, now);
    rollout_steps steps;
    repeat_orders(views, fleet, now, steps);
    for (auto& [name, state] : m_engines) {
        call(*find_view(views, name, state.model), state, now, steps);
    }
    return steps;
}

void weights_rollout::repeat_orders(const views_by_engine& engines, fleet_counts& fleet,
                                    base::monotonic_time now, rollout_steps& steps) {
    std::vector<std::pair<base::monotonic_time, const engine_view*>> lost;
    for (const auto& [name, state] : m_engines) {
        if (state.unanswered && state.stage == phase::ready && !state.call_under_way) {
            lost.emplace_back(state.last_order, find_view(engines, name, state.model));
        }
    }
    std::stable_sort(lost.begin(), lost.end(),
                     [](const auto& a, const auto& b) { return a.first < b.first; });
    for (const auto& [last_order, seen] : lost) {
        model_counts& model = fleet.at(seen->model);
        if (has_room_to_repeat(model)) {
            order(*seen, m_engines.at(seen->name), now, steps);
            ++model.repeating;
        }
    }
}

void weights_rollout::order(const engine_view& seen, progress& state, base::monotonic_time now,
                            rollout_steps& steps) {
    state.call_under_way = true;
    state.stage = phase::ordering;
    state.version = wanted(seen.model);
    state.last_order = now;
    m_ordered[{seen.name, seen.model}] = state.version;
    state.drains = is_relied_on(seen);
    steps.orders.push_back({seen.name, seen.model, state.version, state.orders_taken,
                            seen.state_used_for, seen.reports_current, state.drains});
}

void weights_rollout::announce(const engine_view& seen, progress& state, base::monotonic_time now,
                               rollout_steps& steps) const {
    state.unannounced = false;
    state.announced_at = now;
    steps.upcoming.push_back({seen.name, seen.model, wanted(seen.model)});
}

void weights_rollout::call(const engine_view& seen, progress& state, base::monotonic_time now,
                           rollout_steps& steps) {
    if (state.unannounced) {
        announce(seen, state, now, steps);
    }
    if (state.call_under_way || now < state.next_call) {
        return;
    }
    if (state.stage == phase::ready && !state.unanswered) {
        if (!waits_for_writers(seen) && !waits_for_state_uses(seen, state, now)) {
            order(seen, state, now, steps);
        } else if (now - state.announced_at >= m_tunables.look_period) {
            announce(seen, state, now, steps);
        }
        return;
    }
    // Not announced for an engine with an unanswered order: it serves until the order is carried
    // out.
    if (state.stage == phase::asking && !state.unanswered) {
        announce(seen, state, now, steps);
    }
    state.call_under_way = true;
    steps.reports.push_back({seen.name, seen.model});
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
        if (state.stage == phase::loading && !state.drains) {
            m_pace.loaded(now - state.since);
        }
        m_engines.erase(found);
        return;
    }
    // An order was carried out or is running, so none of the earlier orders can be accepted any
    // more; if the weights aren't the newest, the next order must not wait.
    const bool settled = report.busy || report.orders_taken != state.orders_taken;
    state.orders_taken = report.orders_taken;
    state.next_call = now;
    if (state.unanswered && !settled) {
        watch_unanswered(state, now);
        return;
    }
    state.unanswered = false;
    // Another order is being carried out, so the engine is no longer ready.
    state.stage = state.stage == phase::ready ? phase::asking : state.stage;
    const bool working = report.busy || state.stage == phase::loading;
    if (working) {
        state.next_call = now + m_tunables.look_period;
        if (report.busy && state.drains) {
            state.since = now;
            state.unannounced = true;  // It takes no requests for longer than was announced.
        }
        const bool lost_track =
            !report.busy && now - state.since > m_tunables.unresponsive_after / 2;
        state.stage = lost_track ? phase::ready : state.stage;
        return;
    }
    state.stage = phase::ready;
    state.ready_since = state.ready_since.value_or(now);
}

void weights_rollout::watch_unanswered(progress& state, base::monotonic_time now) const {
    state.stage = phase::ready;
    state.since = now;
    state.next_call = now + m_tunables.unanswered_poll_period;
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
        state.unannounced = state.unanswered;
        state.unanswered = false;
        state.stage = phase::loading;
        state.since = now;
        state.next_call = now + m_tunables.first_poll_delay;
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
