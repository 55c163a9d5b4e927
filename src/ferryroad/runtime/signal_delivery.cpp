#include "ferryroad/runtime/signal_delivery.hpp"

#include "ferryroad/runtime/handled_signals.hpp"

namespace ferryroad::runtime {

signal_delivery::signal_delivery() {
    change_signal_mask(SIG_UNBLOCK);
}

signal_delivery::~signal_delivery() {
    change_signal_mask(SIG_BLOCK);
}

}  // namespace ferryroad::runtime
