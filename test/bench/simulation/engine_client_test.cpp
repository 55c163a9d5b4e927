/// The simulated engine client: what it hears, and proves, under each fault.
#include "bench/simulation/engines/engine_client.hpp"

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

#include <chrono>
#include <memory>
#include <optional>
#include <string>

using namespace std::chrono_literals;
using namespace ferryroad;
using namespace ferryroad::bench::simulation;

namespace {

constexpr std::uint32_t answer_tokens = 20;
const base::endpoint router_address{"10.0.0.1", 7000};
const core::prefix::cache_namespace scope{base::tenant_name("t"), base::model_name("m"),
                                          base::weights_version("1"), base::adapter_name("")};

engine_machine model_machine() {
    emulator::engine_model_settings settings;
    settings.name = base::engine_name("e");
    settings.model = scope.model;
    settings.version = scope.version;
    return {settings.name, {"10.0.1.1", 8000}, {}, settings};
}

engine_machine application_machine() {
    return {base::engine_name("a"), {"10.0.1.2", 8000}, {}, emulator::application_model_settings{}};
}

/// One router process with a client, a model engine and an application engine.
struct one_router {
    one_router() {
        fleet.add(model);
        fleet.add(application);
    }

    engine::engine_target target(const simulated_engine& of) const {
        return {of.name(), of.address(), of.process()};
    }

    engine::generation_request request() const {
        engine::generation_request wanted;
        wanted.request = base::request_id("r");
        wanted.attempt = base::attempt_id("r-1");
        wanted.scope = scope;
        wanted.expected_incarnation = base::incarnation(1);
        wanted.prompt = std::make_shared<const std::string>(8192, 'p');
        wanted.max_tokens = answer_tokens;
        wanted.time_left = 20s;
        return wanted;
    }

    runtime::task<void> generate() {
        const engine::engine_target to = target(model);
        engine::generation_request wanted = request();
        auto opened = co_await client.generate(to, std::move(wanted));
        if (opened.has_error()) {
            error = opened.error();
            co_return;
        }
        const std::unique_ptr<engine::generation_stream> stream = std::move(*opened);
        co_await read(*stream);
    }

    runtime::task<void> resume() {
        const engine::engine_target to = target(model);
        auto opened = co_await client.resume(to, base::attempt_id("r-1"), tokens);
        if (opened.has_error()) {
            error = opened.error();
            co_return;
        }
        const std::unique_ptr<engine::generation_stream> stream = std::move(*opened);
        error.reset();
        co_await read(*stream);
    }

    runtime::task<void> read(engine::generation_stream& stream) {
        while (!ended && !error) {
            auto event = co_await stream.next();
            if (event.has_error()) {
                error = event.error();
            } else if (const auto* token = std::get_if<engine::stream_token>(&*event)) {
                in_order = in_order && token->index == tokens;
                ++tokens;
            } else if (std::holds_alternative<engine::stream_end>(*event)) {
                ended = true;
            }
        }
    }

    runtime::task<void> call() {
        const engine::engine_target to = target(application);
        engine::application_request wanted;
        wanted.request = base::request_id("r");
        wanted.attempt = base::attempt_id("r-1");
        wanted.expected_incarnation = base::incarnation(1);
        wanted.body = "body";
        wanted.time_left = 5s;
        auto answer = co_await client.call_application(to, std::move(wanted));
        if (answer.has_error()) {
            error = answer.error();
        } else {
            body = answer->body;
        }
    }

    void run(base::duration length) { time.run_until(time.now() + length); }

