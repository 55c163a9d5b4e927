/// The router daemon.
#include "ferryroad/daemon/daemon.hpp"
#include "ferryroad/runtime/signal_delivery.hpp"

namespace {

/// A signal that came before its handler was in place ended the process.
[[gnu::section(".preinit_array"),
  gnu::used]] const ferryroad::runtime::preinit_function before_all_else =
    ferryroad::runtime::hold_signals_back;

}  // namespace

int main(int argument_count, char** arguments) {
    ferryroad::daemon::daemon_settings settings;
    ferryroad::settings::schema schema = ferryroad::daemon::describe(settings);
    const auto outcome = schema.read(argument_count, arguments);
    if (outcome.exit_code) {
        return *outcome.exit_code;
    }
    return ferryroad::daemon::run_daemon(settings);
}
