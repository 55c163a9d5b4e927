/// @file
/// Replicated configuration: opaque resources (a key and a text) with revisions that only increase.
/// Revision n is revision n-1 plus one change. Replicas exchange changes, not whole configurations.
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
/// Chosen by the client that requests a change; a request repeated with the same id is the same
/// change.
using operation_id = base::strong_id<struct operation_id_tag, std::string>;
using author_name = base::strong_id<struct author_name_tag, std::string>;

/// Content of a configuration.
using resources = std::map<resource_key, std::string>;

/// Sets a resource, or removes it if there is no value.
struct resource_change {
    resource_key key;
    std::optional<std::string> value;

    friend bool operator==(const resource_change&, const resource_change&) = default;
};

/// The change that produces `revision` from the revision before it.
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

/// Values of one resource before and after a step.
struct resource_difference {
    resource_key key;
    std::optional<std::string> before;  ///< Absent if the resource was added.
    std::optional<std::string> after;   ///< Absent if the resource was removed.

    friend bool operator==(const resource_difference&, const resource_difference&) = default;
};

/// A step of a replica: one change, or several changes at once through a snapshot.
struct applied_change {
    base::revision previous;
    base::revision revision;
    operation_id operation;  ///< Empty if the step covers several changes.
    author_name author;
    std::vector<resource_difference> differences;
};

/// @return the differences that lead from `before` to `after`.
std::vector<resource_difference> find_differences(const resources& before, const resources& after);

/// @return the changes that produce these differences.
std::vector<resource_change> to_changes(const std::vector<resource_difference>& differences);

/// Size limits of the change log. At the design load of 4,300 changes a day, a hundred changes
/// cover about half an hour.
struct log_limits {
    /// A snapshot is written at each revision divisible by this.
    std::uint64_t snapshot_interval = 100;
    /// Change rows and snapshot rows older than this many revisions are deleted. Must be at least
    /// twice `snapshot_interval`.
    std::uint64_t retained_changes = 200;
    /// Number of operations listed in the head row to detect repeated requests.
    std::size_t remembered_operations = 64;
    /// Number of changes that a replica keeps to answer its peers; a peer that is further behind
    /// gets a snapshot.
    std::size_t replica_changes = 256;
    /// Number of changes buffered because they were received before their predecessors.
    std::size_t buffered_changes = 64;
};

}  // namespace ferryroad::coordination::configuration
