/// Tests requests through the service in virtual time. For each failure they check what the
/// caller gets and which exchanges the engines receive.
#include "bench/simulation/virtual_scheduler.hpp"
#include "test/router/request/fake_router.hpp"

#include <boost/asio/experimental/awaitable_operators.hpp>
#include <criterion/criterion.h>
#include <criterion/parameterized.h>

using namespace ferryroad;
using namespace std::chrono_literals;
using core::execution::execution_report;
using engine::error_code;
using engine::proof;
using router::refusal_code;

namespace {

struct text_sink final : router::token_sink {
    std::string text;
    std::uint32_t gone_at = 1000;  ///< The caller disconnects before this token.
    runtime::task<bool> accept(engine::stream_token token) override {
        if (token.index >= gone_at) {
            co_return false;
        }
        text += token.text;
        co_return true;
    }
};

/// A request service in virtual time, with its caller.
struct service_fixture {
    bench::simulation::virtual_time time{1};
    bench::simulation::virtual_scheduler scheduler{time, 1};
    test::fake_router router{scheduler};
    text_sink sink;
    std::optional<runtime::result<router::generation_summary, router::refusal>> generated;
    std::optional<runtime::result<router::application_reply, router::refusal>> replied;

    ~service_fixture() { scheduler.kill(); }

    void generate(const char* path = "/v1/completions", const char* key = nullptr,
                  std::string prompt = "0123456789abcdef0123456789abcdef") {
        router::generation_call call;
        call.request = base::request_id("r1");
        call.bearer_key = test::bearer_key;
        call.path = path;
        call.model = base::model_name("m1");
        call.prompt = std::make_shared<const std::string>(std::move(prompt));
        if (key) {
            call.key = base::idempotency_key(key);
        }
        start([this, call]() -> runtime::task<void> {
            generated = co_await router.service.generate(call, sink);
        });
    }
    void call(const char* path, const char* key, std::string body = "x",
              base::duration caller_waits = 1h) {
        router::application_call call;
        call.request = base::request_id("r1");
        call.bearer_key = test::bearer_key;
        call.method = "POST";
        call.path = path;
        call.body = std::move(body);
        if (key) {
            call.key = base::idempotency_key(key);
        }
        start([this, call, caller_waits]() -> runtime::task<void> {
            using boost::asio::experimental::awaitable_operators::operator||;
            const auto work = [&]() -> runtime::task<void> {
                replied = co_await router.service.call_application(call);
            };
            co_await (work() || scheduler.sleep_for(caller_waits));
        });
    }
    /// Runs `work` for up to two hours of virtual time.
    void start(std::function<runtime::task<void>()> work) {
        generated.reset();
        replied.reset();
        tasks.push_back(std::move(work));
        scheduler.spawn("test", tasks.back()());
        time.run_until(time.now() + 2h);
        cr_assert(time.failures().empty());
    }
    std::deque<std::function<runtime::task<void>()>> tasks;
};

engine::error failure(error_code code, proof proves) {
    return {code, proves, "scripted", std::nullopt};
}

test::exchange_script refuses(error_code code, proof proves) {
    return {failure(code, proves), {}, {}};
}
test::exchange_script cut(std::uint32_t at, error_code as = error_code::connection_lost) {
    return {{}, at, {}, as};
}
test::exchange_script stall(std::uint32_t at) {
    return {{}, {}, at};
}

struct row {
    const char* name;
    const char* path;
    std::vector<test::exchange_script> scripts;
    std::string exchanges;  ///< Each exchange as "engine@first token"; "r:" marks a resume.
    bool complete;
    refusal_code code;
    execution_report report;
};

const std::vector<row>& rows() {
    constexpr const char* repeatable_path = "/v1/completions";
    constexpr const char* non_repeatable_path = "/v1/chat/completions";
    constexpr auto none = refusal_code::unauthorized;
    static const std::vector<row> table = {
        {"whole", repeatable_path, {}, "e1@0", true, none, {}},
        {"not connected",
         repeatable_path,
         {refuses(error_code::connect_failed, proof::not_sent)},
         "e1@0 e2@0",
         true,
         none,
         {}},
        {"broken, resumed", repeatable_path, {cut(2)}, "e1@0 r:e1@2", true, none, {}},
        {"broken, resumed once only", non_repeatable_path, {cut(2)}, "e1@0 r:e1@2", true, none, {}},
        {"broken, attempt gone, continued",
         repeatable_path,
         {cut(2), refuses(error_code::not_found, proof::unknown)},
         "e1@0 r:e1@2 e2@2",
         true,
         none,
         {}},
        {"broken, attempt gone, once only",
         non_repeatable_path,
         {cut(2), refuses(error_code::not_found, proof::unknown)},
         "e1@0 r:e1@2",
         false,
         refusal_code::outcome_unknown,
         execution_report::unknown},
        {"silent stream continues elsewhere",
         repeatable_path,
         {cut(3, error_code::timed_out)},
         "e1@0 e2@3",
         true,
         none,
         {}},
        {"lost before the start",
         repeatable_path,
         {refuses(error_code::connection_lost, proof::unknown)},
         "e1@0 e2@0",
         true,
         none,
         {}},
        {"lost before the start, once only",
         non_repeatable_path,
         {refuses(error_code::connection_lost, proof::unknown)},
         "e1@0",
         false,
         refusal_code::outcome_unknown,
         execution_report::unknown},
        {"refused, once only",
         non_repeatable_path,
         {refuses(error_code::refused_leaving, proof::not_run)},
         "e1@0 e2@0",
         true,
         none,
         {}},
        {"pool full",
         repeatable_path,
         {refuses(error_code::refused_overloaded, proof::not_run),
          refuses(error_code::refused_overloaded, proof::not_run)},
         "e1@0 e2@0",
         false,
         refusal_code::overloaded,
         execution_report::not_run},
        {"all engines gone",
         repeatable_path,
         {refuses(error_code::connect_failed, proof::not_sent),
          refuses(error_code::connect_failed, proof::not_sent),
          refuses(error_code::connect_failed, proof::not_sent)},
         "e1@0 e2@0 e3@0",
         false,
         refusal_code::no_engine,
         execution_report::not_run},
        {"silent past the deadline",
         repeatable_path,
         {stall(1)},
         "e1@0",
         false,
         refusal_code::deadline_exceeded,
         execution_report::unknown},
    };
    return table;
}

runtime::task<void> record_drain(service_fixture& fixture,
                                 std::optional<base::monotonic_time>& drained_at) {
    co_await fixture.router.service.drain();
    drained_at = fixture.time.now();
}

std::string exchanges_of(const test::fake_engines& engines) {
    std::string text;
    for (const auto& call : engines.calls) {
        text += text.empty() ? "" : " ";
        text += call.kind == "resume" ? "r:" : "";
        text += call.engine.value + "@" + std::to_string(call.first_token);
    }
    return text;
}

}  // namespace

