/// @file
/// Structured logging: one JSON object per line (log4cxx's JSONLayout), with the fields of an entry
/// under `context_map`. Lines are rate-limited and written without blocking; a separate entry
/// reports the number of dropped lines. No log4cxx type appears in this header.
#pragma once

#include <exception>
#include <initializer_list>
#include <string>
#include <string_view>

namespace ferryroad::runtime {

enum class log_level { debug, info, warning, error };

enum class log_output { standard_error, standard_output };

/// A named value of a log entry, such as `{"request_id", id.value}`.
struct log_field {
    std::string_view name;
    std::string value;
};

/// Initializes logging for the process. Call once, before any thread starts.
/// @param process_name written into every entry as `process`.
/// @param lowest lowest level that is written.
void start_logging(std::string_view process_name, log_level lowest,
                   log_output output = log_output::standard_error);

/// @return whether entries of this level are written. Check it before building expensive fields.
/// Thread-safe.
bool log_enabled(log_level level);

/// Writes one entry. Thread-safe.
/// @param component name of the logger: the module that logs, such as "router.request".
void log(log_level level, std::string_view component, std::string_view message,
         std::initializer_list<log_field> fields = {});

/// Writes an error entry for an exception that ended a coroutine. Cancellation (operation_aborted)
/// is not an error and isn't logged. Thread-safe.
void log_exception(std::string_view component, const std::exception_ptr& failure);

}  // namespace ferryroad::runtime
