/// @file
/// The engines as this router knows them: the list of its source, corrected by what its own
/// exchanges show sooner.
#pragma once

#include "ferryroad/base/endpoint.hpp"
#include "ferryroad/base/ids.hpp"
#include "ferryroad/base/time.hpp"
#include "ferryroad/coordination/release/types.hpp"
#include "ferryroad/core/placement/engine_health.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace ferryroad::relay {

/// An engine process as the list tells it.
struct listed_engine {
    base::engine_name name;
    base::pool_name pool;
    base::endpoint address;
    base::zone_name zone;
    std::uint32_t slots = 1;
    bool leaving = false;
    std::map<std::string, std::uint64_t> versions;  ///< Of weights, by model.
    coordination::release::software_version software;
    base::duration warming{};  ///< When its row was written: how much longer it is slow at first.
    /// When its process started, in Unix milliseconds of its own clock; nothing where it doesn't
    /// say.
    std::optional<std::uint64_t> born;

    friend bool operator==(const listed_engine&, const listed_engine&) = default;
};

/// @return whether the engine of that name has started anew between the two. Where it doesn't say
/// when it started, another address or a longer time to be slow shows it. Thread-safe.
bool is_new_process(const listed_engine& before, const listed_engine& now);

/// A listed engine with what this router knows beyond the list, all of it of one process.
struct known_engine {
    listed_engine listed;
    std::uint64_t process = 0;  ///< Of this router's own count: tells one process from the next.
    core::placement::engine_health health;
    std::map<std::string, std::uint64_t> versions;  ///< The newest seen, from whatever source.
    std::uint32_t running = 0;
    std::uint32_t unrepeatable = 0;  ///< Of `running`: would be lost with the engine.
    std::uint64_t pending_prefill_tokens = 0;
    base::monotonic_time refuses_until{};  ///< It said that it takes no work for now.
    base::monotonic_time listed_at{};      ///< This process was first in the list then.
    base::monotonic_time loading_until{};  ///< It is said to take new weights until then.
    base::monotonic_time warm_at{};        ///< Slow until then, as it started not long before.

    std::uint64_t version_of(const std::string& model) const;
};

/// An engine among those of its pool.
struct pool_member {
    std::uint64_t name_hash = 0;
    const known_engine* engine = nullptr;
};

using software_counts = std::map<coordination::release::software_version, std::size_t>;

/// The engines of one pool, in the order of their names.
using engine_pool = std::vector<pool_member>;

/// Used from the event loop's thread.
class engine_registry {
  public:
    /// Takes the whole list: what it lacks is gone.
    /// @param now by this router's clock, for `known_engine::listed_at`.
    void replace_all(const std::vector<listed_engine>& listed, base::monotonic_time now = {});
    void put(const listed_engine& one, base::monotonic_time now = {});
    void remove(const base::engine_name& name);

    /// @return the engine, or null. The pointer holds until the next change of the list.
    known_engine* find(const base::engine_name& name);
    const std::map<base::engine_name, known_engine>& engines() const { return m_engines; }
    /// @return the engines of a pool, leaving ones among them; holds until the next change of the
    /// list.
    const engine_pool& pool(const base::pool_name& name) const;
    /// @return the versions of software that engines of each pool run, with how many do. Counted as
    /// the list changes: a look at 10,000 engines at each change takes a small machine 20 ms.
    const std::map<base::pool_name, software_counts>& software() const { return m_software; }
    /// @return engines of a pool that requests were sent to last, most of them with connections
    /// that are kept; a bounded number.
    std::vector<const known_engine*> lately_used(const base::pool_name& name) const;
    /// @return the engines that this router has requests at, or that refuse work for now: few of
    /// many, in the order of their names. Each look at all of 3,001 engines took a tenth of a
    /// router's processor time (profile of 299 routers).
    std::vector<const known_engine*> active(base::monotonic_time now);
    /// A request goes to the engine: it counts as active until it is seen not to be.
    void mark_active(const base::engine_name& name);
    /// Everything that the list's owner took before `as_of` has been told.
    void confirm(base::monotonic_time as_of);
    /// @return time since the list was last confirmed; the greatest while it never was.
    base::duration age(base::monotonic_time now) const;
    /// @return whether a whole list has been taken yet.
    bool known() const { return m_known; }

    /// @param told of each engine whose name is that of a new process, before that is taken.
    void on_new_process(std::function<void(const base::engine_name&)> told) {
        m_new_process = std::move(told);
    }
    /// @param told of each engine that shows newer weights than were known, not of its first ones.
    void on_newer_weights(
        std::function<void(const base::engine_name&, const std::string&, std::uint64_t)> told) {
        m_newer_weights = std::move(told);
    }
    /// An engine showed the version of its weights.
    void saw_version(const base::engine_name& name, const std::string& model,
                     std::uint64_t version);
    /// An engine is about to take weights. Who tells it is no witness: the belief ends by itself
    /// `until` then, and with the first sign of weights as new.
    void expect_weights(const base::engine_name& name, const std::string& model,
                        std::uint64_t version, base::monotonic_time until);

  private:
    /// Engines remembered as lately used, in all pools.
    static constexpr std::size_t most_lately_used = 64;

    void count_software(const listed_engine& one);
    void discount_software(const listed_engine& one);
    void join_pool(const known_engine& engine);
    void leave_pool(const known_engine& engine);

    std::map<base::engine_name, known_engine> m_engines;
    std::map<base::pool_name, engine_pool> m_pools;
    std::map<base::pool_name, software_counts> m_software;  ///< A pool stays without engines.
    std::set<base::engine_name> m_active;
    std::deque<base::engine_name> m_lately_used;  ///< The last one first.
    std::function<void(const base::engine_name&, const std::string&, std::uint64_t)>
        m_newer_weights;
    std::function<void(const base::engine_name&)> m_new_process;
    std::optional<base::monotonic_time> m_confirmed_at;
    std::uint64_t m_processes = 0;  ///< Seen so far.
    bool m_known = false;
};

/// Counts one request at an engine while it lives. The registry outlives it; the engine may
/// leave the list meanwhile.
class engine_load {
  public:
    /// @param repeatable whether the request may run again elsewhere, should the engine stop.
    engine_load(engine_registry& registry, base::engine_name name, std::uint64_t prefill_tokens,
                bool repeatable = true);
    ~engine_load();
    engine_load(const engine_load&) = delete;
    engine_load& operator=(const engine_load&) = delete;

    /// The prompt has been read: the first event came.
    void prefilled();
    /// @return the engine, or null where that process is no longer listed.
    known_engine* engine() const;

  private:
    engine_registry& m_registry;
    base::engine_name m_name;
    std::uint64_t m_process = 0;
    std::uint64_t m_prefill_tokens;
    bool m_repeatable;
};

}  // namespace ferryroad::relay
