/// The router daemon.
#include "ferryroad/daemon/daemon.hpp"

int main(int argument_count, char** arguments) {
    ferryroad::daemon::daemon_settings settings;
    ferryroad::settings::schema schema = ferryroad::daemon::describe(settings);
    const auto outcome = schema.read(argument_count, arguments);
    if (outcome.exit_code) {
        return *outcome.exit_code;
    }
    return ferryroad::daemon::run_daemon(settings);
}
