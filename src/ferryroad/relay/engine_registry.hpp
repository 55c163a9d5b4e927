/// @file
/// The engines known to this router: the engine list from the table, updated by what this router
/// observes in its own exchanges with engines before the list shows it.
#pragma once

#include "ferryroad/base/endpoint.hpp"
#include "ferryroad/base/ids.hpp"
#include "ferryroad/base/time.hpp"
#include "ferryroad/coordination/release/types.hpp"
#include "ferryroad/core/placement/engine_health.hpp"
#include "ferryroad/relay/types.hpp"

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

/// An engine process as described by its row in the engine list.
struct listed_engine {
    base::engine_name name;
    base::pool_name pool;
    base::endpoint address;
    base::zone_name zone;
    std::uint32_t slots = 1;
    bool leaving = false;
    std::map<std::string, std::uint64_t> versions;  ///< Versions of the weights, by model.
    coordination::release::software_version software;
    base::duration warming{};  ///< Remaining warm-up time at the time the row was written.
    /// Start time of the process in Unix milliseconds on its own clock; nullopt if not reported.
    std::optional<std::uint64_t> process_start_ms;

    friend bool operator==(const listed_engine&, const listed_engine&) = default;
};

/// @return whether the engine was restarted between the two rows. A process never changes its
/// software. If a row lacks the start time, a different address or a longer warm-up time indicates
/// a restart. Thread-safe.
bool is_new_process(const listed_engine& before, const listed_engine& now);

/// Limit that an engine last stated on the rate of requests from all routers together.
struct engine_limit {
    std::optional<double> per_second;  ///< Nothing if the engine states no limit.
    base::monotonic_time as_of{};      ///< When the engine stated it.

    friend bool operator==(const engine_limit&, const engine_limit&) = default;
};

/// What an engine process has stated about itself in its answers to this router.
struct engine_statements {
    bool leaving = false;
    base::monotonic_time backoff_until{};  ///< It wants no requests of this router before.

    friend bool operator==(const engine_statements&, const engine_statements&) = default;
};

/// What a statement has changed.
struct statement_change {
    bool leaving = false;  ///< The engine began to leave.
    bool backoff = false;  ///< The engine wants no requests, or for longer than before.
};

/// A request that relies on an engine's weights: it stores prompt state there under a name that
/// stands for them, or it can't be moved and its own engine may fetch such state from there. Its
/// run may outlast its exchange: not every engine stops as soon as a connection is closed.
struct state_use {
    base::monotonic_time ends_by{};  ///< The engine stops it by then at the latest.
    bool ended = false;              ///< It is known to have ended, or not to have run.
};

/// A listed engine with what this router knows beyond the list. All of it refers to one process of
/// the engine.
struct known_engine {
    listed_engine listed;
    std::uint64_t process = 0;  ///< Router-local number that identifies the process.
    core::placement::engine_health health;
    /// Newest version of the weights seen, by model.
    std::map<std::string, std::uint64_t> versions;
    std::uint32_t running = 0;       ///< This router's requests at the engine.
    std::uint32_t unrepeatable = 0;  ///< Those of `running` that are lost if the engine fails.
    /// Those of `running` that store prompt state and can't be sent to another engine.
    std::uint32_t pinned_writers = 0;
    /// This router's requests that rely on the weights, also those whose exchange has ended.
    std::vector<std::shared_ptr<state_use>> state_uses;
    std::uint64_t pending_prefill_tokens = 0;  ///< Prompt tokens of requests without a first event.
    base::monotonic_time refuses_until{};      ///< The engine said it takes no work until then.
    base::monotonic_time listed_at{};          ///< When the process was first listed.
    base::monotonic_time loading_until{};      ///< Announced to load new weights until then.
    std::string loading_model;                 ///< Model of these weights.
    base::monotonic_time warm_at{};            ///< End of the warm-up time.
    engine_statements stated;
    engine_limit limit;
    base::monotonic_time paused_until{};      ///< No request is sent before, due to the limit.
    std::vector<std::uint64_t> slot_asks;     ///< Asks for slots that wait for an answer.
    std::uint32_t unreported_rejections = 0;  ///< Not reported to the router that counts slots.
    base::monotonic_time full_until{};        ///< A slot was refused; no other is asked for before.
    /// When requests were sent to the engine recently that no router counted against its limit.
    std::vector<base::monotonic_time> uncounted_sends;

