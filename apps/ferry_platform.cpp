/// The program ferry-platform: an emulator of the platform's services.
#include "emulator/platform/platform_program.hpp"

int main(int argument_count, char** arguments) {
    ferryroad::emulator::platform_settings settings;
    ferryroad::settings::schema schema = ferryroad::emulator::describe(settings);
    const auto outcome = schema.read(argument_count, arguments);
    if (outcome.exit_code) {
        return *outcome.exit_code;
    }
    return ferryroad::emulator::run_platform(settings);
}
