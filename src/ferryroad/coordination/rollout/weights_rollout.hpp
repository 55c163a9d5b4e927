/// @file
/// Brings a fleet of engines to the newest named weights, a few engines at a time, by orders
/// that carry a fencing token. Pure: what is seen of engines and answers comes in, steps come
/// out. Only the holder of the rollout's lease carries steps out.
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
#include <vector>

namespace ferryroad::coordination::rollout {

/// One engine process, as it was last seen.
struct engine_view {
    base::engine_name name;
    std::string model;
    std::uint64_t version = 0;
    std::uint32_t load = 0;         ///< Requests that the observer has running there.
    base::duration outdated_for{};  ///< Since newer weights than its own were first named.
    base::zone_name zone;
    std::uint64_t unread_tokens = 0;  ///< Of prompts that the observer has waiting there.

    friend bool operator==(const engine_view&, const engine_view&) = default;
};

/// What an engine said of itself when it was asked.
struct engine_report {
    std::uint64_t version = 0;
    std::uint64_t orders_taken = 0;
    bool busy = false;  ///< An order is under way.

    friend bool operator==(const engine_report&, const engine_report&) = default;
};

/// Ask the engine for its report; answered by `reported` or `report_lost`.
struct ask_report {
    base::engine_name engine;

    friend bool operator==(const ask_report&, const ask_report&) = default;
};
/// Order the engine to load a version; answered by `ordered`.
struct send_order {
    base::engine_name engine;
    std::string model;
    std::uint64_t version = 0;
    std::uint64_t expected_orders = 0;  ///< The engine refuses where it has taken others.

    friend bool operator==(const send_order&, const send_order&) = default;
};

/// An engine will be ordered to load a version as soon as it has told of itself.
struct coming_load {
    base::engine_name engine;
    std::string model;
    std::uint64_t version = 0;

    friend bool operator==(const coming_load&, const coming_load&) = default;
};

struct rollout_steps {
    std::vector<ask_report> reports;
    std::vector<send_order> orders;
    std::vector<coming_load> coming;
};

enum class order_answer {
    accepted,  ///< Being carried out, or it already holds.
    refused,   ///< Not carried out and never will be: other orders came between, or one runs.
    fenced,    ///< A later holder has ordered: this process holds the lease no more.
    lost       ///< It may be carried out, at any time from now on.
};

struct rollout_tunables {
    pace_tunables pace;
    /// Each engine is ordered within this of the moment its weights became outdated.
    base::duration order_within = std::chrono::milliseconds(6000);
    /// From an accepted order to the first question whether it is done.
    base::duration first_look = std::chrono::milliseconds(600);
    base::duration look_period = std::chrono::milliseconds(150);
    /// After a refusal or a lost answer, before the engine is asked again.
    base::duration retry_delay = std::chrono::milliseconds(200);
    /// While an engine whose order got no answer waits for the next one, between two questions.
    base::duration watch_period = std::chrono::milliseconds(300);
    /// An engine silent for so long stops counting against those that load.
    base::duration give_up = std::chrono::seconds(6);
};

/// Not thread-safe.
class weights_rollout {
  public:
    explicit weights_rollout(rollout_tunables tunables = {})
        : m_tunables(tunables), m_pace(tunables.pace) {}

    /// Versions only rise; an older one changes nothing.
    void want(const std::string& model, std::uint64_t version);
    /// @return the newest version named for a model, 0 where none is.
    std::uint64_t wanted(const std::string& model) const;
    /// @return the time from an order to the engine's word that it is carried out, of late.
    base::duration load_time() const { return m_pace.load_time(); }
    /// @return whether the engine is being brought to another version.
    bool under_way(const base::engine_name& engine) const { return m_engines.contains(engine); }

    /// @return whether an engine has older weights than the newest, or an order is under way.
    bool has_work(const std::vector<engine_view>& engines) const;

    /// @return how many engines have older weights than the newest of the model, and were sent no
    /// order yet to take these.
    std::size_t without_order(const std::string& model,
                              const std::vector<engine_view>& engines) const;

