/// @file
/// Ports to the platform: table, object store, weight store, machine list.
/// `platform/http_services.hpp` speaks HTTP with JSON; the simulator has its own.
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

/// Version of a row: 0 while absent, then from the table's one rising counter.
using row_version = base::strong_id<struct row_version_tag, std::uint64_t>;
using row_key = base::strong_id<struct row_key_tag, std::string>;

struct row {
    row_key key;
    std::string value;
    row_version version;
};

/// Holds where `key` is at `version` (0: absent) when the transaction commits.
struct row_condition {
    row_key key;
    row_version version;
};

/// Sets the value, or deletes the row where there is none.
struct row_write {
    row_key key;
    std::optional<std::string> value;
};

struct transaction {
    std::vector<row_condition> conditions;
    std::vector<row_write> writes;
};

/// A conflict names the first condition that failed, with the row as it stands.
struct transaction_outcome {
    bool committed = false;
    row_version version;             ///< Of every row written, where committed.
    std::optional<row> conflicting;  ///< Where not; version 0 if the row is absent.
};

/// Transactional table. Each call counts once against the platform's rate limit, however
/// many transactions it carries. Used from the event loop's thread.
class table {
  public:
    virtual ~table() = default;
    /// Each transaction commits or conflicts on its own, in the order given.
    virtual runtime::task<result<std::vector<transaction_outcome>>> transact(
        std::vector<transaction> transactions) = 0;
    /// @return the rows that exist, in the order of `keys`.
    virtual runtime::task<result<std::vector<row>>> read(std::vector<row_key> keys) = 0;
    /// @return up to `limit` rows whose keys begin with `prefix` and come after `after`.
    virtual runtime::task<result<std::vector<row>>> scan(std::string prefix, row_key after,
                                                         std::uint32_t limit) = 0;
};

/// Keeps blobs by name.
class object_store {
  public:
    virtual ~object_store() = default;
    virtual runtime::task<result<void>> put(std::string name, std::string bytes) = 0;
    virtual runtime::task<result<std::string>> get(std::string name) = 0;
};

enum class machine_state { live, leaving };
enum class machine_kind { engine, router };

struct machine {
    std::string name;
    machine_kind kind{};
    base::endpoint address;  ///< Engines: HTTP. Routers: peer address.
    base::zone_name zone;
    base::region_name region;
    std::string pool;  ///< Engines: the pool that operators put it in.
    machine_state state{};

    friend bool operator==(const machine&, const machine&) = default;
};

/// List of machines; lags behind the truth.
class machine_list {
  public:
    virtual ~machine_list() = default;
    virtual runtime::task<result<std::vector<machine>>> list() = 0;
};

}  // namespace ferryroad::platform
