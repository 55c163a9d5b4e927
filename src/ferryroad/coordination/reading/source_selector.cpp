#include "ferryroad/coordination/reading/source_selector.hpp"

#include <algorithm>
#include <tuple>
#include <utility>

namespace ferryroad::coordination::reading {

source_selector::source_selector(tree_member self, selector_settings settings,
                                 source_reachability& reach, base::random_source& random)
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
    m_rank_position = static_cast<std::size_t>(
        std::count_if(m_others.begin(), m_others.end(),
                      [&](const tree_member& one) { return ranks_before(one, m_self); }));
    m_is_reader = place_in_tree(m_self, m_others, m_settings.tree).reads_owner;
    m_parents.clear();
    std::erase_if(m_stale_until, [&](const auto& entry) {
        return std::none_of(m_others.begin(), m_others.end(),
                            [&](const tree_member& one) { return one.name == entry.first; });
    });
}

source source_selector::tree_parent(exclusion_rule rule, base::monotonic_time now) const {
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

base::monotonic_time source_selector::next_change(exclusion_rule rule,
                                                  base::monotonic_time now) const {
    base::monotonic_time next = m_reach.next_readmission(now);
    if (rule == exclusion_rule::unreachable_or_stale) {
        for (const auto& [name, until] : m_stale_until) {
            next = until > now ? std::min(next, until) : next;
        }
    }
    return next;
}

bool source_selector::is_usable(const source& from, exclusion_rule rule,
                                base::monotonic_time now) const {
    const auto known = from ? m_stale_until.find(*from) : m_stale_until.end();
    const bool is_stale = known != m_stale_until.end() && now < known->second;
    return m_reach.is_available(from, now) &&
           !(rule == exclusion_rule::unreachable_or_stale && is_stale);
}

std::vector<tree_member> source_selector::usable(exclusion_rule rule,
                                                 base::monotonic_time now) const {
    std::vector<tree_member> found;
    std::copy_if(m_others.begin(), m_others.end(), std::back_inserter(found),
                 [&](const tree_member& one) { return is_usable(one.name, rule, now); });
    return found;
}

source source_selector::choose(base::monotonic_time now) {
    const bool uses_temporary =
        m_temporary_source && now < m_temporary_until &&
        is_usable(*m_temporary_source, exclusion_rule::unreachable_or_stale, now);
    if (uses_temporary) {
        m_chosen = *m_temporary_source;
    } else {
        m_temporary_source.reset();
        m_chosen = is_current(now) ? choose_while_current(now) : choose_while_stale(now);
    }
    return m_chosen;
}

source source_selector::choose_while_current(base::monotonic_time now) const {
    if (is_usable(std::nullopt, exclusion_rule::unreachable, now)) {
        return tree_parent(exclusion_rule::unreachable_or_stale, now);
    }
    const auto others = usable(exclusion_rule::unreachable_or_stale, now);
    return others.empty() ? m_reach.first_readmitted(m_others) : nearest_reader(others);
}

source source_selector::choose_while_stale(base::monotonic_time now) {
    source preferred = tree_parent(exclusion_rule::unreachable, now);
    if (is_usable(preferred, exclusion_rule::unreachable_or_stale, now)) {
        return preferred;
    }
    const bool owner_answers = is_usable(std::nullopt, exclusion_rule::unreachable, now);
    if (owner_answers && may_read_owner(now)) {
        return std::nullopt;
    }
    const auto others = usable(exclusion_rule::unreachable_or_stale, now);
    if (!others.empty()) {
        return any_fallback_reader(others, now);
    }
    if (owner_answers) {
        return std::nullopt;
    }
    const auto answering = usable(exclusion_rule::unreachable, now);
    return answering.empty() ? m_reach.first_readmitted(m_others) : random_choice(answering);
}

std::size_t source_selector::owner_readers(base::monotonic_time now) const {
    const bool soon_stale = age(now) + m_settings.call_timeout > m_settings.max_copy_age;
    return soon_stale ? m_settings.fallback_readers : m_settings.tree.readers;
}

bool source_selector::may_read_owner(base::monotonic_time now) {
    if (!m_as_of || m_rank_position < owner_readers(now)) {
        return true;
    }
    const base::duration stale_for = age(now) - m_settings.max_copy_age;
    if (stale_for > m_settings.isolated_after && m_unanswered_calls >= m_settings.isolated_calls) {
        return true;
    }
    return stale_for > m_settings.others_read_owner_after &&
           m_random.below(m_others.size() + 1) < m_settings.fallback_readers;
}

source source_selector::any_fallback_reader(std::vector<tree_member> others,
                                            base::monotonic_time now) {
    const std::size_t count = m_as_of ? owner_readers(now) : others.size();
    if (count < others.size()) {
        others.resize(count);
    }
    return random_choice(others);
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

source source_selector::random_choice(const std::vector<tree_member>& others) {
    return others[m_random.below(others.size())].name;
}

void source_selector::answered(const source& from, base::monotonic_time as_of,
                               base::monotonic_time now) {
    m_reach.answered(from);
    m_unanswered_calls = 0;
    const bool was_current = is_current(now);
    m_as_of = std::max(m_as_of.value_or(as_of), as_of);
    if (now - as_of > m_settings.max_copy_age) {
        exclude_stale(from, now);
        return;
    }
    if (from && m_stale_until.erase(*from) > 0) {
        m_parents.clear();
    }
    if (!was_current && from != tree_parent(exclusion_rule::unreachable, now)) {
        switch_to(from, now);
    }
}

void source_selector::has_no_copy(const source& from, base::monotonic_time now) {
    m_reach.answered(from);
    exclude_stale(from, now);
}

void source_selector::exclude_stale(const source& from, base::monotonic_time now) {
    if (from) {
        m_stale_until[*from] = now + jittered(m_settings.old_copy_pause);
        m_parents.clear();
    }
}

void source_selector::failed(const source& from, base::monotonic_time now) {
    m_reach.failed(from, m_is_reader ? reading_role::reader : reading_role::other, now);
    if (!from) {
        return;
    }
    ++m_unanswered_calls;
    const bool next_timeout_too_late =
        !m_as_of || age(now) + m_settings.call_timeout > m_settings.max_copy_age;
    if (!next_timeout_too_late) {
        return;  // The router that takes its place in the tree may not answer either.
    }
    if (m_reach.is_available(std::nullopt, now) && may_read_owner(now)) {
        switch_to(std::nullopt, now);
        return;
    }
    const auto others = usable(exclusion_rule::unreachable_or_stale, now);
    if (!others.empty()) {
        switch_to(any_fallback_reader(others, now), now);
    }
}

void source_selector::switch_to(const source& other, base::monotonic_time now) {
    m_temporary_source.emplace(other);
    m_temporary_until = now + jittered(m_settings.temporary_source_period);
}

base::duration source_selector::jittered(base::duration pause) {
    return base::from_seconds(base::to_seconds(pause) * (0.75 + 0.5 * m_random.unit()));
}

}  // namespace ferryroad::coordination::reading