    virtual_time time{5};
    fault_counts faults;
    network carrier{time, {}, faults};
    simulated_engine model{carrier, model_machine()};
    simulated_engine application{carrier, application_machine()};
    engine_fleet fleet;
    virtual_scheduler scheduler{time, 1};
    engine_client client{fleet, carrier, scheduler, router_address};
    std::uint32_t tokens = 0;
    bool in_order = true;
    bool ended = false;
    std::string body;
    std::optional<engine::error> error;
};

enum class stream_fault {
    none,
    crash,
    cut_streams,
    network_cut,
    freeze,
    other_incarnation,
    leaving,
    overloaded,
    killed_router
};

struct stream_row {
    const char* name;
    stream_fault fault;
    base::duration at;
    std::optional<engine::error_code> code;
    engine::proof proves;
    emulator::execution_state state;  ///< Of the one execution, if there is one.
    std::size_t executions;
};

using emulator::execution_state;
using engine::error_code;
using engine::proof;

const stream_row stream_rows[] = {
    {"whole", stream_fault::none, 0s, {}, {}, execution_state::complete, 1},
    {"crash in the middle", stream_fault::crash, 350ms, error_code::connection_lost, proof::unknown,
     execution_state::failed, 1},
    {"streams cut", stream_fault::cut_streams, 350ms, error_code::connection_lost, proof::unknown,
     execution_state::complete, 1},
    {"network cut in the middle", stream_fault::network_cut, 350ms, error_code::timed_out,
     proof::unknown, execution_state::complete, 1},
    {"network cut before",
     stream_fault::network_cut,
     0s,
     error_code::connect_failed,
     proof::not_sent,
     {},
     0},
    {"frozen past the silence limit", stream_fault::freeze, 350ms, error_code::timed_out,
     proof::unknown, execution_state::complete, 1},
    {"frozen before admission", stream_fault::freeze, 0s, error_code::timed_out, proof::unknown,
     execution_state::complete, 1},
    {"another process",
     stream_fault::other_incarnation,
     0s,
     error_code::refused_incarnation,
     proof::not_run,
     {},
     0},
    {"leaving", stream_fault::leaving, 0s, error_code::refused_leaving, proof::not_run, {}, 0},
    {"overloaded",
     stream_fault::overloaded,
     0s,
     error_code::refused_overloaded,
     proof::not_run,
     {},
     0},
    {"router killed", stream_fault::killed_router, 350ms, {}, {}, execution_state::complete, 1},
};
constexpr std::size_t stream_row_count = sizeof(stream_rows) / sizeof(stream_rows[0]);

void bring_about(stream_fault fault, one_router& world) {
    switch (fault) {
        case stream_fault::none:
            break;
        case stream_fault::crash:
            world.model.crash(500ms);
            break;
        case stream_fault::cut_streams:
            world.model.cut_streams();
            break;
        case stream_fault::network_cut:
            world.carrier.cut({router_address}, {world.model.address()});
            world.time.after(15s, [&world] { world.carrier.heal_all(); });
            break;
        case stream_fault::freeze:
            world.model.freeze(15s);
            break;
        case stream_fault::other_incarnation:
            world.model.crash(0s);
            world.run(10ms);
            break;
        case stream_fault::leaving:
            world.model.leave();
            break;
        case stream_fault::overloaded:
            world.model.set_refuse_overloaded(true);
            break;
        case stream_fault::killed_router:
            world.scheduler.kill();
            break;
    }
}

}  // namespace

ParameterizedTestParameters(engine_client, streams) {
    static std::size_t indexes[stream_row_count];
    for (std::size_t index = 0; index < stream_row_count; ++index) {
        indexes[index] = index;
    }
    return cr_make_param_array(std::size_t, indexes, stream_row_count);
}

ParameterizedTest(std::size_t* index, engine_client, streams) {
    const stream_row& row = stream_rows[*index];
    one_router world;
    if (row.fault == stream_fault::other_incarnation) {
        bring_about(row.fault, world);
        // The router still believes in the first process.
        const engine::engine_target stale{world.model.name(), world.model.address(),
                                          base::incarnation(1)};
        cr_assert(world.target(world.model).incarnation != stale.incarnation);
    } else {
        world.time.at(world.time.now() + row.at, [&] { bring_about(row.fault, world); });
        world.run(0s);
    }
    world.scheduler.spawn("generate", world.generate());
    world.run(30s);
    cr_assert_eq(world.model.executions().size(), row.executions, "%s", row.name);
    if (row.executions > 0) {
        cr_assert(world.model.executions()[0].state == row.state, "%s", row.name);
    }
    cr_assert_eq(world.error.has_value(), row.code.has_value(), "%s", row.name);
    if (row.code) {
        cr_assert(world.error->code == *row.code, "%s", row.name);
        cr_assert(world.error->proves == row.proves, "%s", row.name);
    }
    const bool whole = row.fault == stream_fault::none;
    cr_assert_eq(world.ended, whole, "%s", row.name);
    cr_assert(world.in_order && world.time.failures().empty(), "%s", row.name);
}

Test(engine_client, takes_up_a_cut_stream_where_it_broke) {
    one_router world;
    world.time.at(base::monotonic_time(350ms), [&] { world.model.cut_streams(); });
    world.scheduler.spawn("generate", world.generate());
    world.run(1s);
    cr_assert(world.error.has_value() && world.tokens > 0 && world.tokens < answer_tokens);
    world.scheduler.spawn("resume", world.resume());
    world.run(5s);
    cr_assert(world.ended && world.in_order);
    cr_assert_eq(world.tokens, answer_tokens);
    cr_assert_eq(world.model.executions().size(), 1U);
}

Test(engine_client, abandoned_stream_is_cancelled_by_the_engine) {
    one_router world;
    world.model.set_slow_factor(1000);
    world.scheduler.spawn("generate", world.generate());
    world.run(100ms);
    world.scheduler.kill();
    world.run(10s);
    cr_assert(world.model.executions().at(0).state == execution_state::cancelled);
}

Test(engine_client, application_answers_once_or_proves_nothing) {
    one_router whole;
    whole.scheduler.spawn("call", whole.call());
    whole.run(1s);
    cr_assert(whole.body == "r body");
    one_router lost;
    lost.application.lose_answers(1);
    lost.scheduler.spawn("call", lost.call());
    lost.run(1s);
    cr_assert(lost.error->proves == proof::unknown);
    cr_assert_eq(lost.application.executions().size(), 1U);
    cr_assert_eq(lost.faults.of(fault_kind::application_lost_answer), 1U);
}
