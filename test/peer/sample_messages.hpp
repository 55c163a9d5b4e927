/// @file
/// Sample datagrams and calls of every kind, with all fields set.
#pragma once

#include "ferryroad/peer/messages.hpp"

#include <chrono>
#include <vector>

namespace ferryroad::peer::test {

inline coordination::membership::member_update sample_member(const std::string& name) {
    return {base::router_name(name),   base::endpoint{"10.0.0.7", 7000},
            base::zone_name("zone-a"), base::region_name("valle-central"),
            base::incarnation(17),     coordination::membership::member_state::suspect};
}

inline datagram sample_datagram(coordination::membership::probe probe) {
    datagram message;
    message.sender = base::router_name("router-1");
    message.sender_incarnation = base::incarnation(99);
    message.revision = 12;
    message.members_digest = 0x1234567890abcdefULL;
    message.probe = std::move(probe);
    message.members = {sample_member("router-2"), sample_member("router-3")};
    message.notices = {{"engine-4", 5, true}, {"engine-5", 1, false}};
    return message;
}

inline std::vector<datagram> sample_datagrams() {
    namespace membership = coordination::membership;
    return {sample_datagram(std::monostate{}), sample_datagram(membership::ping{7}),
            sample_datagram(membership::ack{8}),
            sample_datagram(membership::ping_request{9, base::router_name("router-2")})};
}

inline std::vector<call> sample_calls() {
    const core::prefix::cache_namespace scope{
        base::tenant_name("tenant-a"), base::model_name("model-a"), base::weights_version("v1"),
        base::adapter_name("adapter-a")};
    namespace configuration = coordination::configuration;
    const core::prefix::piece_chain pieces{base::piece_hash(1), base::piece_hash(2)};
    const core::prefix::engine_process process{base::engine_name("engine-1"), base::incarnation(3)};
    const configuration::change change{base::revision(8),
                                       configuration::operation_id("operation-1"),
                                       configuration::author_name("operator-1"),
                                       {{configuration::resource_key("route/a"), "{}"},
                                        {configuration::resource_key("route/b"), std::nullopt}}};
    const configuration::snapshot snapshot{
        base::revision(7), {{configuration::resource_key("tenant/a"), "{\"x\":1}"}}};
    const std::vector<call_body> bodies{
        join_request{sample_member("router-2")},
        join_answer{{sample_member("router-2"), sample_member("router-3")}},
        configuration_pull{base::revision(4)},
        configuration_answer{base::revision(9), snapshot, {change, change}, true},
        configuration_answer{base::revision(9), std::nullopt, {change}, false},
        configuration_push{change},
        prefix_lookup{scope, pieces},
        prefix_answer{{{process, 2, std::chrono::milliseconds(40)}},
                      1.5,
                      {{process, 7000, std::chrono::milliseconds(30)}}},
        prefix_reports{{{scope, pieces, process, core::prefix::prefix_change::evicted,
                         core::prefix::evidence::answer},
                        {scope, pieces, process, core::prefix::prefix_change::held,
                         core::prefix::evidence::dispatch, 900},
                        {{},
                         {},
                         process,
                         core::prefix::prefix_change::events_lost,
                         core::prefix::evidence::event}}},
        quota_request{17, {base::tenant_name("tenant-a"), 12.5, {base::revision(9), 30, 40.5}, 4}},
        quota_request{
            18,
            {base::engine_name("engine-1"),
             1,
             {},
             0,
             0,
             {},
             coordination::quota::slot_use{1'700'000'000'000, 16, 3, 2, 5, 77, 12, {9, 11}},
             std::chrono::milliseconds(250)}},
        quota_grant{17, {false, std::chrono::milliseconds(900), 6}},
        quota_grant{18, {false, {}, 6, false, true, 9}},
        empty{}};
    std::vector<call> calls;
    for (const call_body& body : bodies) {
        calls.push_back({base::router_name("router-1"), base::incarnation(99), body});
    }
    return calls;
}

}  // namespace ferryroad::peer::test
