/// @file
/// How often a router asks, how long it holds and keeps: defaults for any deployment, in one
/// place.
#pragma once

#include "ferryroad/http/client.hpp"
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

/// Until the first count: more than a deployment is likely to have, so that limits hold.
inline constexpr std::size_t assumed_routers = 100;
/// Between two looks at whether the settings file has changed.
inline constexpr base::duration settings_look_period = std::chrono::seconds(1);

/// What operators declare must be in force at once: changes are waited for. An answer without
/// one confirms the copy; it is at most twice this old, well within the time in which a key that
/// was taken away must stop.
inline follower_settings follow_declarations(std::string table) {
    follower_settings settings;
    settings.table = std::move(table);
    settings.wait = std::chrono::milliseconds(750);
    return settings;
}

/// Engines write all the time that they live: changes are fetched from the store in batches.
inline constexpr base::duration engine_list_pace = std::chrono::milliseconds(500);

/// Other routers tell the changes that mean something as soon as they know them.
inline follower_settings follow_engines(std::string table,
                                        coordination::reading::same_meaning same_meaning) {
    follower_settings settings;
    settings.table = std::move(table);
    settings.same_meaning = std::move(same_meaning);
    return settings;
}

/// @param bound after an engine said that it leaves, how long requests may still reach it.
/// @return what is expected of the list of engines. A router turns to the store when its copy is
/// 0.6 of the bound old: a silent source before that and a lost call to the store after it (0.3 s
/// each) still fit. Where 2.5 s passed as current with a bound of 2 s, a request reached an engine
/// 2.45 s after (logs of a fleet of 8).
inline table_terms engine_list_terms(base::duration bound) {
    constexpr double used_share = 0.6;
    return {engine_list_pace, base::from_seconds(base::to_seconds(bound) * used_share)};
}

/// @param bound after a change of what operators declare, how long until it must be in force.
/// @return what is expected of it. A reader's copy of an idle table is up to 1.5 s old, as it waits
/// 0.75 s for news: a lower share would make readers of all routers.
inline table_terms declaration_terms(base::duration bound) {
    constexpr double used_share = 0.8;
    return {{}, base::from_seconds(base::to_seconds(bound) * used_share)};
}

/// Who takes part changes seldom, and nothing waits for it; but routers that start together
/// read the store all by themselves until they know each other.
inline follower_settings follow_routers(std::string table) {
    follower_settings settings;
    settings.table = std::move(table);
    settings.key_prefixes = {std::string(leases::presence_key_prefix),
                             std::string(crash_key_prefix)};
    settings.pace = std::chrono::milliseconds(2000);
    settings.first_pace = std::chrono::milliseconds(400);
    settings.first_calls = 3;
    return settings;
}

/// @param link_megabits a second, of this router's machine; 0: unknown.
/// @return bytes of changed rows that it passes on: to tell all routers below it so much takes
/// about the time that a call may take beyond its hold. What is larger arrives sooner where each of
/// them reads it from the owner over its own link.
inline std::size_t relayed_bytes_for(double link_megabits) {
    constexpr double bytes_per_megabit = 1e6 / 8;
    constexpr double assumed_megabits = 10;
    const shared_feed_settings feed;
    const double seconds = base::to_seconds(feed.call_margin);
    const double link = link_megabits > 0 ? link_megabits : assumed_megabits;
    return static_cast<std::size_t>(link * bytes_per_megabit * seconds /
                                    static_cast<double>(feed.sources.tree.degree));
}

/// @return bytes of an owner's answer above which its rows are too large to be passed on, most
/// likely: rows come as text of 4 characters for 3 bytes.
inline std::size_t large_answer_bytes_for(double link_megabits) {
    return relayed_bytes_for(link_megabits) * peer::least_packing_ratio * 4 / 3;
}

/// Routers of its zone that a router which starts is told of: enough that few ask each of them at
/// once, few enough that those which start together and read the owner themselves stay few.
inline constexpr std::uint32_t contact_count = 16;
inline constexpr base::duration contact_call_limit = std::chrono::milliseconds(700);
/// A router that starts looks for others once its own row is listed, or after so long.
inline constexpr base::duration listing_limit = std::chrono::milliseconds(1500);
inline constexpr base::duration listing_look = std::chrono::milliseconds(10);

/// @return what is expected of the list of routers, which is asked for so often.
inline table_terms router_list_terms(const follower_settings& asked) {
    table_terms terms;
    terms.oldest += asked.pace;
    return terms;
}

/// Short, so that a holder that ended is followed soon.
inline leases::lease_service_settings rollout_lease_settings() {
    leases::lease_service_settings settings;
    settings.lease.duration = std::chrono::milliseconds(1600);
    settings.lease.margin = std::chrono::milliseconds(250);
    settings.lease.renew_after = std::chrono::milliseconds(500);
    settings.lease.poll_period = std::chrono::milliseconds(800);
    settings.look_period = std::chrono::milliseconds(50);
    return settings;
}

/// An engine that takes no connection soon is left for another.
inline http::client_limits engine_connections() {
    http::client_limits limits;
    limits.connect = std::chrono::milliseconds(300);
    limits.idle_connections_per_address = 8;
    return limits;
}

}  // namespace ferryroad::relay
