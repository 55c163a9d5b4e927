/// @file
/// `engine::client` over the simulated network.
#pragma once

#include "bench/simulation/engines/simulated_engine.hpp"
#include "ferryroad/engine/client.hpp"
#include "ferryroad/engine/tunables.hpp"

#include <functional>
#include <map>
#include <memory>

namespace ferryroad::bench::simulation {

/// Which engine stands at which address. Engines outlive it.
class engine_fleet {
  public:
    void add(simulated_engine& engine) { engines_.emplace(engine.address(), &engine); }
    /// @return null where none stands there.
    simulated_engine* find(const base::endpoint& address) const;

  private:
    std::map<base::endpoint, simulated_engine*> engines_;
};

/// One router process's client.
class engine_client final : public engine::client {
  public:
    /// Everything is borrowed and outlives the client. @param own address of the router.
    engine_client(engine_fleet& fleet, network& carrier, virtual_scheduler& scheduler,
                  base::endpoint own, engine::tunables limits = {});

    runtime::task<engine::result<std::unique_ptr<engine::generation_stream>>> generate(
        const engine::engine_target& target, engine::generation_request request) override;
    runtime::task<engine::result<std::unique_ptr<engine::generation_stream>>> resume(
        const engine::engine_target& target, base::attempt_id attempt,
        std::uint32_t first_token) override;
    runtime::task<engine::result<void>> cancel(const engine::engine_target& target,
                                               base::attempt_id attempt) override;
    runtime::task<engine::result<engine::application_answer>> call_application(
        const engine::engine_target& target, engine::application_request request) override;
    runtime::task<engine::result<engine::load_report>> read_load(
        const base::endpoint& address) override;
    runtime::task<engine::result<engine::cache_event_batch>> read_events(
        const engine::engine_target& target, std::uint64_t from_sequence,
        base::duration wait) override;
    runtime::task<engine::result<engine::import_answer>> import_state(
        const engine::engine_target& target, engine::import_request request) override;
    runtime::task<engine::result<void>> order(const engine::engine_target& target,
                                              base::fencing_token token,
                                              engine::engine_order order) override;

  private:
    class stream;

    /// What the engine at the address does with a request.
    using arrival = std::function<void(simulated_engine&)>;

    template <typename Message>
    std::shared_ptr<link<Message>> open_link(const base::endpoint& address);
    template <typename Message>
    void send(const std::shared_ptr<link<Message>>& line, const base::endpoint& address,
              arrival work);
    template <typename T>
    runtime::task<engine::result<T>> exchange(base::endpoint address, base::duration limit,
                                              std::shared_ptr<answer_link<T>> line, arrival work);
    runtime::task<engine::result<std::unique_ptr<engine::generation_stream>>> open_stream(
        base::endpoint address, base::duration limit, base::monotonic_time deadline,
        std::shared_ptr<stream_link> line, arrival work);
    /// @return why no connection can be made now, after the time that takes to find out.
    runtime::task<std::optional<engine::error>> connect(base::endpoint address,
                                                        base::duration limit);
    /// The connection found nobody at the other end.
    engine::error nobody_there();

    engine_fleet& fleet_;
    network& carrier_;
    virtual_scheduler& scheduler_;
    base::endpoint own_;
    engine::tunables limits_;
};

}  // namespace ferryroad::bench::simulation
