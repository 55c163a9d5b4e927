/// What a caller records of each way an exchange can end, against a server that plays it.
#include "bench/load/caller.hpp"

#include "bench/load/rendered_prompt.hpp"
#include "bench/load/runner.hpp"
#include "ferryroad/http/server.hpp"
#include "test/http/loopback.hpp"

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

namespace {

using namespace ferryroad;
using namespace ferryroad::bench;
using load::answer_state;
using load::call_outcome;

/// What the server sends; `%0` to `%9` in a body stand for the answer's first tokens.
struct played {
    unsigned status;
    bool stream;
    const char* body;
    bool ends;  ///< With the body's proper end.
};

struct row {
    const char* name;
    workload::request_type type;
    played answer;
    call_outcome outcome;
    answer_state state;
    const char* error_code;
};

constexpr auto generation = workload::request_type::generation;
constexpr auto write_call = workload::request_type::application_write;

#define EVENT(text) "data: {\"choices\":[{\"text\":\"" text "\",\"finish_reason\":null}]}\n\n"
#define LAST                                                                           \
    "data: {\"choices\":[{\"text\":\"\",\"finish_reason\":\"length\"}],\"ferryroad\":" \
    "{\"execution\":\"complete\"}}\n\n"
#define DONE "data: [DONE]\n\n"
#define ERROR(code)                               \
    "{\"error\":{\"type\":\"t\",\"code\":\"" code \
    "\",\"message\":\"m\","                       \
    "\"execution\":\"unknown\"}}"

constexpr row rows[] = {
    {"whole stream",
     generation,
     {200, true, EVENT("%0") EVENT("%1") LAST DONE, true},
     call_outcome::complete,
     answer_state::exact,
     ""},
    {"tokens joined and cut anywhere",
     generation,
     {200, true, EVENT("%0%1") LAST DONE, true},
     call_outcome::complete,
     answer_state::exact,
     ""},
    {"missing token",
     generation,
     {200, true, EVENT("%1") LAST DONE, true},
     call_outcome::complete,
     answer_state::wrong,
     ""},
    {"doubled token",
     generation,
     {200, true, EVENT("%0") EVENT("%0") EVENT("%1") LAST DONE, true},
     call_outcome::complete,
     answer_state::wrong,
     ""},
    {"short of its length",
     generation,
     {200, true, EVENT("%0") LAST DONE, true},
     call_outcome::complete,
     answer_state::wrong,
     ""},
    {"body ends without [DONE]",
     generation,
     {200, true, EVENT("%0") EVENT("%1") LAST, true},
     call_outcome::cut,
     answer_state::prefix,
     "connection_lost"},
    {"cut after a token",
     generation,
     {200, true, EVENT("%0"), false},
     call_outcome::cut,
     answer_state::prefix,
     "connection_lost"},
    {"error event",
     generation,
     {200, true, EVENT("%0") "data: " ERROR("engine_failed") "\n\n", true},
     call_outcome::failed,
     answer_state::prefix,
     "engine_failed"},
    {"refusal",
     generation,
     {503, false, ERROR("overloaded"), true},
     call_outcome::refused,
     answer_state::none,
     "overloaded"},
    {"refusal that is no JSON",
     generation,
     {500, false, "oops", true},
     call_outcome::refused,
     answer_state::none,
     "status_500"},
    {"echoed write",
     write_call,
     {200, false, "{\"body\":{\"record\":\"key-1\"}}", true},
     call_outcome::complete,
     answer_state::exact,
     ""},
    {"another's write",
     write_call,
     {200, false, "{\"body\":{\"record\":\"key-2\"}}", true},
     call_outcome::complete,
     answer_state::wrong,
     ""},
};
constexpr std::size_t row_count = sizeof(rows) / sizeof(rows[0]);

workload::workload_request make_request(workload::request_type type) {
    workload::workload_request request;
    request.kind = "k";
    request.type = type;
    request.tenant.value = "t";
    if (type == generation) {
        request.prompt = std::make_shared<const std::string>("abc");
        request.stream = true;
        request.max_tokens = 2;
    } else {
        request.key.emplace("key-1");
        request.body = "{\"record\":\"key-1\"}";
    }
    return request;
}

std::string fill(std::string body) {
    for (char index = '0'; index < '2'; ++index) {
        const std::string token = std::string("ba7816bf.") + index + " ";
        for (auto at = body.find({'%', index}); at != std::string::npos;
             at = body.find({'%', index})) {
            body.replace(at, 2, token);
        }
    }
    return body;
}

runtime::task<void> play(played answer, http::response_writer& writer) {
    http::header_list headers{{"Content-Type", "text/plain"},
                              {"Ferryroad-Request-Id", "r1"},
                              {"Ferryroad-Execution", "unknown"},
                              {"Retry-After", "1"}};
    std::string body = fill(answer.body);
    if (!answer.stream) {
        http::response whole{answer.status, std::move(headers), std::move(body)};
        co_await writer.send(std::move(whole));
        co_return;
    }
    co_await writer.begin_stream(answer.status, std::move(headers));
    co_await writer.write(std::move(body));
    if (answer.ends) {
        co_await writer.end_stream();
    }
}

/// A system of one router, which plays one answer to everything.
struct fixture {
    test::loopback loop;
    http::server server;
    load::endpoints system;
    std::uint64_t handled = 0;

