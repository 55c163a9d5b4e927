#include "ferryroad/core/placement/warm_state.hpp"

#include <algorithm>

namespace ferryroad::core::placement {

warm_state::entry& warm_state::touch(prefix::part_key part) {
    const auto found = m_parts.find(part.value);
    if (found != m_parts.end()) {
        m_lru.splice(m_lru.begin(), m_lru, found->second.lru_position);
        return found->second;
    }
    if (m_parts.size() >= m_tunables.parts) {
        m_parts.erase(m_lru.back());
        m_lru.pop_back();
    }
    m_lru.push_front(part.value);
    entry& added = m_parts[part.value];
    added.lru_position = m_lru.begin();
    return added;
}

warm_state::assumption& warm_state::assumption_of(entry& part, const holder_name& holder) {
    std::vector<assumption>& assumptions = part.assumptions;
    const auto known = std::find_if(assumptions.begin(), assumptions.end(),
                                    [&](const assumption& one) { return one.holder == holder; });
    if (known != assumptions.end()) {
        return *known;
    }
    if (assumptions.size() >= m_tunables.holders) {
        const auto oldest = std::min_element(
            assumptions.begin(), assumptions.end(),
            [](const assumption& a, const assumption& b) { return a.since < b.since; });
        assumptions.erase(oldest);
    }
    assumptions.push_back(assumption{holder, 0, false, {}});
    return assumptions.back();
}

void warm_state::expect(const std::vector<prefix::scoped_part>& parts, const holder_name& holder,
                        base::monotonic_time now) {
    for (const prefix::scoped_part& part : parts) {
        assumption& one = assumption_of(touch(part.key), holder);
        const bool known = one.confirmed && one.tokens >= part.tokens;
        if (!known) {
            one.tokens = std::max(one.tokens, part.tokens);
            one.confirmed = false;
            one.since = now;
        }
    }
}

void warm_state::told(prefix::part_key part, const holder_name& holder, std::uint64_t tokens,
                      base::monotonic_time now) {
    if (tokens == 0) {
        const auto found = m_parts.find(part.value);
        if (found != m_parts.end()) {
            std::erase_if(found->second.assumptions,
                          [&](const assumption& one) { return one.holder == holder; });
        }
        return;
    }
    assumption& one = assumption_of(touch(part), holder);
    one = {holder, tokens, true, now};
}

void warm_state::follow(const holder_name& holder, bool followed) {
    if (followed) {
        m_followed.insert(holder);
    } else {
        m_followed.erase(holder);
    }
}

void warm_state::forget(const holder_name& holder) {
    m_followed.erase(holder);
    for (auto& [key, part] : m_parts) {
        std::erase_if(part.assumptions,
                      [&](const assumption& one) { return one.holder == holder; });
    }
}

bool warm_state::holds(const assumption& one, base::monotonic_time now) const {
    if (one.confirmed && m_followed.contains(one.holder)) {
        return true;
    }
    if (!m_followed.contains(one.holder)) {
        return now - one.since < m_tunables.unfollowed_lifetime;
    }
    const base::duration prefill =
        m_tunables.confirmation_timeout_per_token * static_cast<std::int64_t>(one.tokens);
    return now - one.since < m_tunables.confirmation_timeout + prefill;
}

std::vector<const warm_state::entry*> warm_state::known_entries(
    const std::vector<prefix::scoped_part>& parts) const {
    std::vector<const entry*> entries;
    for (const prefix::scoped_part& part : parts) {
        const auto found = m_parts.find(part.key.value);
        if (found == m_parts.end()) {
            break;
        }
        entries.push_back(&found->second);
    }
    return entries;
}

holding warm_state::held_by(const holder_name& holder,
                            const std::vector<prefix::scoped_part>& parts,
                            const std::vector<const entry*>& entries,
                            base::monotonic_time now) const {
    holding held{holder, 0, true};
    for (std::size_t index = 0; index < entries.size(); ++index) {
        const auto& assumptions = entries[index]->assumptions;
        const auto known =
            std::find_if(assumptions.begin(), assumptions.end(),
                         [&](const assumption& one) { return one.holder == holder; });
        if (known == assumptions.end() || !holds(*known, now)) {
            break;
        }
        held.tokens += std::min(known->tokens, parts[index].tokens);
        held.confirmed = held.confirmed && known->confirmed;
        if (known->tokens < parts[index].tokens) {
            break;
        }
    }
    return held;
}

std::vector<holding> warm_state::holdings(const std::vector<prefix::scoped_part>& parts,
                                          base::monotonic_time now) const {
    const std::vector<const entry*> entries = known_entries(parts);
    std::vector<holding> all;
    if (entries.empty()) {
        return all;
    }
    for (const assumption& one : entries.front()->assumptions) {
        const std::uint64_t tokens = std::min(one.tokens, parts.front().tokens);
        if (tokens > 0 && holds(one, now)) {
            all.push_back({one.holder, tokens, one.confirmed});
        }
    }
    const auto name_order = [](const holding& a, const holding& b) { return a.holder < b.holder; };
    std::sort(all.begin(), all.end(), name_order);
    // Nearly all engines cache the first part, but few cache the following ones, so that the
    // holders of these are looked up in the list of the first part's holders.
    std::uint64_t before = parts.front().tokens;
    for (std::size_t index = 1; index < entries.size(); ++index) {
        for (const assumption& one : entries[index]->assumptions) {
            const auto found =
                std::lower_bound(all.begin(), all.end(), holding{one.holder, 0, false}, name_order);
            const bool holds_before =
                found != all.end() && found->holder == one.holder && found->tokens == before;
            if (holds_before && holds(one, now)) {
                found->tokens += std::min(one.tokens, parts[index].tokens);
                found->confirmed = found->confirmed && one.confirmed;
            }
        }
        before += parts[index].tokens;
    }
    return all;
}

std::uint64_t warm_state::tokens_held(const std::vector<prefix::scoped_part>& parts,
                                      const holder_name& holder, base::monotonic_time now) const {
    return held_by(holder, parts, known_entries(parts), now).tokens;
}

}  // namespace ferryroad::core::placement
