/// @file
/// Structured logs: one JSON object a line (log4cxx's JSONLayout). Fields of an entry stand
/// under `context_map`. Bounded lines a second, and never waiting for a reader; what is dropped
/// is counted in a line of its own. log4cxx stays behind this header.
#pragma once

#include <exception>
#include <initializer_list>
#include <string>
#include <string_view>

namespace ferryroad::runtime {

enum class log_level { debug, info, warning, error };

enum class log_output { standard_error, standard_output };

/// One named value of a log entry, such as `{"request_id", id.value}`.
struct log_field {
    std::string_view name;
    std::string value;
};

/// Sets up the process's logger. Call once, before any thread starts.
/// @param process_name written into every entry as `process`.
void start_logging(std::string_view process_name, log_level lowest,
                   log_output output = log_output::standard_error);

/// @return whether entries of this level are written: asked before fields are put together that
/// are long. Thread-safe.
bool log_enabled(log_level level);

/// Writes one entry. Thread-safe.
/// @param component the folder that speaks, such as "router.request".
void log(log_level level, std::string_view component, std::string_view message,
         std::initializer_list<log_field> fields = {});

/// Writes an error entry for an exception that ended a coroutine. Cancellation
/// (operation_aborted) is not an error and is left out.
void log_exception(std::string_view component, const std::exception_ptr& failure);

}  // namespace ferryroad::runtime
