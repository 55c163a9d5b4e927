/// @file
/// What the process may use of its machine.
#pragma once

#include <cstddef>
#include <string>

namespace ferryroad::runtime {

/// Memory and file descriptors of a process.
struct process_limits {
    std::size_t memory_bytes = 0;
    std::size_t file_descriptors = 0;

    friend bool operator==(const process_limits&, const process_limits&) = default;
};

/// @param stated limits that the operator states; 0: not stated.
/// @return the stated limits; those that are not stated are the machine's physical memory and the
/// process's resource limit. Thread-safe.
process_limits effective_limits(process_limits stated);

/// @return the memory that a string takes which grew as it was filled. A large one is mapped, so
/// that what was not written takes none. Thread-safe.
std::size_t memory_of(const std::string& text);

/// Makes the C library return freed memory of large messages to the system at once, which otherwise
/// keeps it for allocations of that size. Call it at the start of the process.
void configure_allocator();

}  // namespace ferryroad::runtime