ParameterizedTestParameters(request_service, failure_table) {
    static std::vector<std::size_t> indexes;
    for (std::size_t index = 0; index < rows().size(); ++index) {
        indexes.push_back(index);
    }
    return cr_make_param_array(std::size_t, indexes.data(), indexes.size());
}

ParameterizedTest(std::size_t* index, request_service, failure_table) {
    const row& expected = rows()[*index];
    service_fixture fixture;
    fixture.router.engines.scripts.assign(expected.scripts.begin(), expected.scripts.end());
    fixture.generate(expected.path);
    cr_assert(fixture.generated.has_value(), "%s: no end", expected.name);
    const std::string calls = exchanges_of(fixture.router.engines);
    cr_assert_str_eq(calls.c_str(), expected.exchanges.c_str(), "%s", expected.name);
    cr_assert_eq(fixture.generated->has_value(), expected.complete, "%s", expected.name);
    cr_assert_eq(fixture.router.directory.in_flight, 0, "%s", expected.name);
    if (expected.complete) {
        cr_assert_str_eq(fixture.sink.text.c_str(), "t0 t1 t2 t3 t4 ", "%s", expected.name);
        cr_assert_eq((*fixture.generated)->tokens, 5U);
        cr_assert_eq((*fixture.generated)->cached_tokens, 4U);
    } else {
        cr_assert_eq(fixture.generated->error().code, expected.code, "%s", expected.name);
        cr_assert_eq(fixture.generated->error().execution, expected.report, "%s", expected.name);
        cr_assert(fixture.generated->error().retry_after.has_value());
    }
}

