/// @file
/// Periods, timeouts and limits of a router that apply to every deployment.
#pragma once

#include "ferryroad/http/client.hpp"
#include "ferryroad/http/server.hpp"
#include "ferryroad/leases/lease_service.hpp"
#include "ferryroad/leases/presence.hpp"
#include "ferryroad/relay/crash_exchange.hpp"
#include "ferryroad/relay/shared_feed.hpp"
#include "ferryroad/relay/table_follower.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <utility>

namespace ferryroad::relay {

/// Number of routers assumed until they are first counted. Larger than a deployment is likely to
/// be, so that each router's part of a limit is not too large.
inline constexpr std::size_t assumed_routers = 100;
/// Time between two checks for changes of the settings file.
inline constexpr base::duration settings_check_period = std::chrono::seconds(1);

/// Settings for following the operators' declarations, which must be in force at once: calls wait
/// for changes. An answer without changes confirms the copy, which is thus at most twice `wait`
/// old. That is well within the time in which a revoked key must stop being accepted.
inline follower_settings declaration_follower_settings(std::string table) {
    follower_settings settings;
    settings.table = std::move(table);
    settings.wait = std::chrono::milliseconds(750);
    return settings;
}

/// Minimum time between two reads of the engine list from the store. Engines update their rows all
/// the time, so changes are read in batches.
inline constexpr base::duration engine_list_pace = std::chrono::milliseconds(500);

/// Settings for following the engine list. Other routers pass on relevant changes as soon as they
/// receive them.
inline follower_settings engine_list_follower_settings(
    std::string table, coordination::reading::same_meaning same_meaning) {
    follower_settings settings;
    settings.table = std::move(table);
    settings.same_meaning = std::move(same_meaning);
    return settings;
}

/// @param bound how long requests may still reach an engine after it announced that it leaves.
/// @return the freshness required of the engine list. A router reads the store when its copy is 0.6
/// of the bound old. That leaves room for an unresponsive source before and a lost call to the
/// store after, 0.3 s each. When a copy counted as current up to 2.5 s with a bound of 2 s, a
/// request reached an engine 2.45 s after its announcement (logs of a fleet of 8).
inline table_requirements engine_list_terms(base::duration bound) {
    constexpr double max_age_share = 0.6;
    return {engine_list_pace, base::from_seconds(base::to_seconds(bound) * max_age_share)};
}

/// @param bound how long after a change of the declarations it must be in force.
/// @return the freshness required of the declarations. The copy of a router that reads an idle
/// table is up to 1.5 s old, as its calls wait 0.75 s for changes; a lower share would make all
/// routers read the store.
inline table_requirements declaration_terms(base::duration bound) {
    constexpr double max_age_share = 0.8;
    return {{}, base::from_seconds(base::to_seconds(bound) * max_age_share)};
}

/// Settings for following the list of routers. It changes seldom and nothing waits for it, but
/// routers that start together all read the store until they know each other.
inline follower_settings router_list_follower_settings(std::string table) {
    follower_settings settings;
    settings.table = std::move(table);
    settings.key_prefixes = {std::string(leases::presence_key_prefix),
                             std::string(crash_key_prefix)};
    settings.pace = std::chrono::milliseconds(2000);
    settings.first_pace = std::chrono::milliseconds(400);
    settings.first_calls = 3;
    return settings;
}

/// @param link_megabits network bandwidth of this router's machine in Mbit/s; 0 if unknown.
/// @return maximum size in bytes of changed rows that the router passes on. Sending this much to
/// all its children in the distribution tree takes about the call margin. Larger changes arrive
/// sooner if each child reads them from the owner over its own link.
inline std::size_t relayed_bytes_for(double link_megabits) {
    constexpr double bytes_per_megabit = 1e6 / 8;
    constexpr double assumed_megabits = 10;
    const shared_feed_settings feed;
    const double seconds = base::to_seconds(feed.call_margin);
    const double link = link_megabits > 0 ? link_megabits : assumed_megabits;
    return static_cast<std::size_t>(link * bytes_per_megabit * seconds /
                                    static_cast<double>(feed.sources.tree.degree));
}

/// @param link_megabits network bandwidth of this router's machine in Mbit/s; 0 if unknown.
/// @return size in bytes of an owner's answer above which its rows are most likely too large to be
/// passed on. Rows are base64 in the answer: 4 characters for 3 bytes.
inline std::size_t large_answer_bytes_for(double link_megabits) {
    return relayed_bytes_for(link_megabits) * peer::min_compression_ratio * 4 / 3;
}

/// Number of routers of its zone that a starting router gets as contacts. Enough that few routers
/// call the same contact at once; few enough that only few of the routers that start together have
/// to read the owner themselves.
inline constexpr std::uint32_t contact_count = 16;
/// Timeout of the call that gets the contacts.
inline constexpr base::duration contact_call_timeout = std::chrono::milliseconds(700);
/// How long a starting router waits for its own row to be listed before it looks for others.
inline constexpr base::duration listing_timeout = std::chrono::milliseconds(1500);
/// Time between two checks for the own row.
inline constexpr base::duration listing_check_period = std::chrono::milliseconds(10);

/// @return the freshness required of the list of routers, given the settings it is followed with.
inline table_requirements router_list_terms(const follower_settings& asked) {
    table_requirements terms;
    terms.max_age += asked.pace;
    return terms;
}

/// Settings of the rollout lease. Its duration is short, so that a holder that stopped is soon
/// replaced.
inline leases::lease_service_settings rollout_lease_settings() {
    leases::lease_service_settings settings;
    settings.lease.duration = std::chrono::milliseconds(1600);
    settings.lease.margin = std::chrono::milliseconds(250);
    settings.lease.renew_after = std::chrono::milliseconds(500);
    settings.lease.poll_period = std::chrono::milliseconds(800);
    settings.check_period = std::chrono::milliseconds(50);
    return settings;
}

/// Limits of connections to engines. The connect timeout is short, as another engine is tried next.
inline http::client_limits engine_connections() {
    http::client_limits limits;
    limits.connect = std::chrono::milliseconds(300);
    limits.idle_connections_per_address = 8;
    return limits;
}

/// Limits of connections to engines and state stores for reports, orders and state events. One is
/// enough: polls of a holder follow one another.
inline http::client_limits engine_call_connections() {
    http::client_limits limits = engine_connections();
    limits.idle_connections_per_address = 1;
    limits.body_bytes = std::size_t{256} * 1024;
    return limits;
}

/// Longest list of state events taken from an engine or state store, in bytes. A longer one can't
/// be read, and its holder counts as holding nothing.
inline constexpr std::size_t state_events_bytes = std::size_t{4} * 1024 * 1024;

/// Limits of connections to routers that pass requests on. Bounds the time lost on a router that
/// has ended.
inline http::client_limits forwarding_connections() {
    http::client_limits limits;
    limits.connect = std::chrono::milliseconds(300);
    return limits;
}

/// Limits of requests from other routers. Callers' own limits have been applied by the router that
/// sends them.
/// @param connections of other routers at most.
inline http::server_limits forwarding_limits(std::size_t connections) {
    http::server_limits limits;
    limits.connections = connections;
    limits.header_bytes = std::size_t{256} * 1024;
    limits.body_bytes = std::size_t{64} * 1024 * 1024;
    return limits;
}

/// Limits of the listeners for readiness and metrics, whose requests need no body.
/// @param connections at most.
inline http::server_limits monitoring_limits(std::size_t connections) {
    http::server_limits limits;
    limits.body_bytes = std::size_t{4} * 1024;
    limits.connections = connections;
    return limits;
}

}  // namespace ferryroad::relay
