/// @file
/// Test doubles: scripted in-memory versions of all collaborators of a request service.
#pragma once

#include "ferryroad/base/digest.hpp"
#include "ferryroad/router/request/fair_admission.hpp"
#include "ferryroad/router/request/routing_request_service.hpp"

#include <algorithm>
#include <deque>
#include <map>
#include <string>
#include <vector>

namespace ferryroad::test {

inline const std::string bearer_key = "secret";

inline catalog::catalog demo_catalog() {
    catalog::catalog declared;
    declared.revision = base::revision(1);
    catalog::tenant tenant;
    tenant.name = base::tenant_name("aire");
    tenant.key_sha256 = base::sha256_hex(bearer_key);
    declared.tenants[tenant.name] = tenant;
    catalog::model model;
    model.name = base::model_name("m1");
    model.version = base::weights_version("v1");
    model.context_tokens = 1000;
    model.piece_bytes = 16;
    declared.models[model.name] = model;
    catalog::pool models{base::pool_name("models"), catalog::pool_kind::model, model.name, {}};
    catalog::pool apps{base::pool_name("apps"), catalog::pool_kind::application, {}, {}};
    declared.pools = {{models.name, models}, {apps.name, apps}};
    const auto add_route = [&](const char* name, const char* prefix, const catalog::pool& pool,
                               bool repeatable) {
        catalog::route route;
        route.name = base::route_name(name);
        route.path_prefix = prefix;
        route.pool = pool.name;
        route.repeatable = repeatable;
        route.deadline = std::chrono::seconds(10);
        route.default_max_tokens = 5;
        declared.routes[route.name] = route;
    };
    add_route("generate", "/v1/", models, true);
    add_route("generate-once", "/v1/chat", models, false);
    add_route("readings", "/app/readings", apps, true);
    add_route("records", "/app/records", apps, false);
    declared.routes[base::route_name("records")].methods = {"POST"};
    return declared;
}

struct fake_configuration final : router::configuration_view {
    catalog::catalog declared = demo_catalog();
    bool is_confirmed = true;
    std::shared_ptr<const catalog::catalog> current() const override {
        return std::make_shared<const catalog::catalog>(declared);
    }
    bool confirmed() const override { return is_confirmed; }
};

struct fake_directory final : router::engine_directory {
    std::vector<base::engine_name> engines{base::engine_name("e1"), base::engine_name("e2"),
                                           base::engine_name("e3")};
    /// Take no new work, although the selector may still select them.
    std::vector<base::engine_name> leaving_engines;
    std::vector<base::engine_name> suspected_engines;
    int in_flight = 0;  ///< Dispatches without a load report or end so far.
    std::vector<engine::error_code> failures;

    static router::engine_view view_of(const base::engine_name& name) {
        router::engine_view view;
        view.target = {name, {"127.0.0.1", 1}, base::incarnation(7)};
        return view;
    }
    std::vector<router::engine_view> available(const base::pool_name&) const override {
        std::vector<router::engine_view> views;
        for (const auto& name : engines) {
            views.push_back(view_of(name));
        }
        return views;
    }
    std::optional<router::engine_view> find(const base::engine_name& engine) const override {
        if (std::count(leaving_engines.begin(), leaving_engines.end(), engine) > 0) {
            return std::nullopt;
        }
        return view_of(engine);
    }
    bool suspected(const base::engine_name& engine) const override {
        return std::count(suspected_engines.begin(), suspected_engines.end(), engine) > 0;
    }
    void record_dispatch(const base::engine_name&, std::uint64_t) override { ++in_flight; }
    void record_end(const base::engine_name&) override { --in_flight; }
    void record_load(const base::engine_name&, const engine::load_report&) override {
        in_flight = 0;
    }
    void record_failure(const base::engine_name&, engine::error_code code) override {
        failures.push_back(code);
    }
    void record_leaving(const base::engine_name& engine, base::incarnation) override {
        leaving_engines.push_back(engine);
    }
};

/// Selects the first engine that isn't excluded.
struct fake_selector final : router::engine_selector {
    explicit fake_selector(const fake_directory& known) : directory(known) {}
    const fake_directory& directory;
    std::optional<router::selection_error> failure;