Test(request_service, caller_gone_cancels_the_attempt) {
    service_fixture fixture;
    fixture.sink.gone_at = 2;
    fixture.generate();
    cr_assert(fixture.generated->has_error());
    cr_assert_eq(fixture.router.engines.cancelled.size(), 1U);
    cr_assert(fixture.router.engines.cancelled.front() ==
              fixture.router.engines.calls.front().attempt);
}

Test(request_service, cancelled_coroutine_cancels_the_attempt) {
    service_fixture fixture;
    fixture.router.engines.scripts.push_back(stall(0));
    fixture.call("/app/readings", nullptr, "x", 5s);
    cr_assert_not(fixture.replied.has_value());
    cr_assert_eq(fixture.router.engines.cancelled.size(), 1U);
    cr_assert_eq(fixture.router.directory.in_flight, 0);
}

Test(request_service, deadline_ends_a_silent_call) {
    service_fixture fixture;
    fixture.router.engines.scripts.push_back(stall(0));
    fixture.call("/app/records", nullptr);
    cr_assert(fixture.replied->has_error());
    cr_assert_eq(fixture.replied->error().code, refusal_code::deadline_exceeded);
    cr_assert_eq(fixture.replied->error().execution, execution_report::unknown);
    cr_assert_eq(fixture.router.engines.cancelled.size(), 1U);
}

Test(request_service, an_attempt_waiting_at_a_suspected_engine_is_retried_elsewhere) {
    service_fixture fixture;
    fixture.router.engines.scripts.push_back(stall(0));
    const base::engine_name suspected_engine("e1");
    fixture.time.after(
        2s, [&] { fixture.router.directory.suspected_engines.push_back(suspected_engine); });
    fixture.generate();
    cr_assert(fixture.sink.text == "t0 t1 t2 t3 t4 ");
    cr_assert(exchanges_of(fixture.router.engines) == "e1@0 e2@0");
    cr_assert_eq(fixture.router.engines.cancelled.size(), 1U);
}

Test(request_service, a_non_repeatable_call_keeps_waiting_at_a_suspected_engine) {
    service_fixture fixture;
    fixture.router.engines.answer_delay = 5s;
    fixture.router.directory.suspected_engines.push_back(base::engine_name("e1"));
    fixture.call("/app/records", nullptr);
    cr_assert(fixture.replied->has_value());
    cr_assert_eq(fixture.router.engines.calls.size(), 1U);
}

Test(request_service, an_engine_that_left_after_selection_gets_no_attempt) {
    service_fixture fixture;
    fixture.router.directory.leaving_engines.push_back(base::engine_name("e1"));
    fixture.call("/app/records", nullptr);
    cr_assert(fixture.replied->has_value());
    const std::string calls = exchanges_of(fixture.router.engines);
    cr_assert_str_eq(calls.c_str(), "e2@0");
}

Test(request_service, repeated_key_gets_the_recorded_outcome) {
    service_fixture fixture;
    fixture.call("/app/records", "k1");
    cr_assert((*fixture.replied)->body == "echo:x");
    fixture.call("/app/records", "k1");
    cr_assert((*fixture.replied)->body == "echo:x");
    cr_assert_eq(fixture.router.engines.calls.size(), 1U, "it ran once");
    fixture.call("/app/records", "k1", "other");
    cr_assert_eq(fixture.replied->error().code, refusal_code::key_in_use);
    cr_assert_not(fixture.replied->error().retry_after.has_value(), "a retry can't succeed");
}

Test(request_service, repeated_key_gets_the_recorded_tokens) {
    service_fixture fixture;
    fixture.generate("/v1/chat/completions", "k1");
    fixture.sink.text.clear();
    fixture.generate("/v1/chat/completions", "k1");
    cr_assert_str_eq(fixture.sink.text.c_str(), "t0 t1 t2 t3 t4 ");
    cr_assert_eq((*fixture.generated)->tokens, 5U);
    cr_assert_eq(fixture.router.engines.calls.size(), 1U, "it ran once");
}

Test(request_service, a_claimed_call_runs_to_its_end_without_its_caller) {
    service_fixture fixture;
    fixture.router.engines.answer_delay = 3s;
    fixture.call("/app/records", "k1", "x", 1s);
    cr_assert_not(fixture.replied.has_value(), "the caller left");
    cr_assert(fixture.router.engines.cancelled.empty());
    fixture.call("/app/records", "k1");
    cr_assert((*fixture.replied)->body == "echo:x");
    cr_assert_eq(fixture.router.engines.calls.size(), 1U, "it ran once");
}

