#include "ferryroad/coordination/reading/source_selector.hpp"

#include <algorithm>
#include <utility>

namespace ferryroad::coordination::reading {

source_selector::source_selector(tree_member self, selector_settings settings, source_reach& reach,
                                 base::random_source& random)
    : m_self(std::move(self)), m_settings(settings), m_reach(reach), m_random(random) {}

void source_selector::declare(const std::vector<tree_member>& members) {
    m_others.clear();
    for (const tree_member& one : members) {
        if (one.name != m_self.name) {
            m_others.push_back(one);
        }
    }
    std::erase_if(m_old_until, [&](const auto& entry) {
        return std::none_of(m_others.begin(), m_others.end(),
                            [&](const tree_member& one) { return one.name == entry.first; });
    });
}

bool source_selector::is_usable(const source& from, leave_out rule,
                                base::monotonic_time now) const {
    const auto known = from ? m_old_until.find(*from) : m_old_until.end();
    const bool is_old = known != m_old_until.end() && now < known->second;
    return m_reach.is_present(from, now) && !(rule == leave_out::absent_or_old && is_old);
}

std::vector<tree_member> source_selector::usable(leave_out rule, base::monotonic_time now) const {
    std::vector<tree_member> found;
    std::copy_if(m_others.begin(), m_others.end(), std::back_inserter(found),
                 [&](const tree_member& one) { return is_usable(one.name, rule, now); });
    return found;
}

source source_selector::choose(base::monotonic_time now) {
    const bool on_detour =
        m_detour && now < m_detour_until && is_usable(*m_detour, leave_out::absent_or_old, now);
    if (on_detour) {
        m_chosen = *m_detour;
    } else {
        m_detour.reset();
        m_chosen = is_current(now) ? choose_while_current(now) : choose_while_old(now);
    }
    return m_chosen;
}

source source_selector::choose_while_current(base::monotonic_time now) const {
    const bool owner_answers = is_usable(std::nullopt, leave_out::absent, now);
    const auto others = usable(leave_out::absent_or_old, now);
    if (owner_answers) {
        return place_in_tree(m_self, others, m_settings.tree).parent;
    }
    return others.empty() ? m_reach.first_back(m_others) : nearest_reader(others);
}

source source_selector::choose_while_old(base::monotonic_time now) {
    const auto answering = usable(leave_out::absent, now);
    source preferred = place_in_tree(m_self, answering, m_settings.tree).parent;
    if (is_usable(preferred, leave_out::absent_or_old, now)) {
        return preferred;
    }
    if (is_usable(std::nullopt, leave_out::absent, now)) {
        return std::nullopt;
    }
    const auto others = usable(leave_out::absent_or_old, now);
    if (!others.empty()) {
        return any_of(others);
    }
    return answering.empty() ? m_reach.first_back(m_others) : any_of(answering);
}

source source_selector::nearest_reader(const std::vector<tree_member>& others) const {
    const auto readers = readers_among(others, m_settings.tree);
    const auto in_zone = std::find_if(readers.begin(), readers.end(), [&](const tree_member& one) {
        return one.zone == m_self.zone;
    });
    if (in_zone != readers.end()) {
        return in_zone->name;
    }
    const auto near = std::find_if(readers.begin(), readers.end(), [&](const tree_member& one) {
        return one.region == m_self.region;
    });
    return near == readers.end() ? readers.front().name : near->name;
}

source source_selector::any_of(const std::vector<tree_member>& others) {
    return others[m_random.below(others.size())].name;
}

void source_selector::answered(const source& from, base::monotonic_time as_of,
                               base::monotonic_time now) {
    m_reach.answered(from);
    const bool was_current = is_current(now);
    m_as_of = std::max(m_as_of.value_or(as_of), as_of);
    if (now - as_of > m_settings.oldest_copy) {
        leave_old(from, now);
        return;
    }
    if (from) {
        m_old_until.erase(*from);
    }
    const auto others = usable(leave_out::absent, now);
    if (!was_current && from != place_in_tree(m_self, others, m_settings.tree).parent) {
        m_detour.emplace(from);
        m_detour_until = now + jittered(m_settings.detour);
    }
}

void source_selector::has_no_copy(const source& from, base::monotonic_time now) {
    m_reach.answered(from);
    leave_old(from, now);
}

void source_selector::leave_old(const source& from, base::monotonic_time now) {
    if (from) {
        m_old_until[*from] = now + jittered(m_settings.old_copy_pause);
    }
}

void source_selector::failed(const source& from, base::monotonic_time now) {
    const bool reads = place_in_tree(m_self, m_others, m_settings.tree).reads_owner;
    m_reach.failed(from, reads ? reading_role::reader : reading_role::other, now);
    if (from && m_reach.is_present(std::nullopt, now)) {
        m_detour.emplace(std::nullopt);
        m_detour_until = now + jittered(m_settings.detour);
    }
}

base::duration source_selector::jittered(base::duration pause) {
    return base::from_seconds(base::to_seconds(pause) * (0.75 + 0.5 * m_random.unit()));
}

}  // namespace ferryroad::coordination::reading