    runtime::task<runtime::result<router::selected_engine, router::selection_error>> select(
        router::selection_query query) override {
        if (failure) {
            co_return *failure;
        }
        for (const auto& view : directory.available(query.pool)) {
            const auto& tried = query.excluded;
            if (std::find(tried.begin(), tried.end(), view.target.name) == tried.end()) {
                router::selected_engine selected;
                selected.target = view.target;
                co_return selected;
            }
        }
        co_return router::selection_error{router::selection_failure::no_engine, {}};
    }
    void record_started(const router::selection_query&, const router::selected_engine&,
                        const engine::stream_started&) override {}
    std::optional<router::decision_record> explain(const base::request_id&) const override {
        return std::nullopt;
    }
};

/// Script of one exchange with an engine. By default the exchange completes.
struct exchange_script {
    std::optional<engine::error> refused;   ///< Error returned instead of opening the exchange.
    std::optional<std::uint32_t> cut_at;    ///< The stream fails before this token.
    std::optional<std::uint32_t> stall_at;  ///< The stream stalls before this token.
    engine::error_code cut_as = engine::error_code::connection_lost;
};

/// Fake engines that answer "t0 t1 ..." and record the calls they receive.
class fake_engines final : public engine::client {
  public:
    struct call {
        std::string kind;
        base::engine_name engine;
        base::attempt_id attempt;
        std::uint32_t first_token = 0;
        std::uint32_t max_tokens = 0;
    };

    explicit fake_engines(runtime::scheduler& scheduler) : scheduler_(scheduler) {}

    base::duration answer_delay{};        ///< Delay of answers to application calls.
    std::deque<exchange_script> scripts;  ///< Scripts of the next exchanges, in order.
    std::vector<call> calls;
    std::vector<base::attempt_id> cancelled;

    runtime::task<engine::result<std::unique_ptr<engine::generation_stream>>> generate(
        const engine::engine_target& target, engine::generation_request request) override {
        max_tokens_ = request.max_tokens;
        calls.push_back(
            {"generate", target.name, request.attempt, request.first_token, request.max_tokens});
        co_return open(request.first_token);
    }
    runtime::task<engine::result<std::unique_ptr<engine::generation_stream>>> resume(
        const engine::engine_target& target, base::attempt_id attempt,
        std::uint32_t first_token) override {
        calls.push_back({"resume", target.name, attempt, first_token, 0});
        co_return open(first_token);
    }
    runtime::task<engine::result<void>> cancel(const engine::engine_target&,
                                               base::attempt_id attempt) override {
        cancelled.push_back(attempt);
        co_return engine::result<void>();
    }
    runtime::task<engine::result<engine::application_answer>> call_application(
        const engine::engine_target& target, engine::application_request request) override {
        calls.push_back({"application", target.name, request.attempt, 0, 0});
        const exchange_script script = next_script();
        if (script.stall_at) {
            co_await scheduler_.sleep_until(base::monotonic_time::max());
        }
        co_await scheduler_.sleep_for(answer_delay);
        if (script.refused) {
            co_return *script.refused;
        }
        co_return engine::application_answer{request.expected_incarnation, 200, "application/json",
                                             "echo:" + request.body};
    }
    runtime::task<engine::result<engine::load_report>> read_load(const base::endpoint&) override {
        co_return unsupported();
    }
    runtime::task<engine::result<engine::cache_event_batch>> read_events(
        const engine::engine_target&, std::uint64_t, base::duration) override {
        co_return unsupported();
    }
    runtime::task<engine::result<engine::import_answer>> import_state(
        const engine::engine_target&, engine::import_request) override {
        co_return unsupported();
    }
    runtime::task<engine::result<void>> order(const engine::engine_target&, base::fencing_token,
                                              engine::engine_order) override {
        co_return unsupported();
    }

