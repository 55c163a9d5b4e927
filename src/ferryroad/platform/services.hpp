/// @file
/// Interfaces of the platform's services: table, object store, machine list.
/// `platform/http_services.hpp` implements them with JSON over HTTP; the simulator has its own
/// implementation.
#pragma once

#include "ferryroad/base/endpoint.hpp"
#include "ferryroad/base/ids.hpp"
#include "ferryroad/engine/types.hpp"
#include "ferryroad/platform/errors.hpp"
#include "ferryroad/runtime/task.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace ferryroad::platform {

template <typename T>
using result = runtime::result<T, error>;

/// Version of a row: 0 while the row is absent, otherwise from a counter that increases with every
/// write to the table.
using row_version = base::strong_id<struct row_version_tag, std::uint64_t>;
using row_key = base::strong_id<struct row_key_tag, std::string>;

/// A row of the table.
struct row {
    row_key key;
    std::string value;
    row_version version;
};

/// Requires that row `key` has `version` (0: is absent) when the transaction commits.
struct row_condition {
    row_key key;
    row_version version;
};

/// Sets the value of a row, or deletes the row if there is no value.
struct row_write {
    row_key key;
    std::optional<std::string> value;
};

/// Writes that are applied atomically if all conditions hold.
struct transaction {
    std::vector<row_condition> conditions;
    std::vector<row_write> writes;
};

/// Result of a transaction. A conflict carries the current row of the first condition that failed.
struct transaction_outcome {
    bool committed = false;
    row_version version;             ///< If committed: the version of every row written.
    std::optional<row> conflicting;  ///< If not committed; version 0 if the row is absent.
};

/// Transactional table. Each call counts once against the platform's rate limit, regardless of how
/// many transactions it carries. Must be used from the event loop's thread.
class table {
  public:
    virtual ~table() = default;
    /// Runs transactions in order. Each one commits or conflicts independently of the others.
    /// @return one outcome for each transaction, in order.
    virtual runtime::task<result<std::vector<transaction_outcome>>> transact(
        std::vector<transaction> transactions) = 0;
    /// Reads rows.
    /// @return the rows that exist, in the order of `keys`.
    virtual runtime::task<result<std::vector<row>>> read(std::vector<row_key> keys) = 0;
    /// Reads one page of rows.
    /// @return up to `limit` rows, in key order, whose keys begin with `prefix` and are greater
    /// than `after`.
    virtual runtime::task<result<std::vector<row>>> scan(std::string prefix, row_key after,
                                                         std::uint32_t limit) = 0;
};

/// Stores blobs by name.
class object_store {
  public:
    virtual ~object_store() = default;
    /// Stores a blob, replacing any blob of that name.
    virtual runtime::task<result<void>> put(std::string name, std::string bytes) = 0;
    /// @return the blob, or `not_found`.
    virtual runtime::task<result<std::string>> get(std::string name) = 0;
};

/// Whether a machine is in service or about to be removed.
enum class machine_state { live, leaving };
enum class machine_kind { engine, router };

/// A machine that runs an engine or a router.
struct machine {
    std::string name;
    machine_kind kind{};
    base::endpoint address;  ///< HTTP address of an engine, peer address of a router.
    base::zone_name zone;
    base::region_name region;
    std::string pool;  ///< For engines: the pool that operators assigned.
    machine_state state{};

    friend bool operator==(const machine&, const machine&) = default;
};

/// List of the platform's machines. It lags behind the actual state.
class machine_list {
  public:
    virtual ~machine_list() = default;
    virtual runtime::task<result<std::vector<machine>>> list() = 0;
};

}  // namespace ferryroad::platform
