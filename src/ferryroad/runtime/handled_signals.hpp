/// @file
/// Blocks and unblocks the signals that a router handles. Depends on the C library only.
#pragma once

#include <csignal>
#include <pthread.h>

namespace ferryroad::runtime {

/// Blocks or unblocks SIGHUP, SIGINT and SIGTERM in the calling thread and in threads that it
/// starts afterwards. A signal that arrives while blocked is delivered when it is unblocked.
/// @param how SIG_BLOCK or SIG_UNBLOCK.
inline void change_signal_mask(int how) {
    sigset_t handled;
    sigemptyset(&handled);
    sigaddset(&handled, SIGHUP);
    sigaddset(&handled, SIGINT);
    sigaddset(&handled, SIGTERM);
    pthread_sigmask(how, &handled, nullptr);
}

}  // namespace ferryroad::runtime