    /// @param engines all that may be ordered now. @return the steps that are due.
    rollout_steps next(const std::vector<engine_view>& engines, base::monotonic_time now);

    void reported(const base::engine_name& engine, const engine_report& report,
                  base::monotonic_time now);
    void report_lost(const base::engine_name& engine, base::monotonic_time now);
    void ordered(const base::engine_name& engine, order_answer answer, base::monotonic_time now);
    /// The lease was lost or taken anew: whatever was under way is looked at afresh.
    void reset() {
        m_engines.clear();
        m_ordered.clear();
    }

  private:
    enum class phase {
        asking,    ///< Its report is wanted before an order.
        ready,     ///< Its report is in: the order may go out.
        ordering,  ///< The order is on its way.
        loading    ///< The order was accepted.
    };
    struct progress {
        phase stage = phase::asking;
        bool call_under_way = false;
        /// An order got no answer, and no report has shown what became of it: it may be carried
        /// out at any time.
        bool unanswered = false;
        bool untold = false;        ///< It loads, and `coming` hasn't said so.
        std::uint64_t version = 0;  ///< That it is brought to.
        std::uint64_t orders_taken = 0;
        base::monotonic_time since{};
        base::monotonic_time next_call{};
        base::monotonic_time last_order{};
    };
    /// Who takes part in the rollout of one model.
    struct places {
        std::size_t total = 0;
        std::size_t loading = 0;     ///< Ordered, or about to be, and not in doubt.
        std::size_t unanswered = 0;  ///< May begin to load at any time.
        std::size_t repeating = 0;   ///< Of these: an order is on its way again.
        std::size_t waiting = 0;     ///< Outdated, and not begun.
        /// Of those waiting, how many have been outdated for how long: one entry a version in use.
        std::map<base::duration, std::size_t> outdated_for;

        /// @return how long one of those waiting has been outdated at the most.
        base::duration longest() const;
        void wait(const engine_view& one);
        /// One of those waiting is begun.
        void begin(const engine_view& one);
    };
    /// By the name of the model.
    using fleet_places = std::map<std::string, places>;
    using engines_by_name = std::unordered_map<std::string_view, const engine_view*>;
    using engine_list = std::vector<const engine_view*>;

    static engines_by_name by_name(const std::vector<engine_view>& engines);
    void drop_ended(const engines_by_name& engines, base::monotonic_time now);
    /// @return the outdated engines that aren't begun.
    engine_list waiting(const std::vector<engine_view>& engines) const;
    void sort_by_urgency(engine_list& outdated, const fleet_places& fleet) const;
    void begin_some(const std::vector<engine_view>& engines, fleet_places& fleet,
                    base::monotonic_time now);
    void begin(const engine_view& one, places& model, base::monotonic_time now);
    /// Orders engines whose last order got no answer once more.
    void repeat_some(const engines_by_name& engines, fleet_places& fleet, base::monotonic_time now,
                     rollout_steps& steps);
    void order(const engine_view& seen, progress& state, base::monotonic_time now,
               rollout_steps& steps);
    void call(const engine_view& seen, progress& state, base::monotonic_time now,
              rollout_steps& steps);
    void looked_idle(progress& state, base::monotonic_time now) const;
    /// Counted once a step, and kept up to date from then on: counted anew for each outdated
    /// engine, a step grows with the square of the fleet.
    fleet_places places_of(const std::vector<engine_view>& engines) const;
    std::size_t allowed(const places& model) const;
    /// @return whether so long after its weights became outdated one engine more may load or be
    /// about to.
    bool may_expose(const places& model, base::duration outdated_for) const;
    bool has_room(const engine_view& one, const places& model) const;
    bool has_room_to_repeat(const places& model) const;

    rollout_tunables m_tunables;
    rollout_pace m_pace;
    std::map<std::string, std::uint64_t> m_wanted;
    std::map<base::engine_name, progress> m_engines;
    std::map<base::engine_name, std::uint64_t> m_ordered;  ///< The newest version sent to each.
};

}  // namespace ferryroad::coordination::rollout
