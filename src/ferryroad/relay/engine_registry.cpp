#include "ferryroad/relay/engine_registry.hpp"

#include "ferryroad/base/hash.hpp"

#include <algorithm>
#include <iterator>
#include <set>
#include <utility>

namespace ferryroad::relay {

std::uint64_t known_engine::version_of(const std::string& model) const {
    const auto found = versions.find(model);
    return found == versions.end() ? 0 : found->second;
}

bool is_new_process(const listed_engine& before, const listed_engine& now) {
    if (before.software != now.software) {
        return true;
    }
    if (before.process_start_ms && now.process_start_ms) {
        return before.process_start_ms != now.process_start_ms;
    }
    return before.address != now.address || now.warming > before.warming;
}

void engine_registry::replace_all(const std::vector<listed_engine>& listed,
                                  base::monotonic_time now) {
    std::set<base::engine_name> names;
    for (const listed_engine& one : listed) {
        names.insert(one.name);
        put(one, now);
    }
    for (auto entry = m_engines.begin(); entry != m_engines.end();) {
        const bool is_gone = !names.contains(entry->first);
        if (is_gone) {
            keep_statement(entry->second);
            remove_from_pool(entry->second);
            discount_software(entry->second.listed);
        }
        entry = is_gone ? m_engines.erase(entry) : std::next(entry);
    }
    m_known = true;
}

void engine_registry::put(const listed_engine& one, base::monotonic_time now) {
    const auto [entry, is_added] = m_engines.try_emplace(one.name);
    known_engine& engine = entry->second;
    const bool is_restarted = !is_added && is_new_process(engine.listed, one);
    if (is_restarted) {
        if (m_on_new_process) {
            m_on_new_process(one.name);
        }
        remove_from_pool(engine);
        discount_software(engine.listed);
        engine = known_engine();  // Everything known refers to the earlier process.
    }
    const bool is_new = is_added || is_restarted;
    if (is_new) {
        engine.process = ++m_process_count;
    }
    if (is_new || engine.listed.software != one.software) {
        engine.listed_at = now;
        engine.warm_at = now + one.warming;
    }
    const bool moves = is_new || engine.listed.pool != one.pool;
    if (moves && !is_new) {
        remove_from_pool(engine);
    }
    if (!is_new) {
        discount_software(engine.listed);
    }
    engine.listed = one;
    if (is_added) {
        restore_statement(engine);
    }
    count_software(engine.listed);
    if (moves) {
        add_to_pool(engine);
    }
    for (const auto& [model, version] : one.versions) {
        if (is_new) {
            engine.versions[model] = version;  // No event: every router reads it from the list.
        } else {
            record_version(one.name, model, version);
        }
    }
}

statement_change engine_registry::record_statement(const base::engine_name& name,
                                                   const engine_statement& statement,
                                                   base::monotonic_time sent_at,
                                                   base::monotonic_time now) {
    known_engine* engine = find(name);
    const auto lapsed = m_lapsed.find(name);
    const bool is_successor = engine != nullptr && engine->listed_at > sent_at;
    if (is_successor || (engine == nullptr && lapsed == m_lapsed.end())) {
        return {};
    }
    engine_statements& stated = engine != nullptr ? engine->stated : lapsed->second.stated;
    const engine_statements before = stated;
    // An engine that has begun to leave does not return.
    stated.leaving = stated.leaving || statement.leaving;
    if (statement.backoff) {
        stated.backoff_until = std::max(stated.backoff_until, now + *statement.backoff);
    }
    return {stated.leaving != before.leaving, stated.backoff_until != before.backoff_until};
}

void engine_registry::confirm(base::monotonic_time as_of) {
    m_confirmed_at = std::max(as_of, m_confirmed_at.value_or(as_of));
}

base::duration engine_registry::age(base::monotonic_time now) const {
    return m_confirmed_at ? now - *m_confirmed_at : base::duration::max();
}

void engine_registry::remove(const base::engine_name& name) {
    const auto found = m_engines.find(name);
    if (found != m_engines.end()) {
        keep_statement(found->second);
        remove_from_pool(found->second);
        discount_software(found->second.listed);
        m_engines.erase(found);
    }
}

void engine_registry::keep_statement(const known_engine& removed) {
    const base::engine_name& name = removed.listed.name;
    if (m_lapsed.insert_or_assign(name, lapsed_engine{removed.listed, removed.stated}).second) {
        m_lapsed_order.push_back(name);
    }
    if (m_lapsed_order.size() > max_lapsed) {
        m_lapsed.erase(m_lapsed_order.front());
        m_lapsed_order.pop_front();
    }
}

void engine_registry::restore_statement(known_engine& returned) {
    const auto found = m_lapsed.find(returned.listed.name);
    if (found == m_lapsed.end()) {
        return;
    }
    if (!is_new_process(found->second.listed, returned.listed)) {
        returned.stated = found->second.stated;
    }
    std::erase(m_lapsed_order, found->first);
    m_lapsed.erase(found);
}

namespace {

engine_pool::iterator find_position(engine_pool& pool, const base::engine_name& name) {
    return std::lower_bound(pool.begin(), pool.end(), name,
                            [](const pool_member& one, const auto& wanted) {
                                return one.engine->listed.name < wanted;
                            });
}

}  // namespace

void engine_registry::count_software(const listed_engine& one) {
    ++m_software[one.pool][one.software];
}

void engine_registry::discount_software(const listed_engine& one) {
    software_counts& counts = m_software[one.pool];
    const auto found = counts.find(one.software);
    if (found != counts.end() && --found->second == 0) {
        counts.erase(found);
    }
}

void engine_registry::add_to_pool(const known_engine& engine) {
    engine_pool& pool = m_pools[engine.listed.pool];
    const std::uint64_t hash = base::hash_bytes(engine.listed.name.value);
    pool.insert(find_position(pool, engine.listed.name), {hash, &engine});
}

void engine_registry::remove_from_pool(const known_engine& engine) {
    engine_pool& pool = m_pools[engine.listed.pool];
    const auto place = find_position(pool, engine.listed.name);
    if (place != pool.end() && place->engine == &engine) {
        pool.erase(place);
    }
}

const engine_pool& engine_registry::pool(const base::pool_name& name) const {
    static const engine_pool none;
    const auto found = m_pools.find(name);
    return found == m_pools.end() ? none : found->second;
}

void engine_registry::mark_active(const base::engine_name& name) {
    m_active.insert(name);
    std::erase(m_recently_used, name);
    m_recently_used.push_front(name);
    if (m_recently_used.size() > max_recently_used) {
        m_recently_used.pop_back();
    }
}

std::vector<const known_engine*> engine_registry::recently_used(const base::pool_name& name) const {
    std::vector<const known_engine*> found;
    for (const base::engine_name& one : m_recently_used) {
        const auto engine = m_engines.find(one);
        if (engine != m_engines.end() && engine->second.listed.pool == name) {
            found.push_back(&engine->second);
        }
    }
    return found;
}

known_engine* engine_registry::find(const base::engine_name& name) {
    const auto found = m_engines.find(name);
    return found == m_engines.end() ? nullptr : &found->second;
}

std::vector<const known_engine*> engine_registry::active(base::monotonic_time now) {
    std::vector<const known_engine*> found;
    for (auto place = m_active.begin(); place != m_active.end();) {
        const known_engine* engine = find(*place);
        const bool is_active =
            engine != nullptr && (engine->running > 0 || now < engine->refuses_until ||
                                  engine->state_used_for(now) > base::duration{});
        if (is_active) {
            found.push_back(engine);
            ++place;
        } else {
            place = m_active.erase(place);
        }
    }
    return found;
}

void engine_registry::record_version(const base::engine_name& name, const std::string& model,
                                     std::uint64_t version) {
    if (known_engine* engine = find(name)) {
        std::uint64_t& newest = engine->versions[model];
        if (version > newest) {
            newest = version;
            engine->refuses_until = {};  // It refused work because it was loading.
            if (engine->loading_model == model) {
                engine->loading_until = {};
            }
            if (m_on_newer_weights) {
                m_on_newer_weights(name, model, version);
            }
        }
    }
}

void engine_registry::expect_weights(const base::engine_name& name, const std::string& model,
                                     std::uint64_t version, base::monotonic_time until) {
    known_engine* engine = find(name);
    if (engine != nullptr && engine->version_of(model) < version) {
        // An engine loads one model at a time.
        engine->loading_until =
            engine->loading_model == model ? std::max(engine->loading_until, until) : until;
        engine->loading_model = model;
    }
    if (m_on_weights_announced) {
        m_on_weights_announced(model, version);
    }
}

base::duration known_engine::state_used_for(base::monotonic_time now) const {
    base::duration longest{};
    for (const auto& one : state_uses) {
        longest = one->ended ? longest : std::max(longest, one->ends_by - now);
    }
    return longest;
}

void engine_registry::add_state_use(const base::engine_name& name, std::shared_ptr<state_use> use,
                                    base::monotonic_time now) {
    if (known_engine* engine = find(name)) {
        std::erase_if(engine->state_uses,
                      [&](const auto& one) { return one->ended || one->ends_by <= now; });
        engine->state_uses.push_back(std::move(use));
        mark_active(name);
    }
}

engine_load::engine_load(engine_registry& registry, base::engine_name name,
                         std::uint64_t prefill_tokens, bool repeatable, bool pinned_writer)
    : m_registry(registry),
      m_name(std::move(name)),
      m_prefill_tokens(prefill_tokens),
      m_repeatable(repeatable),
      m_pinned_writer(pinned_writer) {
    if (known_engine* listed = m_registry.find(m_name)) {
        m_process = listed->process;
        ++listed->running;
        m_registry.mark_active(m_name);
        listed->unrepeatable += m_repeatable ? 0 : 1;
        listed->pinned_writers += m_pinned_writer ? 1 : 0;
        listed->pending_prefill_tokens += m_prefill_tokens;
    }
}

engine_load::~engine_load() {
    prefilled();
    known_engine* listed = engine();
    if (listed != nullptr && listed->running > 0) {
        --listed->running;
        listed->unrepeatable -= std::min<std::uint32_t>(m_repeatable ? 0 : 1, listed->unrepeatable);
        listed->pinned_writers -=
            std::min<std::uint32_t>(m_pinned_writer ? 1 : 0, listed->pinned_writers);
    }
}

void engine_load::prefilled() {
    const std::uint64_t tokens = std::exchange(m_prefill_tokens, 0);
    if (known_engine* listed = engine()) {
        listed->pending_prefill_tokens -= std::min(tokens, listed->pending_prefill_tokens);
    }
}

known_engine* engine_load::engine() const {
    known_engine* listed = m_registry.find(m_name);
    return listed != nullptr && listed->process == m_process ? listed : nullptr;
}

bool engine_registry::record_rejection_limit(const base::pool_name& pool,
                                             std::optional<std::uint32_t> per_second) {
    if (per_second == rejection_limit(pool)) {
        return false;
    }
    if (per_second) {
        m_rejection_limits[pool] = *per_second;
    } else {
        m_rejection_limits.erase(pool);
    }
    return true;
}

std::optional<std::uint32_t> engine_registry::rejection_limit(const base::pool_name& pool) const {
    const auto found = m_rejection_limits.find(pool);
    return found == m_rejection_limits.end() ? std::nullopt : std::optional(found->second);
}

}  // namespace ferryroad::relay
