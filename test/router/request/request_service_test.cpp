/// A request through the service, in virtual time: what the caller gets and what the engines
/// were asked, failure by failure.
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
    std::uint32_t gone_at = 1000;  ///< The caller leaves before this token.
    runtime::task<bool> accept(engine::stream_token token) override {
        if (token.index >= gone_at) {
            co_return false;
        }
        text += token.text;
        co_return true;
    }
};

/// One router in virtual time.
struct run {
    bench::simulation::virtual_time time{1};
    bench::simulation::virtual_scheduler scheduler{time, 1};
    test::fake_router router{scheduler};
    text_sink sink;
    std::optional<runtime::result<router::generation_summary, router::refusal>> generated;
    std::optional<runtime::result<router::application_reply, router::refusal>> replied;

    ~run() { scheduler.kill(); }

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
    /// Runs until nothing is left to do.
    void start(std::function<runtime::task<void>()> work) {
        generated.reset();
        replied.reset();
        works.push_back(std::move(work));
        scheduler.spawn("test", works.back()());
        time.run_until(time.now() + 2h);
        cr_assert(time.failures().empty());
    }
    std::deque<std::function<runtime::task<void>()>> works;
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
test::exchange_script silent(std::uint32_t at) {
    return {{}, {}, at};
}

struct row {
    const char* name;
    const char* path;
    std::vector<test::exchange_script> scripts;
    std::string asked;  ///< Each exchange: engine and first token; r marks a resume.
    bool complete;
    refusal_code code;
    execution_report report;
};

const std::vector<row>& rows() {
    constexpr const char* many = "/v1/completions";
    constexpr const char* once = "/v1/chat/completions";
    constexpr auto none = refusal_code::unauthorized;
    static const std::vector<row> table = {
        {"whole", many, {}, "e1@0", true, none, {}},
        {"not connected",
         many,
         {refuses(error_code::connect_failed, proof::not_sent)},
         "e1@0 e2@0",
         true,
         none,
         {}},
        {"broken, resumed", many, {cut(2)}, "e1@0 r:e1@2", true, none, {}},
        {"broken, resumed once only", once, {cut(2)}, "e1@0 r:e1@2", true, none, {}},
        {"broken, attempt gone, continued",
         many,
         {cut(2), refuses(error_code::not_found, proof::unknown)},
         "e1@0 r:e1@2 e2@2",
         true,
         none,
         {}},
        {"broken, attempt gone, once only",
         once,
         {cut(2), refuses(error_code::not_found, proof::unknown)},
         "e1@0 r:e1@2",
         false,
         refusal_code::outcome_unknown,
         execution_report::unknown},
        {"silent stream continues elsewhere",
         many,
         {cut(3, error_code::timed_out)},
         "e1@0 e2@3",
         true,
         none,
         {}},
        {"lost before the start",
         many,
         {refuses(error_code::connection_lost, proof::unknown)},
         "e1@0 e2@0",
         true,
         none,
         {}},
        {"lost before the start, once only",
         once,
         {refuses(error_code::connection_lost, proof::unknown)},
         "e1@0",
         false,
         refusal_code::outcome_unknown,
         execution_report::unknown},
        {"refused, once only",
         once,
         {refuses(error_code::refused_leaving, proof::not_run)},
         "e1@0 e2@0",
         true,
         none,
         {}},
        {"pool full",
         many,
         {refuses(error_code::refused_overloaded, proof::not_run),
          refuses(error_code::refused_overloaded, proof::not_run)},
         "e1@0 e2@0",
         false,
         refusal_code::overloaded,
         execution_report::not_run},
        {"all engines gone",
         many,
         {refuses(error_code::connect_failed, proof::not_sent),
          refuses(error_code::connect_failed, proof::not_sent),
          refuses(error_code::connect_failed, proof::not_sent)},
         "e1@0 e2@0 e3@0",
         false,
         refusal_code::no_engine,
         execution_report::not_run},
        {"silent past the deadline",
         many,
         {silent(1)},
         "e1@0",
         false,
         refusal_code::deadline_exceeded,
         execution_report::unknown},
    };
    return table;
}

runtime::task<void> note_drain(run& one, std::optional<base::monotonic_time>& drained_at) {
    co_await one.router.service.drain();
    drained_at = one.time.now();
}

std::string asked(const test::fake_engines& engines) {
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
    run one;
    one.router.engines.scripts.assign(expected.scripts.begin(), expected.scripts.end());
    one.generate(expected.path);
    cr_assert(one.generated.has_value(), "%s: no end", expected.name);
    const std::string calls = asked(one.router.engines);
    cr_assert_str_eq(calls.c_str(), expected.asked.c_str(), "%s", expected.name);
    cr_assert_eq(one.generated->has_value(), expected.complete, "%s", expected.name);
    cr_assert_eq(one.router.directory.in_flight, 0, "%s", expected.name);
    if (expected.complete) {
        cr_assert_str_eq(one.sink.text.c_str(), "t0 t1 t2 t3 t4 ", "%s", expected.name);
        cr_assert_eq((*one.generated)->tokens, 5U);
        cr_assert_eq((*one.generated)->cached_tokens, 4U);
    } else {
        cr_assert_eq(one.generated->error().code, expected.code, "%s", expected.name);
        cr_assert_eq(one.generated->error().execution, expected.report, "%s", expected.name);
        cr_assert(one.generated->error().retry_after.has_value());
    }
}

Test(request_service, caller_gone_cancels_the_attempt) {
    run one;
    one.sink.gone_at = 2;
    one.generate();
    cr_assert(one.generated->has_error());
    cr_assert_eq(one.router.engines.cancelled.size(), 1U);
    cr_assert(one.router.engines.cancelled.front() == one.router.engines.calls.front().attempt);
}

Test(request_service, cancelled_coroutine_cancels_the_attempt) {
    run one;
    one.router.engines.scripts.push_back(silent(0));
    one.call("/app/readings", nullptr, "x", 5s);
    cr_assert_not(one.replied.has_value());
    cr_assert_eq(one.router.engines.cancelled.size(), 1U);
    cr_assert_eq(one.router.directory.in_flight, 0);
}

Test(request_service, deadline_ends_a_silent_call) {
    run one;
    one.router.engines.scripts.push_back(silent(0));
    one.call("/app/records", nullptr);
    cr_assert(one.replied->has_error());
    cr_assert_eq(one.replied->error().code, refusal_code::deadline_exceeded);
    cr_assert_eq(one.replied->error().execution, execution_report::unknown);
    cr_assert_eq(one.router.engines.cancelled.size(), 1U);
}

Test(request_service, an_attempt_that_waits_at_a_silent_engine_goes_elsewhere) {
    run one;
    one.router.engines.scripts.push_back(silent(0));
    const base::engine_name silent_engine("e1");
    one.time.after(2s, [&] { one.router.directory.silent.push_back(silent_engine); });
    one.generate();
    cr_assert(one.sink.text == "t0 t1 t2 t3 t4 ");
    cr_assert(asked(one.router.engines) == "e1@0 e2@0");
    cr_assert_eq(one.router.engines.cancelled.size(), 1U);
}

Test(request_service, a_call_that_may_not_be_repeated_waits_at_a_silent_engine) {
    run one;
    one.router.engines.answer_time = 5s;
    one.router.directory.silent.push_back(base::engine_name("e1"));
    one.call("/app/records", nullptr);
    cr_assert(one.replied->has_value());
    cr_assert_eq(one.router.engines.calls.size(), 1U);
}

Test(request_service, engine_that_left_after_the_choice_gets_nothing) {
    run one;
    one.router.directory.left.push_back(base::engine_name("e1"));
    one.call("/app/records", nullptr);
    cr_assert(one.replied->has_value());
    const std::string calls = asked(one.router.engines);
    cr_assert_str_eq(calls.c_str(), "e2@0");
}

Test(request_service, repeated_key_gets_the_recorded_outcome) {
    run one;
    one.call("/app/records", "k1");
    cr_assert((*one.replied)->body == "echo:x");
    one.call("/app/records", "k1");
    cr_assert((*one.replied)->body == "echo:x");
    cr_assert_eq(one.router.engines.calls.size(), 1U, "it ran once");
    one.call("/app/records", "k1", "other");
    cr_assert_eq(one.replied->error().code, refusal_code::key_in_use);
    cr_assert_not(one.replied->error().retry_after.has_value(), "it never gets better");
}

Test(request_service, repeated_key_gets_the_recorded_tokens) {
    run one;
    one.generate("/v1/chat/completions", "k1");
    one.sink.text.clear();
    one.generate("/v1/chat/completions", "k1");
    cr_assert_str_eq(one.sink.text.c_str(), "t0 t1 t2 t3 t4 ");
    cr_assert_eq((*one.generated)->tokens, 5U);
    cr_assert_eq(one.router.engines.calls.size(), 1U, "it ran once");
}

Test(request_service, a_claimed_call_runs_to_its_end_without_its_caller) {
    run one;
    one.router.engines.answer_time = 3s;
    one.call("/app/records", "k1", "x", 1s);
    cr_assert_not(one.replied.has_value(), "the caller left");
    cr_assert(one.router.engines.cancelled.empty());
    one.call("/app/records", "k1");
    cr_assert((*one.replied)->body == "echo:x");
    cr_assert_eq(one.router.engines.calls.size(), 1U, "it ran once");
}

Test(request_service, a_planned_stop_waits_for_claimed_calls_without_callers) {
    run one;
    one.router.engines.answer_time = 3s;
    const auto left_at = one.time.now() + 1s;
    std::optional<base::monotonic_time> drained_at;
    one.time.at(left_at + 1ms, one.scheduler.process(),
                [&] { one.scheduler.spawn("drain", note_drain(one, drained_at)); });
    one.call("/app/records", "k1", "x", 1s);
    cr_assert(drained_at.has_value());
    cr_assert_geq((*drained_at - left_at).count(), base::duration(2s).count());
    cr_assert(one.router.claims.records.begin()->second.outcome.has_value());
}

Test(request_service, a_claimed_generation_runs_to_its_end_without_its_caller) {
    run one;
    one.sink.gone_at = 2;
    one.generate("/v1/chat/completions", "k1");
    one.sink = text_sink();
    one.generate("/v1/chat/completions", "k1");
    cr_assert(one.sink.text == "t0 t1 t2 t3 t4 ");
    cr_assert_eq(one.router.engines.calls.size(), 1U, "it ran once");
}

Test(request_service, an_answer_too_long_to_keep_is_complete_all_the_same) {
    run one;
    const std::string body(router::request_tunables{}.recorded_body_bytes, 'x');
    one.call("/app/records", "k1", body);
    cr_assert((*one.replied)->body == "echo:" + body);
    one.call("/app/records", "k1", body);
    cr_assert_eq(one.replied->error().code, refusal_code::key_in_use);
    cr_assert_eq(one.replied->error().execution, execution_report::complete);
}

Test(request_service, key_of_an_unknown_outcome_stays_closed) {
    run one;
    one.router.engines.scripts.push_back(refuses(error_code::connection_lost, proof::unknown));
    one.call("/app/records", "k1");
    cr_assert_eq(one.replied->error().code, refusal_code::outcome_unknown);
    one.call("/app/records", "k1");
    cr_assert_eq(one.replied->error().code, refusal_code::outcome_unknown);
    cr_assert_eq(one.router.engines.calls.size(), 1U);
}

Test(request_service, key_of_a_request_that_never_ran_is_free_again) {
    run one;
    one.router.selector.failure = {router::selection_failure::no_engine, 2s};
    one.call("/app/records", "k1");
    cr_assert_eq(one.replied->error().code, refusal_code::no_engine);
    cr_assert(one.replied->error().retry_after == 2s);
    one.router.selector.failure.reset();
    one.call("/app/records", "k1");
    cr_assert(one.replied->has_value());
}

Test(request_service, nothing_runs_while_claims_cannot_be_recorded) {
    run one;
    one.router.claims.outage = true;
    one.call("/app/records", "k1");
    cr_assert_eq(one.replied->error().code, refusal_code::platform_unavailable);
    cr_assert_eq(one.replied->error().execution, execution_report::not_run);
    cr_assert(one.replied->error().retry_after == 3s);
    cr_assert(one.router.engines.calls.empty());
}

Test(request_service, an_unconfirmed_router_takes_nothing) {
    run one;
    one.router.configuration.is_confirmed = false;
    one.generate();
    cr_assert_eq(one.generated->error().code, refusal_code::not_ready);
    cr_assert(one.generated->error().retry_after.has_value());
}

Test(request_service, tenant_rate_is_limited) {
    run one;
    auto& limits = one.router.configuration.declared.tenants.begin()->second.limits;
    limits.requests_per_second = 0.0001;
    limits.request_burst = 2;
    one.generate();
    one.time.run_until(one.time.now());
    limits.requests_per_second = 1e-9;
    one.generate();
    cr_assert(one.generated->has_value());
    one.generate();
    cr_assert_eq(one.generated->error().code, refusal_code::over_limit);
    cr_assert_gt(one.generated->error().retry_after->count(), 0);
}
