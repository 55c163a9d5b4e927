/// @file
/// The platform's machine in the simulation: the emulator's pure model behind the network.
#pragma once

#include "bench/simulation/network/link.hpp"
#include "bench/simulation/network/network.hpp"
#include "emulator/platform/platform_model.hpp"
#include "ferryroad/platform/services.hpp"

#include <memory>
#include <string>
#include <vector>

namespace ferryroad::bench::simulation {

template <typename T>
using platform_link = link<platform::result<T>>;
using platform_rows = std::vector<platform::row>;
using platform_outcomes = std::vector<platform::transaction_outcome>;

/// Runs on the run's true time. All calls outside processes.
class simulated_platform {
  public:
    /// @param carrier outlives the platform; the platform outlives the run's events.
    simulated_platform(network& carrier, base::endpoint address,
                       emulator::platform_options options);
    simulated_platform(const simulated_platform&) = delete;
    simulated_platform& operator=(const simulated_platform&) = delete;

    const base::endpoint& address() const { return address_; }
    network& carrier() { return carrier_; }

    // What arrives from routers; each answers on `line`.
    void transact(const std::shared_ptr<platform_link<platform_outcomes>>& line,
                  const std::vector<platform::transaction>& transactions);
    void read(const std::shared_ptr<platform_link<platform_rows>>& line,
              const std::vector<platform::row_key>& keys);
    void scan(const std::shared_ptr<platform_link<platform_rows>>& line, const std::string& prefix,
              const platform::row_key& after, std::uint32_t limit);
    void put_object(const std::shared_ptr<platform_link<void>>& line, const std::string& name,
                    const std::string& bytes);
    void get_object(const std::shared_ptr<platform_link<std::string>>& line,
                    const std::string& name);
    void list_machines(const std::shared_ptr<platform_link<std::vector<platform::machine>>>& line);

    // What the provider does and what the auditor sees, at once.
    void put_machine(const platform::machine& machine);
    void remove_machine(const std::string& name);
    std::vector<platform::row> rows(const std::string& prefix) const;
    std::vector<platform::machine> machines();

    // Faults; each replaces its like.
    void set_outage(bool outage);
    void set_delay(base::duration delay);
    void set_rate(std::optional<double> calls_per_second);
    /// The next commits take effect and lose their answer.
    void lose_answers(std::uint32_t count);
    void lose_no_answers();

    /// Calls that came, for the slopes of docs/CAPACITY.md.
    std::uint64_t calls() const { return calls_; }

  private:
    virtual_time& time() const { return carrier_.time(); }
    /// Admits the call, lets its time pass, does `work`; answers refusals itself.
    template <typename T, typename Work>
    void serve(emulator::platform_service service, const std::shared_ptr<platform_link<T>>& line,
               Work work);

    network& carrier_;
    base::endpoint address_;
    emulator::platform_model model_;
    std::uint64_t calls_ = 0;
};

}  // namespace ferryroad::bench::simulation
