#include "ferryroad/coordination/reading/source_selector.hpp"

#include <algorithm>
#include <tuple>
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
    const auto ranks_before = [](const tree_member& a, const tree_member& b) {
        return std::tie(a.rank, a.name) > std::tie(b.rank, b.name);
    };
    std::sort(m_others.begin(), m_others.end(), ranks_before);
    m_place = static_cast<std::size_t>(
        std::count_if(m_others.begin(), m_others.end(),
                      [&](const tree_member& one) { return ranks_before(one, m_self); }));
    m_is_reader = place_in_tree(m_self, m_others, m_settings.tree).reads_owner;
    m_parents.clear();
    std::erase_if(m_old_until, [&](const auto& entry) {
        return std::none_of(m_others.begin(), m_others.end(),
                            [&](const tree_member& one) { return one.name == entry.first; });
    });
}

source source_selector::tree_parent(leave_out rule, base::monotonic_time now) const {
    const auto known = m_parents.find(rule);
    const bool holds = known != m_parents.end() && now < known->second.until &&
                       known->second.reach_revision == m_reach.revision();
    if (holds) {
        return known->second.parent;
    }
    source parent = place_in_tree(m_self, usable(rule, now), m_settings.tree).parent;
    m_parents[rule] = {parent, m_reach.revision(), next_change(rule, now)};
    return parent;
}

base::monotonic_time source_selector::next_change(leave_out rule, base::monotonic_time now) const {
    base::monotonic_time next = m_reach.next_return(now);
    if (rule == leave_out::absent_or_old) {
        for (const auto& [name, until] : m_old_until) {
            next = until > now ? std::min(next, until) : next;
        }
    }
    return next;
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
    if (is_usable(std::nullopt, leave_out::absent, now)) {
        return tree_parent(leave_out::absent_or_old, now);
    }
    const auto others = usable(leave_out::absent_or_old, now);
    return others.empty() ? m_reach.first_back(m_others) : nearest_reader(others);
}

source source_selector::choose_while_old(base::monotonic_time now) {
    source preferred = tree_parent(leave_out::absent, now);
    if (is_usable(preferred, leave_out::absent_or_old, now)) {
        return preferred;
    }
    const bool owner_answers = is_usable(std::nullopt, leave_out::absent, now);
    if (owner_answers && may_read_owner(now)) {
        return std::nullopt;
    }
    const auto others = usable(leave_out::absent_or_old, now);
    if (!others.empty()) {
        return any_stand_in(others, now);
    }
    if (owner_answers) {
        return std::nullopt;
    }
    const auto answering = usable(leave_out::absent, now);
    return answering.empty() ? m_reach.first_back(m_others) : any_of(answering);
}

std::size_t source_selector::owner_readers(base::monotonic_time now) const {
    const bool soon_old = age(now) + m_settings.silent_call > m_settings.oldest_copy;
    return soon_old ? m_settings.stand_ins : m_settings.tree.readers;
}

bool source_selector::may_read_owner(base::monotonic_time now) {
    if (!m_as_of || m_place < owner_readers(now)) {
        return true;
    }
    const base::duration old_for = age(now) - m_settings.oldest_copy;
    if (old_for > m_settings.isolated_after && m_silent_calls >= m_settings.isolated_calls) {
        return true;
    }
    return old_for > m_settings.others_after &&
           m_random.below(m_others.size() + 1) < m_settings.stand_ins;
}

source source_selector::any_stand_in(std::vector<tree_member> others, base::monotonic_time now) {
    const std::size_t count = m_as_of ? owner_readers(now) : others.size();
    if (count < others.size()) {
        others.resize(count);
    }
    return any_of(others);
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
    m_silent_calls = 0;
    const bool was_current = is_current(now);
    m_as_of = std::max(m_as_of.value_or(as_of), as_of);
    if (now - as_of > m_settings.oldest_copy) {
        leave_old(from, now);
        return;
    }
    if (from && m_old_until.erase(*from) > 0) {
        m_parents.clear();
    }
    if (!was_current && from != tree_parent(leave_out::absent, now)) {
        turn_to(from, now);
    }
}

void source_selector::has_no_copy(const source& from, base::monotonic_time now) {
    m_reach.answered(from);
    leave_old(from, now);
}

void source_selector::leave_old(const source& from, base::monotonic_time now) {
    if (from) {
        m_old_until[*from] = now + jittered(m_settings.old_copy_pause);
        m_parents.clear();
    }
}

void source_selector::failed(const source& from, base::monotonic_time now) {
    m_reach.failed(from, m_is_reader ? reading_role::reader : reading_role::other, now);
    if (!from) {
        return;
    }
    ++m_silent_calls;
    const bool next_is_too_late =
        !m_as_of || age(now) + m_settings.silent_call > m_settings.oldest_copy;
    if (!next_is_too_late) {
        return;  // The router that takes its place in the tree may be silent, too.
    }
    if (m_reach.is_present(std::nullopt, now) && may_read_owner(now)) {
        turn_to(std::nullopt, now);
        return;
    }
    const auto others = usable(leave_out::absent_or_old, now);
    if (!others.empty()) {
        turn_to(any_stand_in(others, now), now);
    }
}

void source_selector::turn_to(const source& other, base::monotonic_time now) {
    m_detour.emplace(other);
    m_detour_until = now + jittered(m_settings.detour);
}

base::duration source_selector::jittered(base::duration pause) {
    return base::from_seconds(base::to_seconds(pause) * (0.75 + 0.5 * m_random.unit()));
}

}  // namespace ferryroad::coordination::reading
