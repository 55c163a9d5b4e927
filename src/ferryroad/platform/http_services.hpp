/// @file
/// Clients of the platform's services that speak JSON over HTTP
/// (docs/reference/platform-protocol.md).
#pragma once

#include "ferryroad/http/client.hpp"
#include "ferryroad/platform/services.hpp"

#include <string>
#include <utility>

namespace ferryroad::platform {

/// Address of the platform and timeouts of calls to it.
struct http_platform {
    base::endpoint address;
    base::duration call_limit = std::chrono::seconds(5);
    /// For calls of the object store.
    base::duration object_limit = std::chrono::seconds(30);
};

/// Sends calls to the platform and maps failures to error codes:
/// no connection or status 503 is `unavailable`, 429 `rate_limited`, 404 `not_found`. For a call
/// that changes data, every failure after which the change may have happened is `answer_lost`: a
/// lost connection or a timeout after sending, an unreadable response, another status from 500 on.
/// For calls that only read, a lost connection or a timeout is `unavailable`. All other failures
/// are `protocol_violation`.
class http_caller {
  public:
    /// @param client must outlive this object.
    http_caller(http::client& client, http_platform platform)
        : client_(client), platform_(std::move(platform)) {}

    /// Whether a call only reads data or may change it.
    enum class effect { reads, changes };

    /// Sends a call.
    /// @return the body of a response with status 200.
    runtime::task<result<std::string>> call(http::request message, effect kind,
                                            base::duration limit);
    const http_platform& platform() const { return platform_; }

  private:
    http::client& client_;
    http_platform platform_;
};

/// The platform's transactional table.
class http_table final : public table {
  public:
    http_table(http::client& client, http_platform platform)
        : caller_(client, std::move(platform)) {}

    runtime::task<result<std::vector<transaction_outcome>>> transact(
        std::vector<transaction> transactions) override;
    runtime::task<result<std::vector<row>>> read(std::vector<row_key> keys) override;
    runtime::task<result<std::vector<row>>> scan(std::string prefix, row_key after,
                                                 std::uint32_t limit) override;

  private:
    http_caller caller_;
};

/// The platform's object store.
class http_object_store final : public object_store {
  public:
    http_object_store(http::client& client, http_platform platform)
        : caller_(client, std::move(platform)) {}

    runtime::task<result<void>> put(std::string name, std::string bytes) override;
    runtime::task<result<std::string>> get(std::string name) override;

  private:
    http_caller caller_;
};

/// The platform's list of machines.
class http_machine_list final : public machine_list {
  public:
    http_machine_list(http::client& client, http_platform platform)
        : caller_(client, std::move(platform)) {}

    runtime::task<result<std::vector<machine>>> list() override;

  private:
    http_caller caller_;
};

}  // namespace ferryroad::platform