Test(request_service, drain_waits_for_claimed_calls_without_callers) {
    service_fixture fixture;
    fixture.router.engines.answer_delay = 3s;
    const auto left_at = fixture.time.now() + 1s;
    std::optional<base::monotonic_time> drained_at;
    fixture.time.at(left_at + 1ms, fixture.scheduler.process(),
                    [&] { fixture.scheduler.spawn("drain", record_drain(fixture, drained_at)); });
    fixture.call("/app/records", "k1", "x", 1s);
    cr_assert(drained_at.has_value());
    cr_assert_geq((*drained_at - left_at).count(), base::duration(2s).count());
    cr_assert(fixture.router.claims.records.begin()->second.outcome.has_value());
}

Test(request_service, a_claimed_generation_runs_to_its_end_without_its_caller) {
    service_fixture fixture;
    fixture.sink.gone_at = 2;
    fixture.generate("/v1/chat/completions", "k1");
    fixture.sink = text_sink();
    fixture.generate("/v1/chat/completions", "k1");
    cr_assert(fixture.sink.text == "t0 t1 t2 t3 t4 ");
    cr_assert_eq(fixture.router.engines.calls.size(), 1U, "it ran once");
}

Test(request_service, an_answer_too_long_to_record_is_still_complete) {
    service_fixture fixture;
    const std::string body(router::request_tunables{}.max_recorded_body_bytes, 'x');
    fixture.call("/app/records", "k1", body);
    cr_assert((*fixture.replied)->body == "echo:" + body);
    fixture.call("/app/records", "k1", body);
    cr_assert_eq(fixture.replied->error().code, refusal_code::key_in_use);
    cr_assert_eq(fixture.replied->error().execution, execution_report::complete);
}

Test(request_service, key_of_an_unknown_outcome_stays_closed) {
    service_fixture fixture;
    fixture.router.engines.scripts.push_back(refuses(error_code::connection_lost, proof::unknown));
    fixture.call("/app/records", "k1");
    cr_assert_eq(fixture.replied->error().code, refusal_code::outcome_unknown);
    fixture.call("/app/records", "k1");
    cr_assert_eq(fixture.replied->error().code, refusal_code::outcome_unknown);
    cr_assert_eq(fixture.router.engines.calls.size(), 1U);
}

Test(request_service, key_of_a_request_that_never_ran_is_released) {
    service_fixture fixture;
    fixture.router.selector.failure = {router::selection_failure::no_engine, 2s};
    fixture.call("/app/records", "k1");
    cr_assert_eq(fixture.replied->error().code, refusal_code::no_engine);
    cr_assert(fixture.replied->error().retry_after == 2s);
    fixture.router.selector.failure.reset();
    fixture.call("/app/records", "k1");
    cr_assert(fixture.replied->has_value());
}

Test(request_service, nothing_runs_while_claims_cannot_be_recorded) {
    service_fixture fixture;
    fixture.router.claims.outage = true;
    fixture.call("/app/records", "k1");
    cr_assert_eq(fixture.replied->error().code, refusal_code::platform_unavailable);
    cr_assert_eq(fixture.replied->error().execution, execution_report::not_run);
    cr_assert(fixture.replied->error().retry_after == 3s);
    cr_assert(fixture.router.engines.calls.empty());
}

Test(request_service, a_router_with_unconfirmed_configuration_refuses_requests) {
    service_fixture fixture;
    fixture.router.configuration.is_confirmed = false;
    fixture.generate();
    cr_assert_eq(fixture.generated->error().code, refusal_code::not_ready);
    cr_assert(fixture.generated->error().retry_after.has_value());
}

Test(request_service, tenant_rate_is_limited) {
    service_fixture fixture;
    auto& limits = fixture.router.configuration.declared.tenants.begin()->second.limits;
    limits.requests_per_second = 0.0001;
    limits.request_burst = 2;
    fixture.generate();
    fixture.time.run_until(fixture.time.now());
    limits.requests_per_second = 1e-9;
    fixture.generate();
    cr_assert(fixture.generated->has_value());
    fixture.generate();
    cr_assert_eq(fixture.generated->error().code, refusal_code::over_limit);
    cr_assert_gt(fixture.generated->error().retry_after->count(), 0);
}
