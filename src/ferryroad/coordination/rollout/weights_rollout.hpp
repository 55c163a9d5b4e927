/// @file
/// Brings the engines of a fleet to the newest named weights, a few engines at a time, by orders
/// that carry a fencing token. Pure: the observed state of the engines and their answers come in,
/// steps come out. Only the holder of the rollout lease carries out the steps.
#pragma once

#include "ferryroad/base/ids.hpp"
#include "ferryroad/base/time.hpp"
#include "ferryroad/coordination/rollout/rollout_pace.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

namespace ferryroad::coordination::rollout {

/// State of one model at one engine process as last observed. An engine that has several models has
/// a view for each of them.
struct engine_view {
    base::engine_name name;
    std::string model;
    std::uint64_t version = 0;
    std::uint32_t load = 0;         ///< Requests that the observing router is running there.
    base::duration outdated_for{};  ///< Time since weights newer than its own were first named.
    base::zone_name zone;
    /// Prompt tokens of the observing router's requests that wait there.
    std::uint64_t unread_tokens = 0;
    /// Requests of all routers that store prompt state there and can't be sent to another engine.
    std::uint32_t pinned_writers = 0;
    /// Time until all requests of all routers that rely on the engine's weights have ended at the
    /// latest, zero if there are none. They store prompt state there, or may fetch it from there,
    /// and count until they are known to have ended, also if they were given up.
    base::duration state_used_for{};
    /// All other routers have reported their requests since they knew of the newest weights.
    bool reports_current = true;

    friend bool operator==(const engine_view&, const engine_view&) = default;
};

/// Status report of an engine.
struct engine_report {
    std::uint64_t version = 0;  ///< Weights of the model that was asked for.
    std::uint64_t orders_taken = 0;
    bool busy = false;  ///< Whether an order is being carried out.

    friend bool operator==(const engine_report&, const engine_report&) = default;
};

/// Ask the engine for its report on a model; answered by `reported` or `report_lost`.
struct ask_report {
    base::engine_name engine;
    std::string model;

    friend bool operator==(const ask_report&, const ask_report&) = default;
};
/// Order the engine to load a version; answered by `ordered`.
struct send_order {
    base::engine_name engine;
    std::string model;
    std::uint64_t version = 0;
    /// Number of orders that the engine must have taken; it refuses the order otherwise.
    std::uint64_t expected_orders = 0;
    base::duration state_used_for{};  ///< See `engine_view`.
    bool reports_current = true;      ///< See `engine_view`.
    /// The engine must end its requests before it loads: one that relies on its weights would go on
    /// under the new ones, and store what no longer matches the name that it is stored under.
    bool drain_first = false;

    friend bool operator==(const send_order&, const send_order&) = default;
};

/// The engine will be ordered to load a version as soon as it has reported.
struct upcoming_load {
    base::engine_name engine;
    std::string model;
    std::uint64_t version = 0;

    friend bool operator==(const upcoming_load&, const upcoming_load&) = default;
};

/// Steps to carry out.
struct rollout_steps {
    std::vector<ask_report> reports;
    std::vector<send_order> orders;
    std::vector<upcoming_load> upcoming;
};

/// Outcome of an order.
enum class order_answer {
    accepted,  ///< The order is being carried out, or the engine already has the version.
    refused,   ///< The order was not and will not be carried out: another order came in between, or
               ///< one is running.
    fenced,    ///< A later lease holder has sent orders; this process no longer holds the lease.
    lost       ///< No answer arrived; the order may be carried out at any time from now on.
};

/// Settings of `weights_rollout`.
struct rollout_tunables {
    pace_tunables pace;
    /// Each engine is sent an order within this time after its weights became outdated.
    base::duration order_within = std::chrono::milliseconds(6000);
    /// An engine is not ordered for this long, after its weights became outdated, while it runs
    /// requests that rely on them. Then it is ordered to drain first. Longer waits leave too
    /// many engines with outdated weights.
    base::duration longest_writer_wait = std::chrono::milliseconds(1000);
    /// An engine that may be ordered waits at least this long for requests that rely on its
    /// weights: those that can be sent elsewhere are given up as soon as the order is announced.
    base::duration shortest_writer_wait = std::chrono::milliseconds(300);
    /// Time from an accepted order to the first poll of its completion.
    base::duration first_poll_delay = std::chrono::milliseconds(600);
    /// Time between further polls.
    base::duration look_period = std::chrono::milliseconds(150);
    /// Time from a refusal or a lost answer to the next poll of the engine.
    base::duration retry_delay = std::chrono::milliseconds(200);
    /// Time between polls of an engine whose order got no answer, while it waits for the next
    /// order.
    base::duration unanswered_poll_period = std::chrono::milliseconds(300);
    /// An engine that has not answered for this long no longer counts as loading.
    base::duration unresponsive_after = std::chrono::seconds(6);
};

/// State machine of the rollout of all models. An engine carries out one order at a time, so its
/// models are brought to their newest versions one after the other. Not thread-safe.
class weights_rollout {
  public:
    explicit weights_rollout(rollout_tunables tunables = {})
        : m_tunables(tunables), m_pace(tunables.pace) {}

