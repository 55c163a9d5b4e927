/// @file
/// The parsed command line of ferryctl.
#pragma once

#include "ferryroad/base/endpoint.hpp"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace ferryroad::ctl {

enum class output_format { table, json };

/// Author and operation id of a change.
struct change_options {
    std::string operation_id;
    std::string author;
};

struct apply_command {
    std::string file;
    std::optional<std::uint64_t> expected_revision;
    bool dry_run = false;
    change_options change;
};
struct plan_command {
    std::string file;
};
struct validate_command {
    std::string file;
};
struct get_command {
    bool as_file = false;  ///< Print a desired-state file for `apply -f`.
};
struct watch_command {
    std::optional<std::uint64_t> after;  ///< Empty: the revision in force at the start.
    std::uint64_t count = 0;             ///< Revisions to print before ending; 0: no limit.
};
struct status_command {};
struct drain_command {
    std::string engine;
    bool undo = false;
    change_options change;
};
struct confirm_command {
    std::uint64_t revision = 0;
    std::string author;
};
struct explain_command {
    std::string request_id;
    std::vector<std::string> logs;  ///< Log files to search instead of asking routers.
};
struct completion_command {
    std::string shell;
};

using command = std::variant<apply_command, plan_command, validate_command, get_command,
                             watch_command, status_command, drain_command, confirm_command,
                             explain_command, completion_command>;

struct options {
    std::vector<base::endpoint> routers;
    output_format output = output_format::table;
    std::chrono::milliseconds timeout{10000};
    command chosen;
};

}  // namespace ferryroad::ctl
