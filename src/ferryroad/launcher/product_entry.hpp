/// @file
/// The entry point that a program's library exports to the launcher.
#pragma once

namespace ferryroad::launcher {

/// Name of the `product_entry` that each program's library exports.
inline constexpr const char* product_entry_symbol = "ferryroad_product";

/// Describes one program. Immutable; valid as long as the library is loaded.
struct product_entry {
    const char* build_id;  ///< Must equal the launcher's. Stays the first member, so that the
                           ///< launcher can read it in a library of another version.
    /// Runs the program until it ends. Call it at most once per process.
    /// @return its exit code.
    int (*run)(int argument_count, char** arguments);
};

}  // namespace ferryroad::launcher

/// Defined once in each program's library; the launcher looks it up by its name.
extern "C"
    [[gnu::visibility("default")]] const ferryroad::launcher::product_entry ferryroad_product;
