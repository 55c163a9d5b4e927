/// Contract tests of the platform's services: each case runs against the emulated services directly
/// and over HTTP, and must give the same outcome.
#include "emulator/platform/emulated_services.hpp"
#include "emulator/platform/platform_server.hpp"
#include "ferryroad/platform/http_services.hpp"
#include "test/http/loopback.hpp"

using namespace ferryroad;
using emulator::platform_faults;
using platform::row_key;
using platform::row_version;
using platform::transaction;

namespace {

/// The services under test, and the model that holds their data and faults.
struct services_under_test {
    platform::table& table;
    platform::object_store& objects;
    platform::machine_list& machines;
    emulator::platform_model& model;
};

const char* name_of(platform::error_code code) {
    switch (code) {
        case platform::error_code::unavailable:
            return "unavailable";
        case platform::error_code::rate_limited:
            return "rate_limited";
        case platform::error_code::answer_lost:
            return "answer_lost";
        case platform::error_code::not_found:
            return "not_found";
        case platform::error_code::protocol_violation:
            break;
    }
    return "protocol_violation";
}

std::string describe(const platform::error& error) {
    const bool timed = error.retry_after && *error.retry_after > base::duration::zero();
    return std::string(name_of(error.code)) + (timed ? " with a delay" : "");
}

std::string describe(const platform::row& row) {
    return row.key.value + "=" + row.value + "@" + std::to_string(row.version.value);
}

std::string describe(const platform::transaction_outcome& outcome) {
    return outcome.committed ? "committed@" + std::to_string(outcome.version.value)
                             : "conflict " + describe(*outcome.conflicting);
}

std::string describe(const platform::machine& machine) {
    return machine.name + (machine.state == platform::machine_state::leaving ? " leaving" : "");
}

template <typename Item>
std::string describe(const platform::result<std::vector<Item>>& items) {
    if (!items) {
        return describe(items.error());
    }
    std::string text;
    for (const Item& item : *items) {
        text += (text.empty() ? "" : ", ") + describe(item);
    }
    return text;
}

transaction put_if(const char* key, std::uint64_t version, const char* value) {
    return {{{row_key(key), row_version(version)}}, {{row_key(key), std::string(value)}}};
}

runtime::task<std::string> insert_a(services_under_test services) {
    std::vector<transaction> work = {put_if("a", 0, "1")};
    const auto outcome = co_await services.table.transact(std::move(work));
    co_return describe(outcome);
}

runtime::task<std::string> read_a(services_under_test services) {
    std::vector<row_key> keys = {row_key("a")};
    const auto rows = co_await services.table.read(std::move(keys));
    co_return describe(rows);
}

runtime::task<std::string> batch_with_conflict(services_under_test services) {
    std::vector<transaction> work = {put_if("a", 0, "1"), put_if("a", 0, "2"), put_if("a", 1, "3"),
                                     put_if("b", 7, "4")};
    const auto outcomes = co_await services.table.transact(std::move(work));
    co_return describe(outcomes);
}

runtime::task<std::string> delete_then_insert(services_under_test services) {
    std::vector<transaction> work = {put_if("a", 0, "1"),
                                     {{{row_key("a"), row_version(1)}}, {{row_key("a"), {}}}},
                                     put_if("a", 1, "2"),
                                     put_if("a", 0, "3")};
    const auto outcomes = co_await services.table.transact(std::move(work));
    co_return describe(outcomes);
}

runtime::task<std::string> condition_on_another_row(services_under_test services) {
    std::vector<transaction> work = {
        put_if("lease", 0, "me"),
        {{{row_key("a"), row_version(0)}, {row_key("lease"), row_version(9)}},
         {{row_key("a"), "1"}}}};
    const auto outcomes = co_await services.table.transact(std::move(work));
    const std::string rows = co_await read_a(services);
    co_return describe(outcomes) + "; rows: " + rows;
}

runtime::task<std::string> check_without_writes(services_under_test services) {
    std::vector<transaction> work = {{{{row_key("a"), row_version(0)}}, {}}, put_if("a", 0, "1")};
    const auto outcomes = co_await services.table.transact(std::move(work));
    co_return describe(outcomes);
}

runtime::task<std::string> read_some_absent(services_under_test services) {
    std::vector<transaction> work = {put_if("a", 0, "1"), put_if("c", 0, "3")};
    co_await services.table.transact(std::move(work));
    std::vector<row_key> keys = {row_key("c"), row_key("b"), row_key("a")};
    const auto rows = co_await services.table.read(std::move(keys));
    co_return describe(rows);
}

runtime::task<std::string> scan_in_pages(services_under_test services) {
    std::vector<transaction> work = {put_if("p/1", 0, "x"), put_if("p/2", 0, "y"),
                                     put_if("p/3", 0, "z"), put_if("q", 0, "w")};
    co_await services.table.transact(std::move(work));
    const auto first = co_await services.table.scan("p/", row_key(""), 2);
    const auto rest = co_await services.table.scan("p/", row_key("p/2"), 2);
    const auto none = co_await services.table.scan("r", row_key(""), 2);
    co_return describe(first) + "; " + describe(rest) + "; " + describe(none);
}

runtime::task<std::string> special_bytes(services_under_test services) {
    const std::string special = "a b&c=%41+\"\n\xc3\xa9/";
    std::vector<transaction> work = {{{}, {{row_key(special), special}}}};
    co_await services.table.transact(std::move(work));
    const auto rows = co_await services.table.scan(special, row_key(""), 2);
    const bool same =
        rows && rows->size() == 1 && (*rows)[0].key.value == special && (*rows)[0].value == special;
    co_await services.objects.put(special, special + std::string(1, '\0'));
    const auto object = co_await services.objects.get(special);
    co_return same&& object&&* object == special + std::string(1, '\0') ? "same" : "changed";
}

/// The response is lost after the commit: the change has taken effect, and the next transaction
/// sees it.
runtime::task<std::string> lost_then_read(services_under_test services) {
    const std::string lost = co_await insert_a(services);
    const std::string rows = co_await read_a(services);
    const std::string again = co_await insert_a(services);
    co_return lost + "; " + rows + "; " + again;
}

/// The fault affects only calls that commit: the response of a conflict is not lost.
runtime::task<std::string> conflict_is_reported(services_under_test services) {
    std::vector<transaction> work = {put_if("a", 5, "1")};
    const auto outcomes = co_await services.table.transact(std::move(work));
    const std::string lost = co_await insert_a(services);
    co_return describe(outcomes) + "; " + lost;
}

runtime::task<std::string> refused_then_read(services_under_test services) {
    const std::string refused = co_await insert_a(services);
    const std::string read = co_await read_a(services);
    services.model.set_faults({});
    const std::string rows = co_await read_a(services);
    co_return refused + "; " + read + "; rows: " + rows;
}

runtime::task<std::string> objects_refused(services_under_test services) {
    const auto put = co_await services.objects.put("o", "1");
    const auto get = co_await services.objects.get("o");
    const auto list = co_await services.machines.list();
    services.model.set_faults({});
    const auto later = co_await services.objects.get("o");
    co_return describe(put.error()) + "; " + describe(get.error()) + "; " + describe(list) + "; " +
        describe(later.error());
}

runtime::task<std::string> second_call_limited(services_under_test services) {
    const std::string first = co_await insert_a(services);
    std::vector<transaction> work = {put_if("b", 0, "2")};
    const auto second = co_await services.table.transact(std::move(work));
    const std::string text = describe(second);
    services.model.set_faults({});
    std::vector<row_key> keys = {row_key("b")};
    const auto rows = co_await services.table.read(std::move(keys));
    co_return first + "; " + text + "; rows: " + describe(rows);
}

runtime::task<std::string> objects_replaced(services_under_test services) {
    co_await services.objects.put("o", "1");
    co_await services.objects.put("o", "2");
    const auto bytes = co_await services.objects.get("o");
    const auto absent = co_await services.objects.get("p");
    co_return *bytes + "; " + describe(absent.error());
}

platform::machine machine_named(const char* name) {
    return {name,
            platform::machine_kind::engine,
            {"127.0.0.1", 1},
            base::zone_name("z"),
            base::region_name("r"),
            "p",
            platform::machine_state::live};
}

runtime::task<std::string> machines_without_lag(services_under_test services) {
    const base::monotonic_time early{};
    services.model.put_machine(machine_named("b"), early);
    services.model.put_machine(machine_named("a"), early);
    platform::machine leaving = machine_named("b");
    leaving.state = platform::machine_state::leaving;
    services.model.put_machine(leaving, early);
    const auto list = co_await services.machines.list();
    const bool complete = list && list->size() == 2 && (*list)[0] == machine_named("a");
    co_return describe(list) + (complete ? "" : " (a field differs)");
}

struct row {
    const char* name;
    platform_faults faults;
    runtime::task<std::string> (*run)(services_under_test);
    const char* expected;
};

platform_faults outage() {
    platform_faults faults;
    faults.outage = true;
    return faults;
}

platform_faults lost(std::uint32_t count) {
    platform_faults faults;
    faults.lost_answers = count;
    return faults;
}

platform_faults one_call_only() {
    platform_faults faults;
    faults.rate = 0.001;
    return faults;
}

const std::vector<row>& rows() {
    static const std::vector<row> table = {
        {"insert", {}, insert_a, "committed@1"},
        {"absent row", {}, read_a, ""},
        {"each transaction is independent",
         {},
         batch_with_conflict,
         "committed@1, conflict a=1@1, committed@2, conflict b=@0"},
        {"versions are never reused",
         {},
         delete_then_insert,
         "committed@1, committed@2, conflict a=@0, committed@3"},
        {"condition on another row",
         {},
         condition_on_another_row,
         "committed@1, conflict lease=me@1; rows: "},
        {"conditions without writes", {}, check_without_writes, "committed@0, committed@1"},
        {"absent rows are left out", {}, read_some_absent, "c=3@2, a=1@1"},
        {"scan", {}, scan_in_pages, "p/1=x@1, p/2=y@2; p/3=z@3; "},
        {"any bytes", {}, special_bytes, "same"},
        {"lost answer", lost(1), lost_then_read, "answer_lost; a=1@1; conflict a=1@1"},
        {"lost answer of a conflict", lost(1), conflict_is_reported, "conflict a=@0; answer_lost"},
        {"outage", outage(), refused_then_read, "unavailable; unavailable; rows: "},
        {"outage of object store and machine list", outage(), objects_refused,
         "unavailable; unavailable; unavailable; not_found"},
        {"rate limit", one_call_only(), second_call_limited,
         "committed@1; rate_limited with a delay; rows: "},
        {"objects", {}, objects_replaced, "2; not_found"},
        {"machines", {}, machines_without_lag, "a, b leaving"},
    };
    return table;
}

emulator::platform_options quick_options() {
    emulator::platform_options options;
    options.call_time = base::duration::zero();
    options.machine_list_lag = base::duration::zero();
    return options;
}

std::string run_on_model(const row& given) {
    test::loopback loop;
    emulator::platform_model model(quick_options());
    model.set_faults(given.faults);
    emulator::emulated_table table(model, loop.scheduler);
    emulator::emulated_object_store objects(model, loop.scheduler);
    emulator::emulated_machine_list machines(model, loop.scheduler);
    std::string outcome;
    const auto body = [&]() -> runtime::task<void> {
        outcome = co_await given.run({table, objects, machines, model});
    };
    cr_assert(loop.run(body));
    return outcome;
}

std::string run_over_http(const row& given) {
    test::loopback loop;
    emulator::platform_server server(loop.scheduler, quick_options());
    server.model().set_faults(given.faults);
    const platform::http_platform address{server.listen(test::any_port)};
    http::client client(loop.scheduler, {});
    platform::http_table table(client, address);
    platform::http_object_store objects(client, address);
    platform::http_machine_list machines(client, address);
    std::string outcome;
    const auto body = [&]() -> runtime::task<void> {
        outcome = co_await given.run({table, objects, machines, server.model()});
    };
    cr_assert(loop.run(body));
    return outcome;
}

/// HTTP only: the platform doesn't respond within the timeout of the call.
std::string silent_platform() {
    test::loopback loop;
    emulator::platform_server server(loop.scheduler, quick_options());
    platform_faults faults;
    faults.delay = std::chrono::seconds(60);
    server.model().set_faults(faults);
    const platform::http_platform address{server.listen(test::any_port),
                                          std::chrono::milliseconds(30)};
    http::client client(loop.scheduler, {});
    platform::http_table table(client, address);
    std::string outcome;
    const auto body = [&]() -> runtime::task<void> {
        std::vector<transaction> work = {put_if("a", 0, "1")};
        const auto changed = co_await table.transact(std::move(work));
        std::vector<row_key> keys = {row_key("a")};
        const auto read = co_await table.read(std::move(keys));
        outcome = describe(changed) + "; " + describe(read);
    };
    cr_assert(loop.run(body));
    return outcome;
}

/// Invalid and error responses, with the error code expected for a change and for a read.
struct response_row {
    const char* answer;
    const char* of_change;
    const char* of_read;
};

constexpr response_row response_rows[] = {
    {"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}", "answer_lost", "protocol_violation"},
    {"HTTP/1.1 200 OK\r\nContent-Length: 15\r\n\r\n{\"outcomes\":[]}", "answer_lost",
     "protocol_violation"},
    {"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nnonsense!", "answer_lost", "protocol_violation"},
    {"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\ncut", "answer_lost", "unavailable"},
    {"HTTP/1.1 500 Fault\r\nContent-Length: 0\r\n\r\n", "answer_lost", "protocol_violation"},
    {"HTTP/1.1 400 Bad\r\nContent-Length: 0\r\n\r\n", "protocol_violation", "protocol_violation"},
    {"HTTP/1.1 429 Slow\r\nRetry-After: 2\r\nContent-Length: 0\r\n\r\n",
     "rate_limited with a delay", "rate_limited with a delay"},
    {"HTTP/1.1 503 Out\r\nContent-Length: 0\r\n\r\n", "unavailable", "unavailable"},
};
constexpr std::size_t response_row_count = sizeof(response_rows) / sizeof(response_rows[0]);

std::string call_scripted(const response_row& given, bool change) {
    test::loopback loop;
    test::scripted_server server(loop, {{{given.answer}, true}});
    http::client client(loop.scheduler, {});
    platform::http_table table(client, {server.address()});
    std::string outcome;
    const auto body = [&]() -> runtime::task<void> {
        if (change) {
            std::vector<transaction> work = {put_if("a", 0, "1")};
            outcome = describe(co_await table.transact(std::move(work)));
        } else {
            std::vector<row_key> keys = {row_key("a")};
            outcome = describe(co_await table.read(std::move(keys)));
        }
    };
    cr_assert(loop.run(body));
    return outcome;
}

}  // namespace

