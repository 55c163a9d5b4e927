/// @file
/// What a program's library offers to the launcher that loads it.
#pragma once

namespace ferryroad::launcher {

/// Name of the `product_entry` that each program's library exports.
inline constexpr const char* product_entry_symbol = "ferryroad_product";

/// One program. Immutable, lives as long as the library is loaded.
struct product_entry {
    const char* build_id;  ///< First in every version of this type. Equal to the launcher's own.
    /// Runs the program to its end, once a process.
    /// @return its exit code.
    int (*run)(int argument_count, char** arguments);
};

}  // namespace ferryroad::launcher

/// Defined once in each program's library, and found there by its name.
extern "C"
    [[gnu::visibility("default")]] const ferryroad::launcher::product_entry ferryroad_product;
