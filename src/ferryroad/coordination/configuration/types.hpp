/// @file
/// Replicated configuration: opaque resources (a key and a text) under revisions that only
/// rise. Revision n is revision n-1 with one change; changes travel, never the whole.
#pragma once

#include "ferryroad/base/ids.hpp"
#include "ferryroad/base/strong_id.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace ferryroad::coordination::configuration {

using resource_key = base::strong_id<struct resource_key_tag, std::string>;
/// Chosen by whoever asks for a change: a repeat under the same id is the same change.
using operation_id = base::strong_id<struct operation_id_tag, std::string>;
using author_name = base::strong_id<struct author_name_tag, std::string>;

using resources = std::map<resource_key, std::string>;

/// Puts a resource, or removes it where there is no value.
struct resource_change {
    resource_key key;
    std::optional<std::string> value;

    friend bool operator==(const resource_change&, const resource_change&) = default;
};

/// What makes `revision` out of the one before it.
struct change {
    base::revision revision;
    operation_id operation;
    author_name author;
    std::vector<resource_change> resources;

    friend bool operator==(const change&, const change&) = default;
};

/// Every resource at one revision.
struct snapshot {
    base::revision revision;
    resources content;

    friend bool operator==(const snapshot&, const snapshot&) = default;
};

/// One resource before and after.
struct resource_difference {
    resource_key key;
    std::optional<std::string> before;  ///< Nothing where it was added.
    std::optional<std::string> after;   ///< Nothing where it was removed.

    friend bool operator==(const resource_difference&, const resource_difference&) = default;
};

/// A step that a replica took: one change, or several at once by way of a snapshot.
struct applied_change {
    base::revision previous;
    base::revision revision;
    operation_id operation;  ///< Empty where several changes were taken at once.
    author_name author;
    std::vector<resource_difference> differences;
};

/// @return what turns `before` into `after`.
std::vector<resource_difference> find_differences(const resources& before, const resources& after);

/// @return the same as puts and removes.
std::vector<resource_change> to_changes(const std::vector<resource_difference>& differences);

/// Sizes of the log. At the design size (4,300 changes a day) a hundred changes are half an
/// hour.
struct log_limits {
    /// A snapshot is written with each revision divisible by this.
    std::uint64_t snapshot_interval = 100;
    /// Changes older than this many revisions are deleted; at least twice the interval.
    std::uint64_t retained_changes = 200;
    /// Operations remembered in the head row, to know a repeat.
    std::size_t remembered_operations = 64;
    /// Changes that a replica keeps to answer its peers; older ones cost a snapshot.
    std::size_t replica_changes = 256;
    /// Changes kept that came ahead of their turn.
    std::size_t early_changes = 64;
};

}  // namespace ferryroad::coordination::configuration
