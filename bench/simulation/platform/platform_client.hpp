/// @file
/// The platform's ports over the simulated network.
#pragma once

#include "bench/simulation/platform/simulated_platform.hpp"
#include "ferryroad/platform/services.hpp"

#include <functional>
#include <memory>

namespace ferryroad::bench::simulation {

/// One router process's exchanges with the platform.
class platform_caller {
  public:
    /// Everything is borrowed and outlives the caller. @param own address of the router.
    platform_caller(simulated_platform& server, virtual_scheduler& scheduler, base::endpoint own)
        : server_(server), scheduler_(scheduler), own_(std::move(own)) {}

    /// @param when_lost what an exchange without an answer means.
    template <typename T>
    std::shared_ptr<platform_link<T>> open(platform::error_code when_lost) {
        const platform::error lost{when_lost, "connection closed", std::nullopt};
        return std::make_shared<platform_link<T>>(server_.carrier(), scheduler_, own_,
                                                  server_.address(), platform::result<T>(lost));
    }

    /// Has `arrive` called at the platform and waits for the answer on `line`.
    template <typename T>
    runtime::task<platform::result<T>> exchange(std::shared_ptr<platform_link<T>> line,
                                                std::function<void()> arrive,
                                                platform::error_code when_lost) {
        constexpr base::duration limit = std::chrono::seconds(2);
        if (server_.carrier().is_cut(own_, server_.address())) {
            co_await scheduler_.sleep_for(limit);
            co_return platform::error{platform::error_code::unavailable, "can't connect",
                                      std::nullopt};
        }
        closing_guard<platform::result<T>> guard(line);
        line->send_to_server(std::move(arrive));
        std::optional<platform::result<T>> answer = co_await line->inbox().take(limit);
        if (!answer) {
            co_return platform::error{when_lost, "no answer in time", std::nullopt};
        }
        guard.dismiss();
        co_return std::move(*answer);
    }

    simulated_platform& server() { return server_; }

  private:
    simulated_platform& server_;
    virtual_scheduler& scheduler_;
    base::endpoint own_;
};

class platform_table final : public platform::table {
  public:
    explicit platform_table(platform_caller& caller) : caller_(caller) {}
    runtime::task<platform::result<platform_outcomes>> transact(
        std::vector<platform::transaction> transactions) override;
    runtime::task<platform::result<platform_rows>> read(
        std::vector<platform::row_key> keys) override;
    runtime::task<platform::result<platform_rows>> scan(std::string prefix, platform::row_key after,
                                                        std::uint32_t limit) override;

  private:
    platform_caller& caller_;
};

class platform_objects final : public platform::object_store {
  public:
    explicit platform_objects(platform_caller& caller) : caller_(caller) {}
    runtime::task<platform::result<void>> put(std::string name, std::string bytes) override;
    runtime::task<platform::result<std::string>> get(std::string name) override;

  private:
    platform_caller& caller_;
};

class platform_machines final : public platform::machine_list {
  public:
    explicit platform_machines(platform_caller& caller) : caller_(caller) {}
    runtime::task<platform::result<std::vector<platform::machine>>> list() override;

  private:
    platform_caller& caller_;
};

}  // namespace ferryroad::bench::simulation
