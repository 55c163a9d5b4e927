/// The emulated platform follows docs/reference/platform-protocol.md exactly. The test spells out
/// the bodies, since client and server share one codec and would share its faults.
#include "emulator/platform/platform_server.hpp"
#include "test/http/loopback.hpp"

using namespace ferryroad;

namespace {

constexpr base::duration call_timeout = std::chrono::seconds(20);

/// Requests sent in order to a new platform; the test checks the answer to the last one.
struct row {
    const char* name;
    std::vector<http::request> requests;
    unsigned status;
    const char* body;  ///< Text that the answer's body must contain.
};

http::request make_request(const char* method, const char* target, const char* body = "") {
    http::request message;
    message.method = method;
    message.target = target;
    message.body = body;
    return message;
}

http::request transact(const char* body) {
    return make_request("POST", "/table/transact", body);
}

http::request faults(const char* body) {
    return make_request("POST", "/emulator/faults", body);
}

const char* const insert_a =
    R"({"transactions":[{"conditions":[{"key":"a","version":0}],"writes":[{"key":"a","value":"1"}]}]})";
const char* const machine_e =
    R"({"name":"e","kind":"engine","address":"127.0.0.1:9","zone":"z","region":"r","pool":"p","state":"live"})";

const std::vector<row>& rows() {
    static const std::vector<row> table = {
        {"commit", {transact(insert_a)}, 200, R"({"outcomes":[{"committed":true,"version":1}]})"},
        {"conflict",
         {transact(insert_a), transact(insert_a)},
         200,
         R"({"outcomes":[{"committed":false,"conflict":{"key":"a","value":"1","version":1}}]})"},
        {"delete",
         {transact(insert_a),
          transact(R"({"transactions":[{"writes":[{"key":"a","value":null}]}]})"),
          make_request("POST", "/table/read", R"({"keys":["a"]})")},
         200,
         R"({"rows":[]})"},
        {"read",
         {transact(insert_a), make_request("POST", "/table/read", R"({"keys":["b","a"]})")},
         200,
         R"({"rows":[{"key":"a","value":"1","version":1}]})"},
        {"scan",
         {transact(insert_a), make_request("GET", "/table/scan?prefix=a&after=&limit=5")},
         200,
         R"({"rows":[{"key":"a","value":"1","version":1}]})"},
        {"object",
         {make_request("PUT", "/objects/x", "bytes"), make_request("GET", "/objects/x")},
         200,
         "bytes"},
        {"put object", {make_request("PUT", "/objects/x", "bytes")}, 200, "{}"},
        {"absent object", {make_request("GET", "/objects/x")}, 404, "not_found"},
        {"weights",
         {make_request("GET", "/weights/m/v?tokens=1")},
         200,
         R"("bytes":1000,"checksum":")"},
        {"machine",
         {make_request("PUT", "/emulator/machines/e", machine_e), make_request("GET", "/machines")},
         200,
         R"({"machines":[{"name":"e","kind":"engine","address":"127.0.0.1:9","zone":"z","region":"r","pool":"p","state":"live"}]})"},
        {"removed machine",
         {make_request("PUT", "/emulator/machines/e", machine_e),
          make_request("DELETE", "/emulator/machines/e"), make_request("GET", "/machines")},
         200,
         R"({"machines":[]})"},
        {"machine list lag",
         {faults(R"({"machine_list_lag_ms":60000})"),
          make_request("PUT", "/emulator/machines/e", machine_e), make_request("GET", "/machines")},
         200,
         R"({"machines":[]})"},
        {"outage", {faults(R"({"outage":true})"), transact(insert_a)}, 503, R"("code":"outage")"},
        {"outage ends",
         {faults(R"({"outage":true})"), faults(R"({"clear":true})"), transact(insert_a)},
         200,
         R"({"outcomes":[{"committed":true,"version":1}]})"},
        {"faults add up",
         {faults(R"({"outage":true})"), faults(R"({"delay_ms":1})"), transact(insert_a)},
         503,
         R"("code":"outage")"},
        {"rate limit",
         {faults(R"({"rate_limit_per_second":0.01})"), transact(insert_a), transact(insert_a)},
         429,
         R"("retry_after_ms":)"},
        {"each service has its own rate",
         {faults(R"({"rate_limit_per_second":0.01})"), transact(insert_a),
          make_request("GET", "/machines")},
         200,
         R"({"machines":[]})"},
        {"no JSON", {transact("{")}, 400, "JSON fault at byte 1"},
        {"no transactions", {transact("{}")}, 400, "transactions"},
        {"a write without value",
         {transact(R"({"transactions":[{"writes":[{"key":"a"}]}]})")},
         400,
         "value"},
        {"a number for a key",
         {make_request("POST", "/table/read", R"({"keys":[1]})")},
         400,
         "a list of strings"},
        {"bad machine",
         {make_request("PUT", "/emulator/machines/e", R"({"name":"e","kind":"ferry"})")},
         400,
         "engine or router"},
        {"bad fault", {faults(R"({"delay_ms":"long"})")}, 400, "delay_ms"},
        {"bad rate", {faults(R"({"rate_limit_per_second":0})")}, 400, "a rate above 0"},
        {"unknown path", {make_request("GET", "/nothing")}, 404, "not_found"},
        {"wrong method", {make_request("DELETE", "/objects/x")}, 405, "wrong_method"},
    };
    return table;
}

emulator::platform_options options_without_delays() {
    emulator::platform_options options;
    options.call_time = base::duration::zero();
    options.machine_list_lag = base::duration::zero();
    options.weights_bytes = 1000;
    return options;
}

http::response last_answer(const row& given) {
    test::loopback loop;
    emulator::platform_server server(loop.scheduler, options_without_delays());
    const base::endpoint address = server.listen(test::any_port);
    http::client client(loop.scheduler, {});
    http::response last;
    const auto body = [&]() -> runtime::task<void> {
        for (const http::request& message : given.requests) {
            http::request copy = message;
            auto answer = co_await client.send(address, std::move(copy), call_timeout,
                                               http::resend::forbidden);
            cr_assert(answer.has_value(), "%s, %s", given.name, answer.error().message.c_str());
            last = std::move(*answer);
        }
    };
    cr_assert(loop.run(body));
    return last;
}

}  // namespace

ParameterizedTestParameters(platform_protocol, table) {
    return test::row_indexes(rows().size());
}

ParameterizedTest(std::size_t* index, platform_protocol, table) {
    const row& given = rows()[*index];
    const http::response answer = last_answer(given);
    cr_assert_eq(answer.status, given.status, "%s, %s", given.name, answer.body.c_str());
    cr_assert(answer.body.find(given.body) != std::string::npos, "%s, %s", given.name,
              answer.body.c_str());
    const bool limited = answer.status == 429;
    cr_assert_eq(answer.headers.find("Retry-After").has_value(), limited, "%s", given.name);
}
