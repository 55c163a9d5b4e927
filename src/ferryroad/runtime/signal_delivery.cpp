#include "ferryroad/runtime/signal_delivery.hpp"

#include <csignal>
#include <pthread.h>

namespace ferryroad::runtime {

namespace {

void change_mask(int how) {
    sigset_t handled;
    sigemptyset(&handled);
    sigaddset(&handled, SIGHUP);
    sigaddset(&handled, SIGINT);
    sigaddset(&handled, SIGTERM);
    pthread_sigmask(how, &handled, nullptr);
}

}  // namespace

void hold_signals_back(int /*argument_count*/, char** /*arguments*/, char** /*environment*/) {
    change_mask(SIG_BLOCK);
    std::signal(SIGPIPE, SIG_IGN);
}

signal_delivery::signal_delivery() {
    change_mask(SIG_UNBLOCK);
}

signal_delivery::~signal_delivery() {
    change_mask(SIG_BLOCK);
}

}  // namespace ferryroad::runtime
