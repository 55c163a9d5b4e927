/// @file
/// An engine machine of the simulation: the emulator's pure models behind the network.
#pragma once

#include "bench/simulation/network/link.hpp"
#include "bench/simulation/network/network.hpp"
#include "emulator/engine/application_model.hpp"
#include "emulator/engine/engine_model.hpp"
#include "ferryroad/engine/client.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <variant>
#include <vector>

namespace ferryroad::bench::simulation {

/// The engine has admitted the attempt and will stream its events.
struct stream_opened {};

using stream_message = std::variant<stream_opened, engine::stream_event, engine::error>;
using stream_link = link<stream_message>;
template <typename T>
using answer_link = link<engine::result<T>>;

/// A dispatch as it reached an engine, for the auditor.
struct dispatch_arrival {
    base::monotonic_time at{};  ///< True time.
    base::endpoint router;
    base::request_id request;
    base::attempt_id attempt;
    base::weights_version version;              ///< Wanted; empty for application calls.
    base::incarnation process;                  ///< Of the engine then.
    std::optional<engine::error_code> refused;  ///< Nothing where it was admitted.
};

/// A planned stop of one engine process.
struct leaving_notice {
    base::incarnation process;
    base::monotonic_time since{};
};

/// What an engine machine runs.
struct engine_machine {
    base::engine_name name;
    base::endpoint address;
    machine_place where;
    std::variant<emulator::engine_model_settings, emulator::application_model_settings> service;
};

/// One engine name at one address over all its incarnations. All calls outside processes.
class simulated_engine {
  public:
    /// @param carrier outlives the engine; the engine outlives the run's events.
    simulated_engine(network& carrier, engine_machine machine);
    simulated_engine(const simulated_engine&) = delete;
    simulated_engine& operator=(const simulated_engine&) = delete;

    const base::engine_name& name() const { return machine_.name; }
    const base::endpoint& address() const { return machine_.address; }
    const machine_place& where() const { return machine_.where; }
    bool is_model() const { return model_ != nullptr; }
    bool is_down() const { return down_; }
    bool is_leaving() const { return !leavings_.empty() && leavings_.back().process == process_; }
    const std::vector<leaving_notice>& leavings() const { return leavings_; }
    /// @return whether it was frozen at some time between the two.
    bool was_frozen(base::monotonic_time from, base::monotonic_time until) const;
    base::incarnation process() const { return process_; }
    emulator::engine_model* model() { return model_.get(); }

    /// Runs `work` once the engine isn't frozen. @return false where nobody listens.
    bool receive(std::function<void()> work);

    void generate(const std::shared_ptr<stream_link>& line, const base::endpoint& router,
                  const engine::generation_request& request);
    void resume(const std::shared_ptr<stream_link>& line, const engine::engine_target& target,
                const base::attempt_id& attempt, std::uint32_t first_token);
    void cancel(const std::shared_ptr<answer_link<void>>& line, const base::attempt_id& attempt);
    void call_application(const std::shared_ptr<answer_link<engine::application_answer>>& line,
                          const base::endpoint& router, const engine::application_request& request);
    void read_load(const std::shared_ptr<answer_link<engine::load_report>>& line);
    void read_events(const std::shared_ptr<answer_link<engine::cache_event_batch>>& line,
                     base::incarnation process, std::uint64_t from, base::duration wait);
    /// @param source null where no engine is at the address named.
    void import_state(const std::shared_ptr<answer_link<engine::import_answer>>& line,
                      const engine::import_request& request, base::incarnation expected,
                      simulated_engine* source);
    void order(const std::shared_ptr<answer_link<void>>& line, base::fencing_token token,
               const engine::engine_order& order, base::incarnation expected);

    // Faults.
    void crash(base::duration restart_after);
    void freeze(base::duration length);
    void set_slow_factor(double factor);
    void set_refuse_overloaded(bool refuse);
    void lose_events(std::uint32_t count);
    /// Closes the connections of all streams under way.
    void cut_streams();
    /// The next answers of the application are not sent.
    void lose_answers(std::uint32_t count) { lost_answers_ += count; }
    void lose_no_answers() { lost_answers_ = 0; }
    /// A planned stop: refuses new work until the machine goes.
    void leave();
    /// The provider loads other weights, in this process and those to come; a lower token
    /// than one before changes nothing.
    void load_weights(const engine::load_model_order& order, base::fencing_token token);

    const std::vector<emulator::execution_record>& executions() const;
    const std::vector<dispatch_arrival>& arrivals() const { return arrivals_; }

  private:
    struct frozen_time {
        base::monotonic_time from{};
        base::monotonic_time until{};
    };

    virtual_time& time() { return carrier_.time(); }
    void restart();
    void order_weights();
    /// Does what is due, sends events to their readers, plans the next time.
    void settle();
    void plan_wakeup();
    void dispatch(const emulator::model_output& output);
    void open_stream(const std::shared_ptr<stream_link>& line, emulator::attempt_handle attempt);
    void close_stream(emulator::attempt_handle attempt, const stream_link* closed);
    void record_arrival(dispatch_arrival arrival, std::optional<engine::error_code> refused);
    void finish_call(const std::shared_ptr<answer_link<engine::application_answer>>& line,
                     const engine::application_request& request, emulator::attempt_handle attempt);
    void answer_import(const std::shared_ptr<answer_link<engine::import_answer>>& line,
                       const engine::import_request& request, base::incarnation expected,
                       const emulator::outcome<emulator::exported_state>& state);
    void remember(const std::shared_ptr<server_connection>& connection);

    network& carrier_;
    engine_machine machine_;
    base::incarnation process_{1};
    std::unique_ptr<emulator::engine_model> model_;
    std::unique_ptr<emulator::application_model> application_;
    bool down_ = false;
    std::vector<leaving_notice> leavings_;
    base::monotonic_time frozen_until_{};
    std::vector<frozen_time> frozen_times_;
    std::optional<engine::load_model_order> weights_;
    base::fencing_token weights_token_;
    std::uint32_t lost_answers_ = 0;
    std::map<emulator::attempt_handle, std::shared_ptr<stream_link>> readers_;
    std::vector<std::weak_ptr<server_connection>> connections_;
    std::optional<base::monotonic_time> planned_wakeup_;
    std::vector<dispatch_arrival> arrivals_;
};

}  // namespace ferryroad::bench::simulation
