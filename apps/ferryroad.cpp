/// The program ferryroad: the router daemon.
#include "ferryroad/daemon/daemon.hpp"
#include "ferryroad/launcher/product_entry.hpp"

namespace {

int run(int argument_count, char** arguments) {
    ferryroad::daemon::daemon_settings settings;
    ferryroad::settings::schema schema = ferryroad::daemon::describe(settings);
    const auto outcome = schema.read(argument_count, arguments);
    if (outcome.exit_code) {
        return *outcome.exit_code;
    }
    return ferryroad::daemon::run_daemon(settings);
}

}  // namespace

const ferryroad::launcher::product_entry ferryroad_product{FERRYROAD_BUILD_ID, run};