    explicit fixture(played answer)
        : server(loop.scheduler, http::server_limits{},
                 [this, answer](http::request, http::response_writer& writer) {
                     ++handled;
                     return play(answer, writer);
                 }) {
        system.routers = {server.listen(test::any_port)};
        system.tenants = {{base::tenant_name("t"), "key"}};
        system.routes = {{"/v1/completions", true}, {"/app/read", true}, {"/app/write", false}};
        system.models = {base::model_name("m")};
    }
};

runtime::task<void> call_into(load::caller& client, workload::workload_request request,
                              load::call_record& record) {
    record = co_await client.call(std::move(request));
}

runtime::task<void> run_into(load::runner& driver, std::vector<load::call_record>& records) {
    records = co_await driver.run();
}

}  // namespace

ParameterizedTestParameters(caller, exchanges) {
    static std::size_t indexes[row_count];
    for (std::size_t index = 0; index < row_count; ++index) {
        indexes[index] = index;
    }
    return cr_make_param_array(std::size_t, indexes, row_count);
}

ParameterizedTest(std::size_t* index, caller, exchanges) {
    const row& expected = rows[*index];
    fixture at(expected.answer);
    load::caller client(at.loop.scheduler, at.system, {});
    load::call_record record;
    const auto body = [&] { return call_into(client, make_request(expected.type), record); };
    cr_assert(at.loop.run(body));
    cr_assert(record.outcome == expected.outcome, "%s", expected.name);
    cr_assert(record.answer == expected.state, "%s", expected.name);
    cr_assert_eq(record.error_code, expected.error_code, "%s: %s", expected.name,
                 record.error_code.c_str());
    cr_assert_eq(record.request.value, "r1", "%s", expected.name);
    cr_assert(record.retry_after);
    cr_assert(record.execution.has_value());
}

Test(caller, tries_the_next_router_only_while_nothing_was_sent) {
    fixture at(rows[0].answer);
    const base::endpoint closed{"127.0.0.1", 1};
    at.system.routers = {closed, at.system.routers.front()};
    load::caller client(at.loop.scheduler, at.system, {});
    load::call_record record;
    const auto first = [&] { return call_into(client, make_request(generation), record); };
    cr_assert(at.loop.run(first));
    cr_assert(record.outcome == call_outcome::complete);
    cr_assert(record.router == at.system.routers.back());
}

Test(caller, no_router_is_unreachable_not_cut) {
    fixture at(rows[0].answer);
    at.system.routers = {{"127.0.0.1", 1}};
    load::caller client(at.loop.scheduler, at.system, {});
    load::call_record record;
    const auto body = [&] { return call_into(client, make_request(generation), record); };
    cr_assert(at.loop.run(body));
    cr_assert(record.outcome == call_outcome::unreachable);
    cr_assert(record.answer == answer_state::none);
}

Test(caller, chats_are_rendered_as_routers_do) {
    workload::workload_request request = make_request(generation);
    cr_assert_eq(load::rendered_prompt(request), "abc");
    request.path = "/v1/chat/completions";
    cr_assert_eq(load::rendered_prompt(request), "<|user|>\nabc\n<|assistant|>\n");
}

Test(runner, closed_loop_sends_every_request_once) {
    fixture at(rows[10].answer);
    workload::specification source;
    source.requests = 57;
    source.arrival = workload::closed_arrivals{8};
    source.tenants = {{base::tenant_name("t"), 1.0}};
    workload::request_kind read;
    read.name = "read";
    read.type = workload::request_type::application_read;
    source.kinds = {read};
    workload::generator stream(source);
    load::caller client(at.loop.scheduler, at.system, {});
    load::progress last;
    load::runner_options options;
    options.show_progress = [&last](const load::progress& state) { last = state; };
    load::runner driver(at.loop.scheduler, client, stream, options);
    std::vector<load::call_record> records;
    const auto body = [&] { return run_into(driver, records); };
    cr_assert(at.loop.run(body));
    cr_assert_eq(records.size(), 57U);
    cr_assert_eq(at.handled, 57U);
    cr_assert_eq(last.complete, 57U);
}