  private:
    class stream final : public engine::generation_stream {
      public:
        stream(runtime::scheduler& scheduler, exchange_script script, std::uint32_t first,
               std::uint32_t end)
            : scheduler_(scheduler), script_(std::move(script)), next_(first), end_(end) {}

        runtime::task<engine::result<engine::stream_event>> next() override {
            if (!std::exchange(started_, true)) {
                co_return engine::stream_event(
                    engine::stream_started{base::incarnation(7), 1, 2, {}});
            }
            if (script_.stall_at == next_) {
                co_await scheduler_.sleep_until(base::monotonic_time::max());
            }
            if (script_.cut_at == next_) {
                co_return engine::error{script_.cut_as, engine::proof::unknown, "cut", {}};
            }
            co_await scheduler_.sleep_for(std::chrono::milliseconds(1));
            if (next_ == end_) {
                co_return engine::stream_event(
                    engine::stream_end{engine::finish_reason::length, end_, {}});
            }
            const std::uint32_t index = next_++;
            co_return engine::stream_event(
                engine::stream_token{index, "t" + std::to_string(index) + " "});
        }

      private:
        runtime::scheduler& scheduler_;
        exchange_script script_;
        bool started_ = false;
        std::uint32_t next_;
        std::uint32_t end_;
    };

    static engine::error unsupported() {
        return {engine::error_code::failed, engine::proof::unknown, "not scripted", {}};
    }
    exchange_script next_script() {
        if (scripts.empty()) {
            return {};
        }
        exchange_script script = std::move(scripts.front());
        scripts.pop_front();
        return script;
    }
    engine::result<std::unique_ptr<engine::generation_stream>> open(std::uint32_t first) {
        exchange_script script = next_script();
        if (script.refused) {
            return *script.refused;
        }
        return std::unique_ptr<engine::generation_stream>(
            std::make_unique<stream>(scheduler_, std::move(script), first, max_tokens_));
    }

    runtime::scheduler& scheduler_;
    std::uint32_t max_tokens_ = 0;
};

/// In-memory claim registry with a switch that simulates an outage of the platform.
struct fake_claims final : router::claim_registry {
    struct claim_record {
        base::attempt_id attempt;
        std::string content;
        std::optional<router::recorded_outcome> outcome;
    };
    std::map<base::idempotency_key, claim_record> records;
    bool outage = false;

    runtime::task<runtime::result<router::claim_result, platform::error>> claim(
        router::claim_request request) override {
        if (outage) {
            co_return platform::error{platform::error_code::unavailable, "down",
                                      std::chrono::seconds(3)};
        }
        const auto [found, added] = records.try_emplace(
            request.key, claim_record{request.attempt, request.content_sha256, {}});
        router::claim_result result;
        if (added) {
            result.answer = router::claim_answer::granted;
        } else if (found->second.content != request.content_sha256) {
            result.answer = router::claim_answer::other_content;
        } else {
            result.outcome = found->second.outcome;
            result.answer =
                result.outcome ? router::claim_answer::finished : router::claim_answer::in_progress;
        }
        co_return result;
    }
    runtime::task<runtime::result<void, platform::error>> finish(
        router::claim_request request, router::recorded_outcome outcome) override {
        records.at(request.key).outcome = std::move(outcome);
        co_return runtime::result<void, platform::error>();
    }
    runtime::task<runtime::result<void, platform::error>> release(
        router::claim_request request) override {
        records.erase(request.key);
        co_return runtime::result<void, platform::error>();
    }
};

/// A request service with fake collaborators.
struct fake_router {
    explicit fake_router(runtime::scheduler& scheduler)
        : engines(scheduler),
          admission(scheduler, directory, quota),
          service(configuration, admission,
                  {scheduler, directory, selector, engines, claims, base::router_name("r1")}) {}

    fake_configuration configuration;
    fake_directory directory;
    fake_selector selector{directory};
    fake_engines engines;
    fake_claims claims;
    router::single_router_quota quota;
    router::fair_admission admission;
    router::routing_request_service service;
};

}  // namespace ferryroad::test
