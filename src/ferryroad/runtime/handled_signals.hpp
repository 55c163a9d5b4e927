/// @file
/// The signals that a router handles, for those that block and unblock them. Needs the C library
/// alone.
#pragma once

#include <csignal>
#include <pthread.h>

namespace ferryroad::runtime {

/// Blocks or unblocks SIGHUP, SIGINT and SIGTERM in the calling thread and in those it starts. A
/// blocked signal is delivered once it is unblocked.
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
