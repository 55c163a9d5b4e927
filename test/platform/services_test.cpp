/// The platform's ports keep one contract: each case runs on the pure model and over HTTP.
#include "emulator/platform/model_services.hpp"
#include "emulator/platform/platform_server.hpp"
#include "ferryroad/platform/http_services.hpp"
#include "test/http/loopback.hpp"

using namespace ferryroad;
using emulator::platform_faults;
using platform::row_key;
using platform::row_version;
using platform::transaction;

namespace {

struct ports {
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

std::string say(const platform::error& error) {
    const bool timed = error.retry_after && *error.retry_after > base::duration::zero();
    return std::string(name_of(error.code)) + (timed ? " with a time" : "");
}

std::string say(const platform::row& row) {
    return row.key.value + "=" + row.value + "@" + std::to_string(row.version.value);
}

std::string say(const platform::transaction_outcome& outcome) {
    return outcome.committed ? "committed@" + std::to_string(outcome.version.value)
                             : "conflict " + say(*outcome.conflicting);
}

std::string say(const platform::machine& machine) {
    return machine.name + (machine.state == platform::machine_state::leaving ? " leaving" : "");
}

template <typename Item>
std::string say(const platform::result<std::vector<Item>>& items) {
    if (!items) {
        return say(items.error());
    }
    std::string text;
    for (const Item& item : *items) {
        text += (text.empty() ? "" : ", ") + say(item);
    }
    return text;
}

transaction put_if(const char* key, std::uint64_t version, const char* value) {
    return {{{row_key(key), row_version(version)}}, {{row_key(key), std::string(value)}}};
}

runtime::task<std::string> insert_a(ports on) {
    std::vector<transaction> work = {put_if("a", 0, "1")};
    const auto outcome = co_await on.table.transact(std::move(work));
    co_return say(outcome);
}

runtime::task<std::string> read_a(ports on) {
    std::vector<row_key> keys = {row_key("a")};
    const auto rows = co_await on.table.read(std::move(keys));
    co_return say(rows);
}

runtime::task<std::string> batch_with_conflict(ports on) {
    std::vector<transaction> work = {put_if("a", 0, "1"), put_if("a", 0, "2"), put_if("a", 1, "3"),
                                     put_if("b", 7, "4")};
    const auto outcomes = co_await on.table.transact(std::move(work));
    co_return say(outcomes);
}

runtime::task<std::string> delete_then_insert(ports on) {
    std::vector<transaction> work = {put_if("a", 0, "1"),
                                     {{{row_key("a"), row_version(1)}}, {{row_key("a"), {}}}},
                                     put_if("a", 1, "2"),
                                     put_if("a", 0, "3")};
    const auto outcomes = co_await on.table.transact(std::move(work));
    co_return say(outcomes);
}

runtime::task<std::string> condition_on_another_row(ports on) {
    std::vector<transaction> work = {
        put_if("lease", 0, "me"),
        {{{row_key("a"), row_version(0)}, {row_key("lease"), row_version(9)}},
         {{row_key("a"), "1"}}}};
    const auto outcomes = co_await on.table.transact(std::move(work));
    const std::string rows = co_await read_a(on);
    co_return say(outcomes) + "; rows: " + rows;
}

runtime::task<std::string> check_without_writes(ports on) {
    std::vector<transaction> work = {{{{row_key("a"), row_version(0)}}, {}}, put_if("a", 0, "1")};
    const auto outcomes = co_await on.table.transact(std::move(work));
    co_return say(outcomes);
}

runtime::task<std::string> read_some_absent(ports on) {
    std::vector<transaction> work = {put_if("a", 0, "1"), put_if("c", 0, "3")};
    co_await on.table.transact(std::move(work));
    std::vector<row_key> keys = {row_key("c"), row_key("b"), row_key("a")};
    const auto rows = co_await on.table.read(std::move(keys));
    co_return say(rows);
}

runtime::task<std::string> scan_in_pages(ports on) {
    std::vector<transaction> work = {put_if("p/1", 0, "x"), put_if("p/2", 0, "y"),
                                     put_if("p/3", 0, "z"), put_if("q", 0, "w")};
    co_await on.table.transact(std::move(work));
    const auto first = co_await on.table.scan("p/", row_key(""), 2);
    const auto rest = co_await on.table.scan("p/", row_key("p/2"), 2);
    const auto none = co_await on.table.scan("r", row_key(""), 2);
    co_return say(first) + "; " + say(rest) + "; " + say(none);
}

runtime::task<std::string> odd_bytes(ports on) {
    const std::string odd = "a b&c=%41+\"\n\xc3\xa9/";
    std::vector<transaction> work = {{{}, {{row_key(odd), odd}}}};
    co_await on.table.transact(std::move(work));
    const auto rows = co_await on.table.scan(odd, row_key(""), 2);
    const bool same =
        rows && rows->size() == 1 && (*rows)[0].key.value == odd && (*rows)[0].value == odd;
    co_await on.objects.put(odd, odd + std::string(1, '\0'));
    const auto object = co_await on.objects.get(odd);
    co_return same&& object&&* object == odd + std::string(1, '\0') ? "same" : "changed";
}

/// An answer lost after the commit: the change is in force, the next one is told.
runtime::task<std::string> lost_then_read(ports on) {
    const std::string lost = co_await insert_a(on);
    const std::string rows = co_await read_a(on);
    const std::string again = co_await insert_a(on);
    co_return lost + "; " + rows + "; " + again;
}

/// A call that commits nothing has no answer to lose.
runtime::task<std::string> conflict_is_told(ports on) {
    std::vector<transaction> work = {put_if("a", 5, "1")};
    const auto outcomes = co_await on.table.transact(std::move(work));
    const std::string lost = co_await insert_a(on);
    co_return say(outcomes) + "; " + lost;
}

runtime::task<std::string> refused_then_read(ports on) {
    const std::string refused = co_await insert_a(on);
    const std::string read = co_await read_a(on);
    on.model.set_faults({});
    const std::string rows = co_await read_a(on);
    co_return refused + "; " + read + "; rows: " + rows;
}

runtime::task<std::string> objects_refused(ports on) {
    const auto put = co_await on.objects.put("o", "1");
    const auto get = co_await on.objects.get("o");
    const auto list = co_await on.machines.list();
    on.model.set_faults({});
    const auto later = co_await on.objects.get("o");
    co_return say(put.error()) + "; " + say(get.error()) + "; " + say(list) + "; " +
        say(later.error());
}

runtime::task<std::string> second_call_limited(ports on) {
    const std::string first = co_await insert_a(on);
    std::vector<transaction> work = {put_if("b", 0, "2")};
    const auto second = co_await on.table.transact(std::move(work));
    const std::string text = say(second);
    on.model.set_faults({});
    std::vector<row_key> keys = {row_key("b")};
    const auto rows = co_await on.table.read(std::move(keys));
    co_return first + "; " + text + "; rows: " + say(rows);
}

runtime::task<std::string> objects_replaced(ports on) {
    co_await on.objects.put("o", "1");
    co_await on.objects.put("o", "2");
    const auto bytes = co_await on.objects.get("o");
    const auto absent = co_await on.objects.get("p");
    co_return *bytes + "; " + say(absent.error());
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

runtime::task<std::string> machines_without_lag(ports on) {
    const base::monotonic_time early{};
    on.model.put_machine(machine_named("b"), early);
    on.model.put_machine(machine_named("a"), early);
    platform::machine leaving = machine_named("b");
    leaving.state = platform::machine_state::leaving;
    on.model.put_machine(leaving, early);
    const auto list = co_await on.machines.list();
    const bool whole = list && list->size() == 2 && (*list)[0] == machine_named("a");
    co_return say(list) + (whole ? "" : " (a field was lost)");
}

struct row {
    const char* name;
    platform_faults faults;
    runtime::task<std::string> (*play)(ports);
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
        {"each transaction on its own",
         {},
         batch_with_conflict,
         "committed@1, conflict a=1@1, committed@2, conflict b=@0"},
        {"a version never comes back",
         {},
         delete_then_insert,
         "committed@1, committed@2, conflict a=@0, committed@3"},
        {"condition on another row",
         {},
         condition_on_another_row,
         "committed@1, conflict lease=me@1; rows: "},
        {"check only", {}, check_without_writes, "committed@0, committed@1"},
        {"absent rows are left out", {}, read_some_absent, "c=3@2, a=1@1"},
        {"scan", {}, scan_in_pages, "p/1=x@1, p/2=y@2; p/3=z@3; "},
        {"any bytes", {}, odd_bytes, "same"},
        {"lost answer", lost(1), lost_then_read, "answer_lost; a=1@1; conflict a=1@1"},
        {"lost answer of a conflict", lost(1), conflict_is_told, "conflict a=@0; answer_lost"},
        {"outage", outage(), refused_then_read, "unavailable; unavailable; rows: "},
        {"outage of the others", outage(), objects_refused,
         "unavailable; unavailable; unavailable; not_found"},
        {"rate limit", one_call_only(), second_call_limited,
         "committed@1; rate_limited with a time; rows: "},
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

std::string play_on_model(const row& given) {
    test::loopback loop;
    emulator::platform_model model(quick_options());
    model.set_faults(given.faults);
    emulator::model_table table(model, loop.scheduler);
    emulator::model_object_store objects(model, loop.scheduler);
    emulator::model_machine_list machines(model, loop.scheduler);
    std::string outcome;
    const auto body = [&]() -> runtime::task<void> {
        outcome = co_await given.play({table, objects, machines, model});
    };
    cr_assert(loop.run(body));
    return outcome;
}

std::string play_over_http(const row& given) {
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
        outcome = co_await given.play({table, objects, machines, server.model()});
    };
    cr_assert(loop.run(body));
    return outcome;
}

/// Over HTTP only: the platform is silent past the call's limit.
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
        outcome = say(changed) + "; " + say(read);
    };
    cr_assert(loop.run(body));
    return outcome;
}

/// Answers that no platform should give.
struct answer_row {
    const char* answer;
    const char* of_change;
    const char* of_read;
};

constexpr answer_row answer_rows[] = {
    {"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}", "answer_lost", "protocol_violation"},
    {"HTTP/1.1 200 OK\r\nContent-Length: 15\r\n\r\n{\"outcomes\":[]}", "answer_lost",
     "protocol_violation"},
    {"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nnonsense!", "answer_lost", "protocol_violation"},
    {"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\ncut", "answer_lost", "unavailable"},
    {"HTTP/1.1 500 Fault\r\nContent-Length: 0\r\n\r\n", "answer_lost", "protocol_violation"},
    {"HTTP/1.1 400 Bad\r\nContent-Length: 0\r\n\r\n", "protocol_violation", "protocol_violation"},
    {"HTTP/1.1 429 Slow\r\nRetry-After: 2\r\nContent-Length: 0\r\n\r\n", "rate_limited with a time",
     "rate_limited with a time"},
    {"HTTP/1.1 503 Out\r\nContent-Length: 0\r\n\r\n", "unavailable", "unavailable"},
};
constexpr std::size_t answer_row_count = sizeof(answer_rows) / sizeof(answer_rows[0]);

std::string call_scripted(const answer_row& given, bool change) {
    test::loopback loop;
    test::scripted_server server(loop, {{{given.answer}, true}});
    http::client client(loop.scheduler, {});
    platform::http_table table(client, {server.address()});
    std::string outcome;
    const auto body = [&]() -> runtime::task<void> {
        if (change) {
            std::vector<transaction> work = {put_if("a", 0, "1")};
            outcome = say(co_await table.transact(std::move(work)));
        } else {
            std::vector<row_key> keys = {row_key("a")};
            outcome = say(co_await table.read(std::move(keys)));
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
    const std::string outcome = play_on_model(given);
    cr_assert(outcome == given.expected, "%s gave %s", given.name, outcome.c_str());
}

ParameterizedTestParameters(services, over_http) {
    return test::row_indexes(rows().size());
}

ParameterizedTest(std::size_t* index, services, over_http) {
    const row& given = rows()[*index];
    const std::string outcome = play_over_http(given);
    cr_assert(outcome == given.expected, "%s gave %s", given.name, outcome.c_str());
}

ParameterizedTestParameters(services, odd_answers) {
    return test::row_indexes(answer_row_count);
}

ParameterizedTest(std::size_t* index, services, odd_answers) {
    const answer_row& given = answer_rows[*index];
    const std::string of_change = call_scripted(given, true);
    const std::string of_read = call_scripted(given, false);
    cr_assert(of_change == given.of_change, "%s gave %s", given.answer, of_change.c_str());
    cr_assert(of_read == given.of_read, "%s gave %s", given.answer, of_read.c_str());
}

Test(services, silence_after_sending_is_an_answer_lost) {
    const std::string outcome = silent_platform();
    cr_assert(outcome == "answer_lost; unavailable", "%s", outcome.c_str());
}
