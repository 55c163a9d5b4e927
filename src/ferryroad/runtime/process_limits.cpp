#include "ferryroad/runtime/process_limits.hpp"

#include <malloc.h>
#include <sys/resource.h>
#include <unistd.h>

namespace ferryroad::runtime {

namespace {

/// Allocations from this size on are mapped, and unmapped as soon as they are freed.
constexpr std::size_t mapped_allocation_bytes = std::size_t{128} * 1024;
/// Free memory at the end of the heap that is kept for later allocations.
constexpr int kept_heap_bytes = 1024 * 1024;

std::size_t physical_memory() {
    const long pages = sysconf(_SC_PHYS_PAGES);
    const long page_bytes = sysconf(_SC_PAGESIZE);
    return pages > 0 && page_bytes > 0
               ? static_cast<std::size_t>(pages) * static_cast<std::size_t>(page_bytes)
               : 0;
}

std::size_t descriptor_limit() {
    rlimit limit{};
    return getrlimit(RLIMIT_NOFILE, &limit) == 0 ? static_cast<std::size_t>(limit.rlim_cur) : 0;
}

}  // namespace

process_limits effective_limits(process_limits stated) {
    return {stated.memory_bytes != 0 ? stated.memory_bytes : physical_memory(),
            stated.file_descriptors != 0 ? stated.file_descriptors : descriptor_limit()};
}

std::size_t memory_of(const std::string& text) {
    return text.capacity() < mapped_allocation_bytes ? text.capacity() : text.size();
}

void configure_allocator() {
    // Setting the thresholds also stops the C library from raising them.
    mallopt(M_MMAP_THRESHOLD, static_cast<int>(mapped_allocation_bytes));
    mallopt(M_TRIM_THRESHOLD, kept_heap_bytes);
}

}  // namespace ferryroad::runtime