    /// Sets the newest version named for a model. Versions only increase; an older one is ignored.
    void want(const std::string& model, std::uint64_t version);
    /// @return the newest version named for a model, 0 if there is none.
    std::uint64_t wanted(const std::string& model) const;
    /// @return the recent time from an order to the engine's report that it is done.
    base::duration load_time() const { return m_pace.load_time(); }
    /// @return whether the engine is being brought to another version of any of its models.
    bool under_way(const base::engine_name& engine) const { return m_engines.contains(engine); }

    /// @return whether an engine has older weights than the newest, or an order is in progress.
    bool has_work(const std::vector<engine_view>& engines) const;

    /// @return the number of engines that have older weights than the newest of the model and have
    /// not been sent an order for the newest yet.
    std::size_t without_order(const std::string& model,
                              const std::vector<engine_view>& engines) const;

    /// @param engines all engines that may be sent orders now.
    /// @return the steps that are due.
    rollout_steps next(const std::vector<engine_view>& engines, base::monotonic_time now);

    /// The engine answered with its report.
    void reported(const base::engine_name& engine, const engine_report& report,
                  base::monotonic_time now);
    /// The engine did not report.
    void report_lost(const base::engine_name& engine, base::monotonic_time now);
    /// An order was answered, or its answer was lost.
    void ordered(const base::engine_name& engine, order_answer answer, base::monotonic_time now);
    /// The lease was lost or acquired again: all progress is dropped and every engine is asked
    /// again.
    void reset() {
        m_engines.clear();
        m_ordered.clear();
        m_abandoned.clear();
    }

  private:
    enum class phase {
        asking,    ///< Waiting for its report, which is needed before an order.
        ready,     ///< Its report has arrived; the order may be sent.
        ordering,  ///< The order was sent and is not answered yet.
        loading    ///< The order was accepted.
    };
    struct progress {
        phase stage = phase::asking;
        bool call_under_way = false;
        /// An order got no answer and no report has shown its outcome yet; it may be carried out at
        /// any time.
        bool unanswered = false;
        /// It is to be listed in `rollout_steps::upcoming`.
        bool unannounced = false;
        bool drains = false;        ///< It was ordered to end its requests before it loads.
        std::string model;          ///< Model that is being replaced.
        std::uint64_t version = 0;  ///< Version that it is brought to.
        std::uint64_t orders_taken = 0;
        base::monotonic_time begun{};  ///< When the replacement was begun.
        base::monotonic_time since{};  ///< When the engine last made progress.
        base::monotonic_time next_call{};
        base::monotonic_time last_order{};
        std::optional<base::monotonic_time> ready_since;  ///< When its first report arrived.
        base::monotonic_time announced_at{};  ///< Last listed in `rollout_steps::upcoming`.
    };
    /// Counts of the engines of one model by their state in the rollout.
    struct model_counts {
        std::size_t total = 0;
        /// Ordered or about to be, without an unanswered order. Engines that drain first don't
        /// count: they take seconds, and the others would wait for them.
        std::size_t loading = 0;
        std::size_t unanswered = 0;  ///< With an unanswered order; may start to load at any time.
        std::size_t repeating = 0;   ///< Of these, engines to which an order was sent again.
        std::size_t waiting = 0;     ///< Outdated and not started.
        /// Number of waiting engines by the time they have been outdated; one entry for each
        /// version in use.
        std::map<base::duration, std::size_t> outdated_for;