    /// @return whether it must get no new requests, as its row or one of its answers says so. A row
    /// that does not say so does not undo what the process itself stated.
    bool is_leaving() const { return listed.leaving || stated.leaving; }
    /// @return whether it wants no requests of this router at present.
    bool is_backing_off(base::monotonic_time now) const { return now < stated.backoff_until; }
    /// @return whether it is announced to load new weights of the model now. Requests for its other
    /// models are not affected.
    bool is_loading(const std::string& model, base::monotonic_time now) const {
        return now < loading_until && loading_model == model;
    }
    /// @return the newest version of the model's weights seen; 0 if none.
    std::uint64_t version_of(const std::string& model) const;
    /// @return the time until all requests in `state_uses` have ended at the latest; zero if none
    /// of them may still run.
    base::duration state_used_for(base::monotonic_time now) const;
};

/// Entry of an `engine_pool`.
struct pool_member {
    std::uint64_t name_hash = 0;  ///< Hash of the engine's name, for rendezvous hashing.
    const known_engine* engine = nullptr;
};

/// Number of engines by software version.
using software_counts = std::map<coordination::release::software_version, std::size_t>;

/// The engines of one pool, sorted by name.
using engine_pool = std::vector<pool_member>;

/// Must be used on the event loop's thread.
class engine_registry {
  public:
    /// Replaces the whole list: engines that are not in `listed` are removed.
    /// @param now current time, for `known_engine::listed_at`.
    void replace_all(const std::vector<listed_engine>& listed, base::monotonic_time now = {});
    /// Adds or updates an engine. A restarted engine loses everything known of its earlier process.
    void put(const listed_engine& one, base::monotonic_time now = {});
    void remove(const base::engine_name& name);

    /// @return the engine, or null. The pointer is valid until the next change of the list.
    known_engine* find(const base::engine_name& name);
    const std::map<base::engine_name, known_engine>& engines() const { return m_engines; }
    /// @return the engines of a pool, including leaving ones; valid until the next change of the
    /// list.
    const engine_pool& pool(const base::pool_name& name) const;
    /// @return the number of engines by software version, for each pool. Updated incrementally:
    /// counting 10,000 engines at each change of the list takes 20 ms on a small machine.
    const std::map<base::pool_name, software_counts>& software() const { return m_software; }
    /// @return the engines of a pool among the last ones that requests were sent to, the most
    /// recent first. Bounded in number; most of them have open connections.
    std::vector<const known_engine*> recently_used(const base::pool_name& name) const;
    /// @return the engines that have requests of this router or refuse work at present, sorted by
    /// name. Tracked separately: iterating over all of 3,001 engines each time took a tenth of a
    /// router's CPU time (profile of 299 routers).
    std::vector<const known_engine*> active(base::monotonic_time now);
    /// Records that a request is sent to the engine. It counts as active until a call of `active`
    /// finds that it isn't.
    void mark_active(const base::engine_name& name);
    /// Records that the registry contains every change accepted by the table before `as_of`.
    void confirm(base::monotonic_time as_of);
    /// @return time since the list was last confirmed; the maximum duration if it never was.
    base::duration age(base::monotonic_time now) const;
    /// @return whether `replace_all` has been called.
    bool known() const { return m_known; }

