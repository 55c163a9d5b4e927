/// @file
/// The executable of a router. It links only the C library, which shortens the time that the
/// dynamic loader needs before signals are blocked: until then, a signal ends the process. The
/// router itself is a shared library, which this executable loads and runs.
///
/// Compiled once for each program, with FERRYROAD_PRODUCT_LIBRARY (the library's path, $ORIGIN is
/// the folder of the executable) and FERRYROAD_BUILD_ID.
#include "ferryroad/launcher/product_entry.hpp"
#include "ferryroad/runtime/handled_signals.hpp"

#include <cstdio>
#include <cstring>
#include <dlfcn.h>

namespace {

constexpr int exit_cannot_start = 1;

/// Blocks the signals that the program handles, and ignores SIGPIPE: the process must not end when
/// the reader of its log closes the pipe.
void block_signals(int /*argument_count*/, char** /*arguments*/, char** /*environment*/) {
    ferryroad::runtime::change_signal_mask(SIG_BLOCK);
    std::signal(SIGPIPE, SIG_IGN);
}

/// Called by the dynamic loader before all initializers of the program and of its libraries.
using preinit_function = void (*)(int, char**, char**);
[[gnu::section(".preinit_array"), gnu::used]] const preinit_function preinit_entry = block_signals;

int report_start_failure(const char* program, const char* reason) {
    std::fprintf(stderr, "%s: can't start: %s\n", program, reason);
    return exit_cannot_start;
}

}  // namespace

int main(int argument_count, char** arguments) {
    using ferryroad::launcher::product_entry;
    const char* program = argument_count > 0 ? arguments[0] : "ferryroad";
    void* library = dlopen(FERRYROAD_PRODUCT_LIBRARY, RTLD_NOW | RTLD_LOCAL);
    if (library == nullptr) {
        return report_start_failure(program, dlerror());
    }
    const void* symbol = dlsym(library, ferryroad::launcher::product_entry_symbol);
    if (symbol == nullptr) {
        return report_start_failure(program, dlerror());
    }
    const auto* product = static_cast<const product_entry*>(symbol);
    if (std::strcmp(product->build_id, FERRYROAD_BUILD_ID) != 0) {
        std::fprintf(stderr, "%s: can't start: its library is of build %s, the program of %s\n",
                     program, product->build_id, FERRYROAD_BUILD_ID);
        return exit_cannot_start;
    }
    return product->run(argument_count, arguments);
}