        /// @return the longest time that a waiting engine has been outdated.
        base::duration longest_outdated() const;
        void add_waiting(const engine_view& one);
        /// A waiting engine is started.
        void begin(const engine_view& one);
    };
    /// Counts by model name.
    using fleet_counts = std::map<std::string, model_counts>;
    using views_by_engine = std::unordered_multimap<std::string_view, const engine_view*>;
    /// A model at an engine.
    using engine_model = std::pair<base::engine_name, std::string>;
    using engine_list = std::vector<const engine_view*>;

    static views_by_engine by_engine(const std::vector<engine_view>& engines);
    /// @return the view of one model at an engine; null if there is none.
    static const engine_view* find_view(const views_by_engine& engines,
                                        const base::engine_name& engine, const std::string& model);
    /// @return the progress of the model at the engine; null if it isn't being replaced there.
    const progress* progress_of(const engine_view& one) const;
    void remove_finished(const views_by_engine& engines, base::monotonic_time now);
    /// @return the outdated models of engines at which no model is being replaced.
    engine_list waiting(const std::vector<engine_view>& engines,
                        const views_by_engine& views) const;
    /// @return whether the engine is not started yet because of the requests that it runs.
    bool waits_for_writers(const engine_view& one) const;
    /// @return whether requests that rely on the engine's weights may still run.
    static bool is_relied_on(const engine_view& one);
    /// @return whether an engine that is ready is not ordered yet because of requests that rely on
    /// its weights.
    bool waits_for_state_uses(const engine_view& seen, const progress& state,
                              base::monotonic_time now) const;
    /// @return whether another model of the engine is outdated and matches.
    template <typename Predicate>
    bool any_other_outdated(const engine_view& one, const views_by_engine& views,
                            Predicate matches) const;
    /// @return whether the replacement has taken long without a load that is known to be under way,
    /// and another model of the engine is outdated.
    bool blocks_other_model(const progress& state, const engine_view& seen,
                            const views_by_engine& views, base::monotonic_time now) const;
    /// @return whether another model of the engine comes first: one that has been outdated for
    /// longer, or any if the last attempt at this one was given up.
    bool waits_for_other_model(const engine_view& one, const views_by_engine& views) const;
    void sort_by_urgency(engine_list& outdated, const fleet_counts& fleet) const;
    void start_engines(const std::vector<engine_view>& engines, const views_by_engine& views,
                       fleet_counts& fleet, base::monotonic_time now);
    void begin(const engine_view& one, model_counts& model, base::monotonic_time now);
    /// Sends another order to engines whose last order got no answer.
    void repeat_orders(const views_by_engine& engines, fleet_counts& fleet,
                       base::monotonic_time now, rollout_steps& steps);
    void order(const engine_view& seen, progress& state, base::monotonic_time now,
               rollout_steps& steps);
    /// Lists the engine in `rollout_steps::upcoming`.
    void announce(const engine_view& seen, progress& state, base::monotonic_time now,
                  rollout_steps& steps) const;
    void call(const engine_view& seen, progress& state, base::monotonic_time now,
              rollout_steps& steps);
    void watch_unanswered(progress& state, base::monotonic_time now) const;
    /// Counts the engines once per step. The counts are updated afterwards: counting again for each
    /// outdated engine would make a step quadratic in the size of the fleet.
    fleet_counts count_engines(const std::vector<engine_view>& engines) const;
    std::size_t allowed(const model_counts& model) const;
    /// @return whether one more engine may be loading or about to load this long after its weights
    /// became outdated.
    bool may_expose(const model_counts& model, base::duration outdated_for) const;
    bool has_room(const engine_view& one, const model_counts& model) const;
    bool has_room_to_repeat(const model_counts& model) const;

    rollout_tunables m_tunables;
    rollout_pace m_pace;
    std::map<std::string, std::uint64_t> m_wanted;
    std::map<base::engine_name, progress> m_engines;
    std::map<engine_model, std::uint64_t> m_ordered;  ///< Newest version that was ordered.
    /// The model that was last given up at an engine, which did not report it loaded in time.
    std::map<base::engine_name, std::string> m_abandoned;
};

}  // namespace ferryroad::coordination::rollout