ParameterizedTestParameters(services, on_the_model) {
    return test::row_indexes(rows().size());
}

ParameterizedTest(std::size_t* index, services, on_the_model) {
    const row& given = rows()[*index];
    const std::string outcome = run_on_model(given);
    cr_assert(outcome == given.expected, "%s gave %s", given.name, outcome.c_str());
}

ParameterizedTestParameters(services, over_http) {
    return test::row_indexes(rows().size());
}

ParameterizedTest(std::size_t* index, services, over_http) {
    const row& given = rows()[*index];
    const std::string outcome = run_over_http(given);
    cr_assert(outcome == given.expected, "%s gave %s", given.name, outcome.c_str());
}

ParameterizedTestParameters(services, unexpected_responses) {
    return test::row_indexes(response_row_count);
}

ParameterizedTest(std::size_t* index, services, unexpected_responses) {
    const response_row& given = response_rows[*index];
    const std::string of_change = call_scripted(given, true);
    const std::string of_read = call_scripted(given, false);
    cr_assert(of_change == given.of_change, "%s gave %s", given.answer, of_change.c_str());
    cr_assert(of_read == given.of_read, "%s gave %s", given.answer, of_read.c_str());
}

Test(services, timeout_after_sending_is_answer_lost) {
    const std::string outcome = silent_platform();
    cr_assert(outcome == "answer_lost; unavailable", "%s", outcome.c_str());
}
