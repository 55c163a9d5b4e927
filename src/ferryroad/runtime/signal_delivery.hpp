/// @file
/// Signals that a program handles, from its first instruction to its last: what comes before the
/// handlers are in place or after they are gone waits, and doesn't end the process.
#pragma once

namespace ferryroad::runtime {

/// Holds SIGHUP, SIGINT and SIGTERM back, and ignores SIGPIPE: a reader of the log that goes away
/// must not end the process that writes it. What is held back is delivered later, once for each
/// signal. Its arguments are those that the loader passes to functions of `.preinit_array`.
void hold_signals_back(int argument_count, char** arguments, char** environment);

/// What the loader calls before any initializer of the program and its libraries.
using preinit_function = void (*)(int, char**, char**);

/// Delivers to the calling thread, while it lives, what is held back. Handlers of all these signals
/// are in place before it is made and after it has ended. A process may have been started with the
/// signals held back; that ends here, too. To be used in one thread, the event loop's.
class signal_delivery {
  public:
    signal_delivery();
    ~signal_delivery();
    signal_delivery(const signal_delivery&) = delete;
    signal_delivery& operator=(const signal_delivery&) = delete;
};

}  // namespace ferryroad::runtime
