#include "ferryroad/runtime/boot_clock.hpp"

#include <ctime>

namespace ferryroad::runtime {

boot_clock::time_point boot_clock::now() noexcept {
    std::timespec told{};
    clock_gettime(CLOCK_BOOTTIME, &told);  // Fails for unknown clocks alone.
    return time_point(std::chrono::seconds(told.tv_sec) + std::chrono::nanoseconds(told.tv_nsec));
}

}  // namespace ferryroad::runtime
