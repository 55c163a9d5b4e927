/// @file
/// Test fixture: the operators' gRPC server and the configuration service of one router, on
/// loopback, over an emulated platform. Its event loop runs on a thread of its own.
#pragma once

#include "emulator/platform/emulated_services.hpp"
#include "ferryroad/operator/service/operator_server.hpp"
#include "ferryroad/router/configuration/configuration_service.hpp"
#include "ferryroad/runtime/asio_scheduler.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_future.hpp>

#include <chrono>
#include <future>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <utility>

namespace ferryroad::operators::testing {

/// Status source that reports one router and one engine.
class one_engine_status final : public router::status_source {
  public:
    router::system_status status() const override {
        router::engine_status engine;
        engine.name = base::engine_name("engine-1");
        engine.address = {"127.0.0.1", 9};
        engine.pool = base::pool_name("model-pool");
        engine.load.running = 3;
        router::system_status status;
        status.self = base::router_name("router-1");
        status.ready = true;
        status.routers.push_back({status.self, {"127.0.0.1", 8}, base::zone_name("z")});
        status.engines.push_back(engine);
        return status;
    }
};

/// Selector that has a record of one request and always fails to select.
class one_request_selector final : public router::engine_selector {
  public:
    runtime::task<runtime::result<router::selected_engine, router::selection_error>> select(
        router::selection_query /*query*/) override {
        co_return router::selection_error{};
    }
    void record_started(const router::selection_query& /*query*/,
                        const router::selected_engine& /*selected*/,
                        const engine::stream_started& /*started*/) override {}
    std::optional<router::decision_record> explain(const base::request_id& request) const override {
        if (request.value != "request-1") {
            return std::nullopt;
        }
        router::candidate_record candidate;
        candidate.engine = base::engine_name("engine-1");
        candidate.cost = std::chrono::milliseconds(1500);
        candidate.chosen = true;
        return router::decision_record{request, base::pool_name("model-pool"), "cost", {candidate}};
    }
};

class running_router {
  public:
    /// @param commit_limit time after which a change that can't be committed fails.
    explicit running_router(base::duration commit_limit = std::chrono::seconds(8))
        : guard_(context_.get_executor()),
          scheduler_(context_, 1),
          platform_({}),
          table_(platform_, scheduler_),
          objects_(platform_, scheduler_),
          configuration_({table_, objects_, peers_, scheduler_}, with_limit(commit_limit)),
          server_(std::make_unique<operator_server>(
              operator_ports{configuration_, configuration_, status_, selector_, scheduler_})) {
        configuration_.start();
        address_ = *server_->start({"127.0.0.1", 0});
        thread_ = std::thread([this] { context_.run(); });
    }
    running_router(const running_router&) = delete;
    ~running_router() {
        stop();
        guard_.reset();
        context_.stop();
        thread_.join();
    }

    const base::endpoint& address() const { return address_; }

    /// Stops the server the way a planned stop does.
    void stop() {
        if (server_) {
            boost::asio::co_spawn(context_, server_->stop(std::chrono::milliseconds(50)),
                                  boost::asio::use_future)
                .get();
            server_.reset();
        }
    }

    void set_faults(emulator::platform_faults faults) {
        std::promise<void> done;
        boost::asio::post(context_, [&] {
            platform_.set_faults(faults);
            done.set_value();
        });
        done.get_future().get();
    }

  private:
    static router::configuration_tunables with_limit(base::duration commit_limit) {
        router::configuration_tunables tunables;
        tunables.commit_limit = commit_limit;
        return tunables;
    }

    boost::asio::io_context context_;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> guard_;
    runtime::asio_scheduler scheduler_;
    emulator::platform_model platform_;
    emulator::emulated_table table_;
    emulator::emulated_object_store objects_;
    router::no_peers peers_;
    router::configuration_service configuration_;
    one_engine_status status_;
    one_request_selector selector_;
    std::unique_ptr<operator_server> server_;
    base::endpoint address_;
    std::thread thread_;
};

}  // namespace ferryroad::operators::testing
