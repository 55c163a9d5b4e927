/// @file
/// A directory with a clock and a configuration that tests control.
#pragma once

#include "ferryroad/router/backends/backend_directory.hpp"

#include <memory>
#include <string>
#include <vector>

namespace ferryroad::router::backends::test {

using namespace std::chrono_literals;

struct manual_clock final : base::clock {
    base::monotonic_time time{1h};
    base::monotonic_time now() const override { return time; }
    std::int64_t unix_milliseconds() const override { return 0; }
};

struct manual_configuration final : configuration_view {
    std::shared_ptr<catalog::catalog> value = std::make_shared<catalog::catalog>();
    std::shared_ptr<const catalog::catalog> current() const override { return value; }
    bool confirmed() const override { return true; }

    void drain(const base::pool_name& pool, std::vector<base::engine_name> engines) {
        value->pools[pool].drained = std::move(engines);
    }
};

inline const base::engine_name e1("e1");
inline const base::pool_name pool("p");

inline platform::machine machine_of(const std::string& name, std::uint16_t port = 1,
                                    platform::machine_state state = platform::machine_state::live) {
    platform::machine machine;
    machine.name = name;
    machine.kind = platform::machine_kind::engine;
    machine.address = {"127.0.0.1", port};
    machine.pool = pool.value;
    machine.state = state;
    return machine;
}

inline engine::load_report report_of(std::uint64_t process, bool leaving = false,
                                     const std::string& name = "e1") {
    engine::load_report load;
    load.name = base::engine_name(name);
    load.incarnation = base::incarnation(process);
    load.leaving = leaving;
    return load;
}

struct directory_fixture {
    manual_clock clock;
    manual_configuration configuration;
    tunables limits;
    backend_directory directory{clock, configuration};

    void list(platform::machine_state state = platform::machine_state::live,
              std::uint16_t port = 1) {
        directory.apply_machine_list({machine_of("e1", port, state)});
    }
    void poll(const engine::load_report& load, base::duration asked_ago = 0ms,
              std::uint16_t port = 1) {
        directory.record_poll(e1, {{"127.0.0.1", port}, clock.time - asked_ago, load});
    }
    bool available() const { return directory.find(e1).has_value(); }
};

}  // namespace ferryroad::router::backends::test
