#include "emulator/engine/machine_registration.hpp"

#include "ferryroad/runtime/log.hpp"

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <utility>

namespace ferryroad::emulator {

namespace {

constexpr unsigned status_ok = 200;
constexpr std::string_view log_component = "engine.registration";
constexpr base::duration put_timeout = std::chrono::seconds(1);
constexpr base::duration retry_delay = std::chrono::milliseconds(200);
constexpr base::duration renewal_interval = std::chrono::seconds(5);
constexpr int leaving_attempts = 5;

std::string machine_json(const platform::machine& machine) {
    const bool leaving = machine.state == platform::machine_state::leaving;
    return boost::json::serialize(boost::json::object{{"name", machine.name},
                                                      {"kind", "engine"},
                                                      {"address", machine.address.to_string()},
                                                      {"zone", machine.zone.value},
                                                      {"region", machine.region.value},
                                                      {"pool", machine.pool},
                                                      {"state", leaving ? "leaving" : "live"}});
}

}  // namespace

machine_registration::machine_registration(runtime::scheduler& scheduler, http::client& connections,
                                           base::endpoint platform, platform::machine machine)
    : scheduler_(scheduler),
      connections_(connections),
      platform_(std::move(platform)),
      machine_(std::move(machine)) {}

runtime::task<void> machine_registration::keep_registered() {
    bool registered = false;
    while (machine_.state == platform::machine_state::live) {
        const bool accepted = co_await put();
        if (accepted != registered) {
            runtime::log(runtime::log_level::info, log_component,
                         accepted ? "registered in the machine list"
                                  : "registration in the machine list failed; retrying");
            registered = accepted;
        }
        co_await scheduler_.sleep_for(accepted ? renewal_interval : retry_delay);
    }
}

runtime::task<void> machine_registration::mark_leaving() {
    machine_.state = platform::machine_state::leaving;
    for (int attempt = 0; attempt < leaving_attempts; ++attempt) {
        const bool accepted = co_await put();
        if (accepted) {
            co_return;
        }
        co_await scheduler_.sleep_for(retry_delay);
    }
}

runtime::task<bool> machine_registration::put() {
    http::request message;
    message.method = "PUT";
    message.target = "/emulator/machines/" + machine_.name;
    message.headers.add("Content-Type", "application/json");
    message.body = machine_json(machine_);
    const auto answer = co_await connections_.send(platform_, std::move(message), put_timeout,
                                                   http::resend::allowed);
    co_return answer.has_value() && answer->status == status_ok;
}

}  // namespace ferryroad::emulator
