/// @file
/// The platform's services over HTTP with JSON (docs/reference/platform-protocol.md).
#pragma once

#include "ferryroad/http/client.hpp"
#include "ferryroad/platform/services.hpp"

#include <string>
#include <utility>

namespace ferryroad::platform {

/// Where the platform is and how long a call may take.
struct http_platform {
    base::endpoint address;
    base::duration call_limit = std::chrono::seconds(5);
    base::duration object_limit = std::chrono::seconds(30);
};

/// Sends calls to the platform and tells its refusals apart:
/// no connection or 503 is `unavailable`, 429 `rate_limited`, 404 `not_found`. Where the call
/// changes something, all that leaves it open whether it did is `answer_lost`: a connection cut
/// or silent after sending, an answer that can't be read, another status from 500 on. For calls
/// that only read, cut and silent are `unavailable`. The rest is `protocol_violation`.
class http_caller {
  public:
    /// @param client outlives this.
    http_caller(http::client& client, http_platform platform)
        : client_(client), platform_(std::move(platform)) {}

    enum class effect { reads, changes };

    /// @return the body of an answer with status 200.
    runtime::task<result<std::string>> call(http::request message, effect kind,
                                            base::duration limit);
    const http_platform& platform() const { return platform_; }

  private:
    http::client& client_;
    http_platform platform_;
};

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

class http_object_store final : public object_store {
  public:
    http_object_store(http::client& client, http_platform platform)
        : caller_(client, std::move(platform)) {}

    runtime::task<result<void>> put(std::string name, std::string bytes) override;
    runtime::task<result<std::string>> get(std::string name) override;

  private:
    http_caller caller_;
};

class http_machine_list final : public machine_list {
  public:
    http_machine_list(http::client& client, http_platform platform)
        : caller_(client, std::move(platform)) {}

    runtime::task<result<std::vector<machine>>> list() override;

  private:
    http_caller caller_;
};

}  // namespace ferryroad::platform
