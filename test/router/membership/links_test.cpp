/// Typed calls between routers through the dispatcher, the configuration link and the prefix link.
#include "emulator/platform/emulated_services.hpp"
#include "ferryroad/router/membership/configuration_link.hpp"
#include "ferryroad/router/membership/live_router_views.hpp"
#include "ferryroad/router/membership/prefix_link.hpp"
#include "test/router/membership/simulated_peers.hpp"

#include <criterion/criterion.h>

#include <optional>

namespace {

using namespace ferryroad;
using namespace ferryroad::router;
using namespace ferryroad::router::membership;
using namespace ferryroad::router::membership::test;
namespace configuration = coordination::configuration;

/// Runs a call in a peer's process. @return its answer; nothing if it doesn't end in time.
template <typename Answer>
std::optional<Answer> answer_of(simulated_peers& group, simulated_peer& caller,
                                std::function<runtime::task<Answer>()> call) {
    std::optional<Answer> answer;
    struct runner {
        static runtime::task<void> run(std::function<runtime::task<Answer>()> call,
                                       std::optional<Answer>* answer) {
            *answer = co_await call();
        }
    };
    caller.scheduler.spawn("test", runner::run(std::move(call), &answer));
    group.run_until([&] { return answer.has_value(); });
    return answer;
}

using pull_result = runtime::result<configuration::pull_answer, peer::error>;
using lookup_result = runtime::result<core::prefix::owner_answer, selection::exchange_error>;
using report_result = runtime::result<void, selection::exchange_error>;
using empty_result = peer::result<peer::empty>;

configuration::change change_to(std::uint64_t revision) {
    return {base::revision(revision),
            configuration::operation_id("operation"),
            configuration::author_name("author"),
            {}};
}

}  // namespace

Test(dispatcher, a_call_without_a_handler_fails_and_is_counted) {
    simulated_peers group(2);
    simulated_peer& caller = *group.peers[0];
    const auto answer = answer_of<empty_result>(group, caller, [&] {
        return caller.dispatcher.call<peer::empty>(address_of(1), peer::empty{}, 1s);
    });
    cr_assert(answer->has_error());
    cr_assert_eq(group.peers[1]->dispatcher.counters().calls_unhandled, 1);
}

Test(dispatcher, an_answer_of_the_wrong_type_is_malformed) {
    simulated_peers group(2);
    simulated_peer& caller = *group.peers[0];
    group.peers[1]->dispatcher.handle<peer::empty>(
        [](const peer::call_sender& sender, const peer::empty& /*request*/) {
            cr_assert(sender.name == name_of(0));
            return peer::configuration_pull{};
        });
    const auto answer = answer_of<empty_result>(group, caller, [&] {
        return caller.dispatcher.call<peer::empty>(address_of(1), peer::empty{}, 1s);
    });
    cr_assert(answer->has_error());
    cr_assert(answer->error().code == peer::error_code::malformed);
}

Test(configuration_link, changes_are_pushed_and_pulled) {
    simulated_peers group(2);
    cr_assert(group.run_until([&] { return group.all_see(2); }));
    emulator::platform_model platform({});
    struct side {
        simulated_peer& peer;
        emulator::emulated_table table;
        emulator::emulated_object_store objects;
        configuration_link link;
        configuration_service service;

        side(simulated_peer& own, emulator::platform_model& platform, std::size_t index)
            : peer(own),
              table(platform, own.scheduler),
              objects(platform, own.scheduler),
              link(own.scheduler, own.dispatcher, own.membership, name_of(index)),
              service({table, objects, link, own.scheduler}) {
            link.serve(service);
        }
    };
    side first(*group.peers[0], platform, 0);
    side second(*group.peers[1], platform, 1);
    first.peer.scheduler.run([&] { first.service.accept_push(change_to(1)); });
    first.peer.scheduler.run([&] { first.link.push(change_to(1)); });
    cr_assert(group.run_until(
        [&] { return second.service.current()->revision == base::revision(1); }, 5s));
    first.peer.scheduler.run([&] { first.service.accept_push(change_to(2)); });
    const auto pulled = answer_of<pull_result>(group, second.peer,
                                               [&] { return second.link.pull(base::revision(1)); });
    cr_assert(pulled->has_value());
    cr_assert((*pulled)->head == base::revision(2));
    cr_assert((*pulled)->changes == std::vector<configuration::change>{change_to(2)});
    group.crash(1);
    cr_assert(group.run_until([&] { return group.all_see(1); }));
    const auto alone = answer_of<pull_result>(group, first.peer,
                                              [&] { return first.link.pull(base::revision(1)); });
    cr_assert(alone->error().code == peer::error_code::unreachable);
}

Test(prefix_link, reports_and_lookups_reach_the_owner) {
    simulated_peers group(2);
    cr_assert(group.run_until([&] { return group.all_see(2); }));
    simulated_peer& caller = *group.peers[0];
    simulated_peer& owner = *group.peers[1];
    prefix_link caller_link(caller.dispatcher);
    prefix_link owner_link(owner.dispatcher);
    const selection_view routers(owner.membership);
    selection::shared_prefix_knowledge knowledge(name_of(1), routers, owner_link, owner.scheduler);
    owner_link.serve(knowledge);
    const selection::router_contact contact{name_of(1), base::incarnation(1), address_of(1)};
    const core::prefix::cache_namespace scope{
        base::tenant_name("t"), base::model_name("m"), base::weights_version("v"), {}};
    const core::prefix::piece_chain pieces{base::piece_hash(1), base::piece_hash(2)};
    const core::prefix::engine_process process{base::engine_name("engine-1"), base::incarnation(5)};
    const auto reported = answer_of<report_result>(group, caller, [&] {
        return caller_link.report(contact,
                                  {{scope, pieces, process, core::prefix::prefix_change::held,
                                    core::prefix::evidence::answer}},
                                  1s);
    });
    cr_assert(reported->has_value());
    const auto found = answer_of<lookup_result>(
        group, caller, [&] { return caller_link.lookup(contact, scope, pieces, 1s); });
    cr_assert(found->has_value());
    cr_assert_eq((*found)->holders.size(), 1);
    cr_assert((*found)->holders[0].process == process);
    cr_assert_eq((*found)->holders[0].pieces, 2);
    const auto nothing = answer_of<lookup_result>(
        group, caller, [&] { return caller_link.lookup(contact, scope, {}, 1s); });
    cr_assert((*nothing)->holders.empty());
    const selection::router_contact unknown{name_of(9), base::incarnation(1), address_of(9)};
    const auto failed = answer_of<lookup_result>(
        group, caller, [&] { return caller_link.lookup(unknown, scope, pieces, 1s); });
    cr_assert(failed->has_error());
}
