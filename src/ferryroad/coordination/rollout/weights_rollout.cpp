#include "ferryroad/coordination/rollout/weights_rollout.hpp"

#include <algorithm>
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

void weights_rollout::drop_ended(const std::vector<engine_view>& engines,
                                 base::monotonic_time now) {
    std::erase_if(m_engines, [&](const auto& entry) {
        const engine_view* seen = find(engines, entry.first);
        const bool done = seen != nullptr && seen->version >= wanted(seen->model);
        const bool silent = now - entry.second.since > m_tunables.give_up;
        return seen == nullptr || (!entry.second.call_under_way && (done || silent));
    });
}

std::size_t weights_rollout::room_for(const std::string& model,
                                      const std::vector<engine_view>& engines) const {
    std::size_t total = 0;
    std::size_t busy = 0;
    std::size_t waiting = 0;
    base::duration longest{};
    for (const engine_view& one : engines) {
        if (one.model != model) {
            continue;
        }
        ++total;
        const bool under_way = m_engines.contains(one.name);
        busy += under_way ? 1 : 0;
        if (!under_way && one.version < wanted(model)) {
            ++waiting;
            longest = std::max(longest, one.outdated_for);
        }
    }
    const std::size_t allowed = m_pace.allowed(total, waiting, m_tunables.order_within - longest);
    return allowed > busy ? allowed - busy : 0;
}

void weights_rollout::begin_some(const std::vector<engine_view>& engines,
                                 base::monotonic_time now) {
    std::vector<const engine_view*> outdated;
    for (const engine_view& one : engines) {
        if (one.version < wanted(one.model) && !m_engines.contains(one.name)) {
            outdated.push_back(&one);
        }
    }
    // The oldest weights first; of equals the least loaded, which is free the soonest.
    std::stable_sort(outdated.begin(), outdated.end(),
                     [](const engine_view* a, const engine_view* b) {
                         return std::pair(a->version, a->load) < std::pair(b->version, b->load);
                     });
    std::map<base::zone_name, std::size_t> under_way;
    for (const engine_view& one : engines) {
        under_way[one.zone] += m_engines.contains(one.name) ? 1 : 0;
    }
    while (!outdated.empty()) {
        // Spread over zones, so that requests find engines with new weights near.
        const auto next = std::min_element(outdated.begin(), outdated.end(),
                                           [&](const engine_view* a, const engine_view* b) {
                                               return std::pair(a->version, under_way[a->zone]) <
                                                      std::pair(b->version, under_way[b->zone]);
                                           });
        const engine_view* one = *next;
        outdated.erase(next);
        if (room_for(one->model, engines) == 0) {
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
    drop_ended(engines, now);
    begin_some(engines, now);
    rollout_steps steps;
    for (auto& [name, state] : m_engines) {
        if (state.call_under_way || now < state.next_call) {
            continue;
        }
        const engine_view* seen = find(engines, name);
        state.call_under_way = true;
        if (state.stage == phase::ready) {
            state.stage = phase::ordering;
            state.version = wanted(seen->model);
            steps.orders.push_back({name, seen->model, state.version, state.orders_taken});
        } else {
            if (state.stage == phase::asking) {
                steps.coming.push_back({name, seen->model, wanted(seen->model)});
            }
            steps.reports.push_back({name});
        }
    }
    return steps;
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
    state.orders_taken = report.orders_taken;
    state.next_call = now;
    const bool working = report.busy || state.stage == phase::loading;
    if (working) {
        state.next_call = now + m_tunables.look_period;
        const bool lost_track = !report.busy && now - state.since > m_tunables.give_up / 2;
        state.stage = lost_track ? phase::ready : state.stage;
        return;
    }
    state.stage = phase::ready;
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
        state.stage = phase::loading;
        state.since = now;
        state.next_call = now + m_tunables.first_look;
        return;
    }
    state.stage = phase::asking;
    state.next_call = now + m_tunables.retry_delay;
}

}  // namespace ferryroad::coordination::rollout