    /// @param handler called with the name of each restarted engine, before its new row replaces
    /// the old one.
    void on_new_process(std::function<void(const base::engine_name&)> handler) {
        m_on_new_process = std::move(handler);
    }
    /// @param handler called when an engine has newer weights than known before; not called for the
    /// weights that a process is first listed with.
    void on_newer_weights(
        std::function<void(const base::engine_name&, const std::string&, std::uint64_t)> handler) {
        m_on_newer_weights = std::move(handler);
    }
    /// Records the version of an engine's weights, as reported by the engine.
    void record_version(const base::engine_name& name, const std::string& model,
                        std::uint64_t version);
    /// Records what an answer states about the engine process that it is from. Its row may have
    /// been removed recently.
    /// @param sent_at when the request was sent, to tell whether the process has been replaced
    /// since.
    statement_change record_statement(const base::engine_name& name,
                                      const engine_statement& statement,
                                      base::monotonic_time sent_at, base::monotonic_time now);
    /// Records what an answer states about the rejections that the engines of a pool bear.
    /// @param per_second rejections per second and engine; nothing if there is no limit.
    /// @return whether this differs from what was last recorded.
    bool record_rejection_limit(const base::pool_name& pool,
                                std::optional<std::uint32_t> per_second);
    /// @return rejections per second that an engine of the pool bears; nothing if not limited.
    std::optional<std::uint32_t> rejection_limit(const base::pool_name& pool) const;
    /// Records that an engine is announced to load weights. The announcement is not authoritative:
    /// it expires at `until`, and earlier if the engine reports newer weights.
    void expect_weights(const base::engine_name& name, const std::string& model,
                        std::uint64_t version, base::monotonic_time until);
    /// @param handler called with each announcement, whether or not its engine is listed.
    void on_weights_announced(
        std::function<void(const std::string& model, std::uint64_t version)> handler) {
        m_on_weights_announced = std::move(handler);
    }

    /// Records a request that is about to be sent. It belongs to the process that is listed now;
    /// ignored for an engine that isn't listed.
    /// @param use not null; its owner marks it as ended.
    void add_state_use(const base::engine_name& name, std::shared_ptr<state_use> use,
                       base::monotonic_time now);

  private:
    /// Maximum number of recently used engines, over all pools.
    static constexpr std::size_t max_recently_used = 64;

    /// What a process stated, before and since its row was removed. A row may lapse and return
    /// while its process lives on.
    struct lapsed_engine {
        listed_engine listed;
        engine_statements stated;
    };
    /// Engines whose statements are kept after their rows were removed, at most.
    static constexpr std::size_t max_lapsed = 1000;

    void keep_statement(const known_engine& removed);
    /// Restores what the process stated before its row lapsed, if it is the same process.
    void restore_statement(known_engine& returned);
    void count_software(const listed_engine& one);
    void discount_software(const listed_engine& one);
    void add_to_pool(const known_engine& engine);
    void remove_from_pool(const known_engine& engine);

    std::map<base::engine_name, known_engine> m_engines;
    std::map<base::pool_name, engine_pool> m_pools;
    std::map<base::pool_name, software_counts> m_software;  ///< Keeps pools without engines.
    std::map<base::pool_name, std::uint32_t> m_rejection_limits;
    std::map<base::engine_name, lapsed_engine> m_lapsed;
    std::deque<base::engine_name> m_lapsed_order;  ///< Oldest first.
    std::set<base::engine_name> m_active;
    std::deque<base::engine_name> m_recently_used;  ///< Most recent first.
    std::function<void(const base::engine_name&, const std::string&, std::uint64_t)>
        m_on_newer_weights;
    std::function<void(const std::string&, std::uint64_t)> m_on_weights_announced;
    std::function<void(const base::engine_name&)> m_on_new_process;
    std::optional<base::monotonic_time> m_confirmed_at;
    std::uint64_t m_process_count = 0;  ///< Processes seen; source of `known_engine::process`.
    bool m_known = false;
};

/// RAII guard that counts one request at an engine for its lifetime. The registry must outlive it;
/// the engine may be removed from the list or restarted in the meantime.
class engine_load {
  public:
    /// @param repeatable whether the request can be retried elsewhere if the engine fails.
    /// @param pinned_writer whether it stores prompt state and can't be sent to another engine.
    engine_load(engine_registry& registry, base::engine_name name, std::uint64_t prefill_tokens,
                bool repeatable = true, bool pinned_writer = false);
    ~engine_load();
    engine_load(const engine_load&) = delete;
    engine_load& operator=(const engine_load&) = delete;

    /// Records that the first event arrived, so the prompt has been computed.
    void prefilled();
    /// @return the engine, or null if the process that got the request is no longer listed.
    known_engine* engine() const;

  private:
    engine_registry& m_registry;
    base::engine_name m_name;
    std::uint64_t m_process = 0;
    std::uint64_t m_prefill_tokens;
    bool m_repeatable;
    bool m_pinned_writer;
};

}  // namespace ferryroad::relay
