/// The program ferry-engine: an emulated model engine or application service.
#include "emulator/engine/engine_program.hpp"

int main(int argument_count, char** arguments) {
    ferryroad::emulator::engine_settings settings;
    ferryroad::settings::schema schema = ferryroad::emulator::describe(settings);
    const auto outcome = schema.read(argument_count, arguments);
    if (outcome.exit_code) {
        return *outcome.exit_code;
    }
    return ferryroad::emulator::run_engine(settings);
}
