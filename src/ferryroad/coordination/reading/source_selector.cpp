#include "ferryroad/coordination/reading/source_selector.hpp"

#include <algorithm>
#include <utility>

namespace ferryroad::coordination::reading {

source_selector::source_selector(tree_member self, selector_settings settings,
                                 base::random_source& random)
    : m_self(std::move(self)), m_settings(settings), m_random(random) {}

void source_selector::declare(const std::vector<tree_member>& members) {
    m_others.clear();
    for (const tree_member& one : members) {
        if (one.name != m_self.name) {
            m_others.push_back(one);
        }
    }
    std::erase_if(m_records, [&](const auto& entry) {
        return std::none_of(m_others.begin(), m_others.end(),
                            [&](const tree_member& one) { return one.name == entry.first; });
    });
}

bool source_selector::is_usable(const source& from, leave_out rule,
                                base::monotonic_time now) const {
    const auto known = from ? m_records.find(*from) : m_records.end();
    const record_of_source none;
    const record_of_source& record =
        !from ? m_owner : (known == m_records.end() ? none : known->second);
    const bool is_old = rule == leave_out::absent_or_old && now < record.old_until;
    return now >= record.absent_until && !is_old;
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
        m_chosen = now < m_current_until ? choose_while_current(now) : choose_while_old(now);
    }
    return m_chosen;
}

source source_selector::choose_while_current(base::monotonic_time now) const {
    const bool owner_answers = is_usable(std::nullopt, leave_out::absent, now);
    const auto others = usable(leave_out::absent_or_old, now);
    if (owner_answers) {
        return place_in_tree(m_self, others, m_settings.tree).parent;
    }
    return others.empty() ? first_back() : nearest_reader(others);
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
    return answering.empty() ? first_back() : any_of(answering);
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

source source_selector::first_back() const {
    source first;
    base::monotonic_time earliest = m_owner.absent_until;
    for (const tree_member& one : m_others) {
        const auto known = m_records.find(one.name);
        if (known != m_records.end() && known->second.absent_until < earliest) {
            earliest = known->second.absent_until;
            first = one.name;
        }
    }
    return first;
}

void source_selector::answered(const source& from, bool is_old, base::monotonic_time now) {
    record_of_source& known = from ? m_records[*from] : m_owner;
    known = {};
    if (is_old) {
        known.old_until = now + jittered(m_settings.old_copy_pause);
        return;
    }
    const bool was_old = now >= m_current_until;
    const auto others = usable(leave_out::absent, now);
    if (was_old && from != place_in_tree(m_self, others, m_settings.tree).parent) {
        m_detour.emplace(from);
        m_detour_until = now + jittered(m_settings.detour);
    }
    m_current_until = now + m_settings.oldest_copy;
}

void source_selector::failed(const source& from, base::monotonic_time now) {
    if (from) {
        record_of_source& known = m_records[*from];
        const base::duration absence = std::max(known.next_absence, m_settings.first_absence);
        known.absent_until = now + jittered(absence);
        known.next_absence = std::min(2 * absence, m_settings.longest_absence);
        if (is_usable(std::nullopt, leave_out::absent, now)) {
            m_detour.emplace(std::nullopt);
            m_detour_until = now + jittered(m_settings.detour);
        }
        return;
    }
    const bool is_reader = place_in_tree(m_self, m_others, m_settings.tree).reads_owner;
    const base::duration longest =
        is_reader ? m_settings.longest_reader_pause : m_settings.longest_owner_pause;
    const base::duration pause =
        std::min(std::max(m_owner.next_absence, m_settings.first_owner_pause), longest);
    m_owner.absent_until = now + jittered(pause);
    m_owner.next_absence = 2 * pause;
}

base::duration source_selector::jittered(base::duration pause) {
    return base::from_seconds(base::to_seconds(pause) * (0.75 + 0.5 * m_random.unit()));
}

}  // namespace ferryroad::coordination::reading
