#include "ferryroad/runtime/boot_clock.hpp"

#include <ctime>

namespace ferryroad::runtime {

boot_clock::time_point boot_clock::now() noexcept {
    std::timespec reading{};
    clock_gettime(CLOCK_BOOTTIME, &reading);  // Fails only for unknown clock ids.
    return time_point(std::chrono::seconds(reading.tv_sec) +
                      std::chrono::nanoseconds(reading.tv_nsec));
}

}  // namespace ferryroad::runtime
