/// An engine registers in the machine list, retries failed calls, and marks itself as leaving.
#include "emulator/engine/machine_registration.hpp"

#include "test/http/loopback.hpp"

#include <criterion/criterion.h>

using namespace ferryroad;

namespace {

/// Records the requests that it accepts, after refusing the first `refusals` ones.
struct fake_platform {
    int refusals = 0;
    std::vector<std::string> accepted;

    runtime::task<void> answer(http::request request, http::response_writer& writer) {
        http::response reply;
        if (refusals > 0) {
            --refusals;
            reply.status = 503;
        } else {
            accepted.push_back(request.method + " " + request.target + " " +
                               request.body.to_string());
        }
        [[maybe_unused]] const auto sent = co_await writer.send(std::move(reply));
    }
};

platform::machine engine_machine() {
    platform::machine machine;
    machine.name = "e1";
    machine.kind = platform::machine_kind::engine;
    machine.address = {"127.0.0.1", 9};
    machine.zone = base::zone_name("z");
    machine.pool = "p";
    return machine;
}

runtime::task<void> register_and_leave(test::loopback& loop, fake_platform& platform) {
    http::server server(loop.scheduler, {}, [&](http::request request, auto& writer) {
        return platform.answer(std::move(request), writer);
    });
    http::client connections(loop.scheduler, http::client_limits{});
    emulator::machine_registration registration(loop.scheduler, connections,
                                                server.listen(test::any_port), engine_machine());
    loop.scheduler.spawn("keep", registration.keep_registered());
    co_await loop.until([&] { return !platform.accepted.empty(); });
    platform.refusals = 1;
    co_await registration.mark_leaving();
}

}  // namespace

Test(machine_registration, retries_and_marks_leaving) {
    test::loopback loop;
    fake_platform platform;
    platform.refusals = 2;
    cr_assert(loop.run([&] { return register_and_leave(loop, platform); }));
    const std::string put =
        R"(PUT /emulator/machines/e1 {"name":"e1","kind":"engine","address":"127.0.0.1:9",)"
        R"("zone":"z","region":"","pool":"p","state":")";
    cr_assert_eq(platform.accepted.size(), 2U);
    cr_assert(platform.accepted[0] == put + "live\"}", "%s", platform.accepted[0].c_str());
    cr_assert(platform.accepted[1] == put + "leaving\"}", "%s", platform.accepted[1].c_str());
}
