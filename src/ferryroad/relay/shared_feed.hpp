/// @file
/// A record feed that reads tables from their owner or from the copy of another router. The reading
/// tree and the reachability of sources decide which (`coordination/reading`).
///
/// A router that has just started knows no other routers, and whole tables are large. It therefore
/// looks up a few routers near to it, its contacts, and takes its first copies from them. It reads
/// the owner itself only where none of them has a copy.
#pragma once

#include "ferryroad/coordination/reading/source_selector.hpp"
#include "ferryroad/core/topology/zone_map.hpp"
#include "ferryroad/peer/table_call.hpp"
#include "ferryroad/peer/transport.hpp"
#include "ferryroad/relay/peer_group.hpp"
#include "ferryroad/relay/table_follower.hpp"
#include "ferryroad/runtime/log.hpp"
#include "ferryroad/runtime/scheduler.hpp"

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace ferryroad::relay {

/// Requirements on a router's copy of one table.
struct table_requirements {
    /// Least interval between the starts of two reads from the owner. Other routers pass changes on
    /// without such an interval.
    base::duration min_owner_interval{};
    /// A copy that is older is behind: its router turns to another source and, soon after, to the
    /// owner.
    base::duration max_age = coordination::reading::selector_settings().max_copy_age;

    friend bool operator==(const table_requirements&, const table_requirements&) = default;
};

struct shared_feed_settings {
    coordination::reading::selector_settings sources;
    coordination::reading::reachability_settings reach;
    core::topology::zone_map zones;  ///< Zones and the regions they belong to.
    /// Longest time for which another router may hold a call until there are changes. It is short,
    /// so that a router that no longer answers is detected well within the time in which changes
    /// must be in force.
    base::duration max_hold = std::chrono::milliseconds(600);
    /// Shortest hold that a call allows, unless the copy is behind. Copies of an idle table get up
    /// to 1.5 s old; without this bound, calls returned at once meanwhile, 130 per second and
    /// router.
    base::duration min_hold = std::chrono::milliseconds(200);
    /// The owner may hold a call only while the copy is younger than this. An answer that comes at
    /// the end of a hold confirms the copy only as of the start of the call.
    base::duration max_age_for_wait = std::chrono::milliseconds(1000);
    /// Timeout of a call beyond its hold, for connecting, a busy event loop and the latency between
    /// zones.
    base::duration call_margin = std::chrono::milliseconds(300);
    /// Delay before the next source is tried, so that failing sources are not called in quick
    /// succession.
    base::duration retry_pause = std::chrono::milliseconds(30);
    /// Least interval between two calls to other routers while the copy is behind. An outage may
    /// last, and all routers look for a current source during it.
    base::duration old_copy_pause = std::chrono::milliseconds(150);
    /// Timeout for an answer of any size: a whole table, or a large change that another router
    /// passes on because the owner does not answer this router.
    base::duration large_answer_timeout = std::chrono::milliseconds(3000);
    /// Longest time for which a contact may hold a call until it has its own first copy.
    base::duration first_copy_hold = std::chrono::milliseconds(2000);
    /// Where many routers start together, contacts may be listed only a little later. They are
    /// looked up once more after this time.
    base::duration contacts_settle_time = std::chrono::milliseconds(500);
    /// Number of sources that one read tries before it fails as unavailable.
    int max_attempts = 3;
    /// Changes come from other routers, so a router that has its first copy waits for the list of
    /// routers before it reads changes, at most for this time.
    base::duration routers_timeout = std::chrono::milliseconds(500);
    /// Replaces `routers_timeout` where first copies come from contacts. Of many routers that start
    /// together each waits for another one, and with a shorter timeout all of them would read
    /// changes from the owner meanwhile.
    base::duration contacts_timeout = std::chrono::milliseconds(5000);
    /// Where many routers start together, the first list of routers is incomplete. For this time
    /// after it, until the list is read again, a router does not act as a reader of the owner.
    base::duration routers_settle_time = std::chrono::milliseconds(300);
    /// Interval at which a waiting read checks for routers or contacts.
    base::duration poll_interval = std::chrono::milliseconds(20);
};

/// Routers near to a starting router, which gets its first copies from them.
struct start_contacts {
    /// Routers that may be waited for. This relation has no cycles, so that routers which start
    /// together cannot wait for each other, directly or indirectly.
    std::vector<peer_address> awaited;
    /// Routers that are called without a hold, as they may be waiting for the starting router.
    std::vector<peer_address> others;

    friend bool operator==(const start_contacts&, const start_contacts&) = default;
};
/// Looks up the contacts of this router.
using contact_search = std::function<runtime::task<start_contacts>()>;

/// Not thread-safe: to be used from the event loop's thread. Collaborators must outlive it.
template <record_feed Owner>
class shared_feed {
  public:
    using batch_result = runtime::result<record_batch, feed_fault>;

    shared_feed(runtime::scheduler& scheduler, Owner& owner, peer::transport& transport,
                peer_address self, shared_feed_settings settings = {})
        : m_scheduler(scheduler),
          m_owner(owner),
          m_transport(transport),
          m_self(std::move(self)),
          m_settings(std::move(settings)),
          m_reach(m_settings.reach, scheduler.random()) {}

    /// Sets how contacts are found; without it, first copies come from the owner. To be called
    /// before the first read.
    void set_contact_search(contact_search search) { m_contact_search = std::move(search); }

    /// Sets the routers that are present by the owner's table. No others are called, contacts
    /// aside.
    void set_routers(const std::vector<peer_address>& present) {
        m_members.clear();
        m_addresses.clear();
        for (const peer_address& one : present) {
            m_members.push_back(member_of(one));
            m_addresses[one.name] = one.address;
        }
        m_reach.declare(m_members);
        for (auto& [name, table] : m_tables) {
            table.sources.declare(m_members);
        }
        if (!m_routers_known_at) {
            m_routers_known_at = m_scheduler.now();
        }
    }

    /// Sets the requirements on a table's copy, from the next read on.
    void set_requirements(const std::string& name, table_requirements requirements) {
        table_state& table = state_of(name);
        table.requirements = requirements;
        table.sources.set_max_copy_age(requirements.max_age);
    }

    /// @return whether this router currently reads the owner, for itself and for other routers.
    bool reads_owner() const { return m_reads_owner; }
    std::uint64_t owner_calls() const { return m_owner_calls; }
    std::uint64_t peer_calls() const { return m_peer_calls; }
    /// @return the number of answers of other routers whose copies were too old.
    std::uint64_t reads_behind() const { return m_reads_behind; }
    /// @return the number of calls, to the owner or to other routers, that got no answer.
    std::uint64_t reads_failed() const { return m_reads_failed; }

    /// Reads a whole table, the first time from contacts where they can be looked up.
    runtime::task<batch_result> read_all(std::string table, base::duration limit) {
        read_request wanted{std::move(table), 0, true, {}, limit};
        const bool knows_nobody = !m_routers_known_at;
        return m_contact_search && knows_nobody ? read_first_copy(std::move(wanted))
                                                : read(std::move(wanted));
    }
    /// Reads the changes after a version, once the other routers are known or the time to wait for
    /// them has passed.
    runtime::task<batch_result> read_changes(std::string table, std::uint64_t after,
                                             base::duration wait, base::duration limit) {
        return read_once_routers_are_known({std::move(table), after, false, wait, limit});
    }

  private:
    using source = coordination::reading::source;

    coordination::reading::tree_member member_of(const peer_address& router) const {
        auto region = m_settings.zones.region_of(router.zone).value_or(base::region_name());
        return coordination::reading::make_member(router.name, router.zone, std::move(region),
                                                  router.link);
    }

    struct read_request {
        std::string table;
        std::uint64_t after = 0;
        bool whole = false;
        base::duration wait{};  ///< Longest hold at the owner.
        base::duration limit{};
    };

    /// What this router knows about a table and its sources.
    struct table_state {
        coordination::reading::source_selector sources;
        table_requirements requirements;
        std::uint64_t version = 0;
        base::monotonic_time as_of{};
        base::monotonic_time next_owner_read{};  ///< Earliest, by `min_owner_interval`.
        /// Earliest time of a call to another router while the copy is behind.
        base::monotonic_time next_old_read{};
        std::optional<source> from;  ///< As last written to the log.
    };

    table_state& state_of(const std::string& name) {
        const auto found = m_tables.find(name);
        if (found != m_tables.end()) {
            return found->second;
        }
        coordination::reading::source_selector sources(member_of(m_self), m_settings.sources,
                                                       m_reach, m_scheduler.random());
        sources.declare(m_members);
        table_requirements requirements;
        requirements.max_age = m_settings.sources.max_copy_age;
        return m_tables.emplace(name, table_state{std::move(sources), requirements}).first->second;
    }

    /// A call to another router, with its timeout.
    struct peer_call {
        base::router_name to;
        peer::table_request request;
        base::duration limit{};
    };

    /// A call that did not give a current copy, for the log.
    struct unsuccessful_read {
        std::string table;
        source from;
        std::string_view outcome;
        base::duration elapsed{};
        base::duration limit{};
        base::duration copy_age{};  ///< Of the copy in the answer, if any.
    };

    static constexpr std::string_view component = "relay.tables";

    runtime::task<batch_result> read_once_routers_are_known(read_request wanted) {
        if (!m_first_changes_call_at) {
            m_first_changes_call_at = m_scheduler.now();
        }
        while (!knows_routers()) {
            co_await m_scheduler.sleep_for(m_settings.poll_interval);
        }
        co_return co_await read(std::move(wanted));
    }

    /// @return whether the list of routers has settled, or the time to wait for it has passed: then
    /// changes are read from the owner.
    bool knows_routers() const {
        const base::monotonic_time now = m_scheduler.now();
        const bool settled =
            m_routers_known_at && now - *m_routers_known_at >= m_settings.routers_settle_time;
        const base::duration longest =
            m_contact_search ? m_settings.contacts_timeout : m_settings.routers_timeout;
        return settled || now - *m_first_changes_call_at >= longest;
    }

    runtime::task<batch_result> read_first_copy(read_request wanted) {
        const base::monotonic_time started_at = m_scheduler.now();
        co_await find_contacts(base::monotonic_time::min());
        if (m_contacts.awaited.empty()) {
            batch_result batch =
                co_await read_from_contact(m_contacts.others, {}, wanted, started_at);
            if (batch) {
                co_return batch;
            }
            const base::monotonic_time known_since = m_contacts_found_at;
            co_await m_scheduler.sleep_for(m_settings.contacts_settle_time);
            co_await find_contacts(known_since);
        }
        for (int attempt = 0; attempt < m_settings.max_attempts; ++attempt) {
            batch_result batch = co_await read_from_contact(
                m_contacts.awaited, m_settings.first_copy_hold, wanted, started_at);
            if (batch) {
                co_return batch;
            }
        }
        co_return co_await read(std::move(wanted));
    }

    /// Reads from a contact chosen at random among those not known to be unreachable.
    /// @param hold how long the contact may wait for its own copy.
    runtime::task<batch_result> read_from_contact(std::vector<peer_address> contacts,
                                                  base::duration hold, read_request wanted,
                                                  base::monotonic_time started_at) {
        std::erase_if(contacts, [&](const peer_address& one) {
            return !m_reach.is_available(one.name, m_scheduler.now());
        });
        if (contacts.empty()) {
            co_return feed_fault::unavailable;
        }
        const peer_address contact = contacts[m_scheduler.random().below(contacts.size())];
        table_state& table = state_of(wanted.table);
        log_source(table, wanted.table, contact.name);
        m_addresses[contact.name] = contact.address;
        peer_call outgoing = make_call(wanted, hold);
        outgoing.to = contact.name;
        co_return co_await call_peer(std::move(outgoing), std::move(wanted), table, started_at);
    }

    /// Looks up contacts, once for all tables that are read at the same time.
    /// @param known_since contacts found after this time are not looked up again.
    runtime::task<void> find_contacts(base::monotonic_time known_since) {
        while (m_finding_contacts) {
            co_await m_scheduler.sleep_for(m_settings.poll_interval);
        }
        if (m_contacts_found_at > known_since) {
            co_return;
        }
        m_finding_contacts = true;
        m_contacts = co_await m_contact_search();
        m_contacts_found_at = m_scheduler.now();
        m_finding_contacts = false;
        runtime::log(runtime::log_level::info, component, "contacts found",
                     {{"awaited", std::to_string(m_contacts.awaited.size())},
                      {"others", std::to_string(m_contacts.others.size())}});
    }

    /// Whole tables are passed on whatever their size: packed, and in one answer.
    peer_call make_call(const read_request& wanted, base::duration hold) const {
        peer_call outgoing;
        outgoing.request.sender = m_self.name;
        outgoing.request.table = wanted.table;
        outgoing.request.after = wanted.after;
        outgoing.request.whole = wanted.whole;
        outgoing.request.hold = std::chrono::duration_cast<std::chrono::milliseconds>(hold);
        outgoing.request.may_redirect = !wanted.whole;
        outgoing.request.may_pack = true;
        outgoing.limit =
            hold + (wanted.whole ? m_settings.large_answer_timeout : m_settings.call_margin);
        return outgoing;
    }

    runtime::task<batch_result> read(read_request wanted) {
        table_state& table = state_of(wanted.table);
        const base::monotonic_time started_at = m_scheduler.now();
        for (int attempt = 0; attempt < m_settings.max_attempts; ++attempt) {
            const source from = table.sources.choose(m_scheduler.now());
            m_reads_owner = !from;
            log_source(table, wanted.table, from);
            batch_result batch = feed_fault::unavailable;
            if (from) {
                batch = co_await read_peer(*from, wanted, table, started_at);
            } else {
                batch = co_await read_owner(wanted, table, started_at);
            }
            if (batch || batch.error() == feed_fault::history_gone) {
                co_return batch;
            }
            if (!from) {
                co_return table.sources.is_reader() ? batch : source_lost(wanted, batch);
            }
            co_await m_scheduler.sleep_for(m_settings.retry_pause);
        }
        co_return source_lost(wanted, feed_fault::unavailable);
    }

    /// Other routers can answer with the changes after any version, so a router that reads changes
    /// from them does not need the whole table again after a call without an answer.
    static batch_result source_lost(const read_request& wanted, const batch_result& batch) {
        const bool can_continue = !wanted.whole && batch.error() == feed_fault::unavailable;
        return can_continue ? batch_result(feed_fault::no_source) : batch;
    }

    runtime::task<batch_result> read_owner(read_request wanted, table_state& table,
                                           base::monotonic_time started_at) {
        if (!wanted.whole && m_scheduler.now() < table.next_owner_read) {
            co_await m_scheduler.sleep_until(table.next_owner_read);
        }
        base::monotonic_time asked_at = m_scheduler.now();
        table.next_owner_read = asked_at + table.requirements.min_owner_interval;
        const bool owner_may_hold = asked_at - table.as_of < m_settings.max_age_for_wait;
        read_request held = wanted;
        held.wait = owner_may_hold ? wanted.wait : base::duration{};
        batch_result batch = co_await call_owner(held);
        if (!is_answer(batch) && held.wait > base::duration{}) {
            // The answer to a held call may be lost although the owner answers other calls. With a
            // second call at once, the copy does not get too old.
            held.limit -= held.wait;
            held.wait = base::duration{};
            asked_at = m_scheduler.now();
            batch = co_await call_owner(held);
        }
        const base::monotonic_time now = m_scheduler.now();
        if (!is_answer(batch)) {
            ++m_reads_failed;
            log_unsuccessful(
                {wanted.table, std::nullopt, "no answer", now - asked_at, held.limit, {}});
            table.sources.failed(std::nullopt, now);
            co_return batch;
        }
        table.sources.answered(std::nullopt, asked_at, now);
        if (batch) {
            batch->owner_asked_after = asked_at - started_at;
            record_copy(table, *batch, asked_at);
        }
        co_return batch;
    }

    runtime::task<batch_result> call_owner(read_request wanted) {
        ++m_owner_calls;
        if (wanted.whole) {
            return m_owner.read_all(wanted.table, wanted.limit);
        }
        return m_owner.read_changes(wanted.table, wanted.after, wanted.wait, wanted.limit);
    }

    static bool is_answer(const batch_result& batch) {
        return batch || batch.error() == feed_fault::history_gone;
    }

    runtime::task<batch_result> read_peer(base::router_name from, read_request wanted,
                                          table_state& table, base::monotonic_time started_at) {
        if (!wanted.whole && is_behind(table, m_scheduler.now())) {
            co_await pace_while_behind(table);
        }
        const base::monotonic_time sent_at = m_scheduler.now();
        peer_call outgoing = make_call(wanted, hold_for(table, sent_at));
        outgoing.to = std::move(from);
        co_return co_await call_peer(std::move(outgoing), std::move(wanted), table, started_at);
    }

    runtime::task<batch_result> call_peer(peer_call outgoing, read_request wanted,
                                          table_state& table, base::monotonic_time started_at) {
        ++m_peer_calls;
        const base::router_name& from = outgoing.to;
        const base::duration limit = outgoing.limit;
        const base::monotonic_time sent_at = m_scheduler.now();
        const base::endpoint address = m_addresses[from];
        peer::message_bytes bytes = peer::encode(outgoing.request);
        const auto reply = co_await m_transport.call(address, std::move(bytes), limit);
        const base::monotonic_time now = m_scheduler.now();
        auto answer = decode(reply);
        if (!answer) {
            ++m_reads_failed;
            log_unsuccessful({wanted.table, from, "no answer", now - sent_at, limit, {}});
            table.sources.failed(from, now);
            co_return feed_fault::unavailable;
        }
        if (answer->at_owner) {
            batch_result batch =
                co_await read_large_change(std::move(outgoing), wanted, table, started_at);
            co_return batch;
        }
        if (!answer->known) {
            log_unsuccessful({wanted.table, from, "no copy", now - sent_at, limit, {}});
            table.sources.has_no_copy(from, now);  // It has just started, or is stopping.
            co_return feed_fault::unavailable;
        }
        // The request arrived no earlier than it was sent, so this is a lower bound.
        const base::monotonic_time as_of = std::min(sent_at + answer->confirmed_after, now);
        if (now - as_of > table.requirements.max_age) {
            ++m_reads_behind;
            log_unsuccessful({wanted.table, from, "too old", now - sent_at, limit, now - as_of});
        }
        table.sources.answered(from, as_of, now);
        co_return batch_of(std::move(*answer), wanted, table, as_of, started_at);
    }

    /// Reads a change that another router has, or is about to have, but that is too large to be
    /// passed on: from the owner, or else from that router, which then passes it on in spite of its
    /// size.
    runtime::task<batch_result> read_large_change(peer_call outgoing, read_request wanted,
                                                  table_state& table,
                                                  base::monotonic_time started_at) {
        const std::uint64_t known = table.version;
        const bool owner_answers = m_reach.is_available(std::nullopt, m_scheduler.now());
        runtime::log(runtime::log_level::info, component, "another router announced a large change",
                     {{"table", wanted.table},
                      {"told_by", outgoing.to.value},
                      {"version", std::to_string(known)},
                      {"read_from", owner_answers ? "owner" : outgoing.to.value}});
        batch_result batch = feed_fault::unavailable;
        if (owner_answers) {
            read_request at_once = wanted;
            at_once.wait = {};
            batch = co_await read_owner(std::move(at_once), table, started_at);
        }
        if (!is_answer(batch)) {
            outgoing.request.may_redirect = false;
            outgoing.request.hold = {};
            outgoing.limit = m_settings.large_answer_timeout;
            batch = co_await call_peer(std::move(outgoing), std::move(wanted), table, started_at);
        }
        if (table.version == known) {
            // The source does not have the change yet.
            co_await m_scheduler.sleep_for(m_settings.old_copy_pause);
        }
        co_return batch;
    }

    std::optional<peer::table_answer> decode(const peer::result<peer::message_bytes>& reply) const {
        if (!reply) {
            return std::nullopt;
        }
        auto answer = peer::decode_table_answer(*reply);
        return answer ? std::optional(std::move(*answer)) : std::nullopt;
    }

    /// An answer from a copy that lags behind this router's own has no new rows; it only shows how
    /// current that copy is.
    batch_result batch_of(peer::table_answer answer, const read_request& wanted, table_state& table,
                          base::monotonic_time as_of, base::monotonic_time started_at) const {
        const bool lags = answer.version < table.version;
        if (wanted.whole && (lags || !answer.whole)) {
            return feed_fault::unavailable;
        }
        if (!wanted.whole && answer.whole && !lags) {
            return feed_fault::history_gone;
        }
        record_batch batch;
        batch.version = std::max(answer.version, table.version);
        if (!lags) {
            batch.records = std::move(answer.rows);
        }
        batch.owner_time = answer.owner_time;
        batch.owner_asked_after = as_of - started_at;
        record_copy(table, batch, as_of);
        return batch;
    }

    static bool is_behind(const table_state& table, base::monotonic_time now) {
        return now - table.as_of > table.requirements.max_age;
    }

    /// Delays calls while the copy is behind. The first one is not delayed, as the source often has
    /// caught up by then.
    runtime::task<void> pace_while_behind(table_state& table) {
        const base::monotonic_time now = m_scheduler.now();
        const base::monotonic_time start = std::max(now, table.next_old_read);
        table.next_old_read = start + m_settings.old_copy_pause;
        if (start > now) {
            co_await m_scheduler.sleep_until(start);
        }
    }

    /// @return how long the other router may hold a call. A call without changes or without an
    /// answer then ends about when the copy becomes too old, so that another source can be called
    /// in time. A router whose copy is behind allows no hold.
    base::duration hold_for(const table_state& table, base::monotonic_time now) const {
        const base::duration left = table.as_of + table.requirements.max_age - now;
        if (left < base::duration{}) {
            return {};
        }
        return std::clamp(left - m_settings.call_margin, m_settings.min_hold, m_settings.max_hold);
    }

    static void record_copy(table_state& table, const record_batch& batch,
                            base::monotonic_time as_of) {
        table.version = std::max(table.version, batch.version);
        table.as_of = std::max(table.as_of, as_of);
    }

    void log_source(table_state& table, const std::string& name, const source& from) {
        // Without `*`, an empty `from` (the owner) would be compared as an unset `table.from`.
        if (table.from && *table.from == from) {
            return;
        }
        const base::monotonic_time now = m_scheduler.now();
        const auto age = base::to_milliseconds(now - table.as_of);
        runtime::log(runtime::log_level::info, component, "table is read from a new source",
                     {{"table", name},
                      {"source", from ? from->value : "owner"},
                      {"version", std::to_string(table.version)},
                      {"age_ms", table.version == 0 ? "" : std::to_string(age)}});
        table.from.emplace(from);
    }

    static void log_unsuccessful(const unsuccessful_read& read) {
        runtime::log(runtime::log_level::info, component, "call gave no current copy of the table",
                     {{"table", read.table},
                      {"source", read.from ? read.from->value : "owner"},
                      {"outcome", std::string(read.outcome)},
                      {"took_ms", std::to_string(base::to_milliseconds(read.elapsed))},
                      {"limit_ms", std::to_string(base::to_milliseconds(read.limit))},
                      {"told_age_ms", std::to_string(base::to_milliseconds(read.copy_age))}});
    }

    runtime::scheduler& m_scheduler;
    Owner& m_owner;
    peer::transport& m_transport;
    peer_address m_self;
    shared_feed_settings m_settings;
    coordination::reading::source_reachability m_reach;
    std::vector<coordination::reading::tree_member> m_members;
    std::map<base::router_name, base::endpoint> m_addresses;
    std::map<std::string, table_state> m_tables;
    bool m_reads_owner = true;  ///< By the last choice of a source, for any table.
    std::uint64_t m_owner_calls = 0;
    std::uint64_t m_peer_calls = 0;
    std::uint64_t m_reads_behind = 0;
    std::uint64_t m_reads_failed = 0;
    std::optional<base::monotonic_time> m_routers_known_at;  ///< First list of routers.
    std::optional<base::monotonic_time> m_first_changes_call_at;
    contact_search m_contact_search;
    start_contacts m_contacts;  ///< As last found.
    base::monotonic_time m_contacts_found_at = base::monotonic_time::min();
    bool m_finding_contacts = false;
};

}  // namespace ferryroad::relay
