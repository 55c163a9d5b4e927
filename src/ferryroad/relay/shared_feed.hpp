/// @file
/// A record feed that takes tables from the owner or from another router's copy, whichever the
/// reading tree and what was found out about sources say (`coordination/reading`).
///
/// A router that has just started knows no others, and whole tables are large: it is told of a few
/// routers near to it, its contacts, and takes its first copies from these. It reads the owner by
/// itself only where none of them has a copy.
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

/// What is expected of a router's copy of one table.
struct table_terms {
    /// Between two reads of the owner, at least. Other routers tell news as they have it.
    base::duration owner_pace{};
    /// A copy that is older is behind: its source is left, and the owner asked before long.
    base::duration oldest = coordination::reading::selector_settings().oldest_copy;

    friend bool operator==(const table_terms&, const table_terms&) = default;
};

struct shared_feed_settings {
    coordination::reading::selector_settings sources;
    coordination::reading::reach_settings reach;
    core::topology::zone_map zones;  ///< With their regions.
    /// A call to another router may be held so long for news. Short, so that a router that
    /// stopped to answer is found out well within the time in which changes must be in force.
    base::duration hold = std::chrono::milliseconds(600);
    /// The same at least, unless the copy is behind: copies of an idle table age up to 1.5 s, and
    /// calls that end at once were 130 a second and router while they did.
    base::duration least_hold = std::chrono::milliseconds(200);
    /// The owner may hold a call only while the copy is younger: an answer comes at the end of
    /// the hold and says no more than that all was known at its beginning.
    base::duration waits_while_younger = std::chrono::milliseconds(1000);
    /// Beyond the hold: connecting, a full event loop, a long way between zones.
    base::duration call_margin = std::chrono::milliseconds(300);
    /// Before the next source is tried, so that a row of them is not asked all at once.
    base::duration retry_pause = std::chrono::milliseconds(30);
    /// Between two questions to other routers while all that is known is old: an outage may
    /// last, and everyone asks around.
    base::duration old_copy_pause = std::chrono::milliseconds(150);
    /// For an answer of any size: a whole table, or where the owner doesn't answer this router.
    base::duration large_answer_limit = std::chrono::milliseconds(3000);
    /// A contact may wait so long for its own first copy.
    base::duration first_copy_hold = std::chrono::milliseconds(2000);
    /// Where many start together, contacts may be told of only now: they are looked for once more
    /// after so long.
    base::duration contacts_settle = std::chrono::milliseconds(500);
    /// Other routers tried in one call before it ends as unavailable.
    int attempts = 3;
    /// A router that has its first copy waits so long to be told of the other routers before it
    /// asks for changes: these come from them.
    base::duration routers_wait = std::chrono::milliseconds(500);
    /// The same where first copies come from contacts: of many that start together each waits for
    /// another, and all would ask the owner for changes meanwhile.
    base::duration contacts_wait = std::chrono::milliseconds(5000);
    /// Where many start together, the first list of them is short: so long after it is told,
    /// before the list is read again, a router doesn't take itself for a reader yet.
    base::duration routers_settle = std::chrono::milliseconds(300);
    base::duration routers_look = std::chrono::milliseconds(20);
};

/// Routers near to one that starts.
struct start_contacts {
    /// May be waited for: no two routers are so to each other, directly or over others.
    std::vector<peer_address> awaited;
    /// Asked without waiting, as they may wait for the one that starts.
    std::vector<peer_address> others;

    friend bool operator==(const start_contacts&, const start_contacts&) = default;
};
using contact_search = std::function<runtime::task<start_contacts>()>;

/// Used from the event loop's thread. Collaborators outlive it.
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

    /// Without it, first copies come from the owner. Before the first read.
    void find_contacts_by(contact_search search) { m_contact_search = std::move(search); }

    /// Takes the routers that are present, as the owner's table names them: no others are asked.
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
        if (!m_first_told_at) {
            m_first_told_at = m_scheduler.now();
        }
    }

    /// Holds from the next read on.
    void expect(const std::string& name, table_terms terms) {
        table_state& table = state_of(name);
        table.terms = terms;
        table.sources.change_oldest(terms.oldest);
    }

    /// @return whether this router reads the owner now, for itself and for others.
    bool reads_owner() const { return m_reads_owner; }
    std::uint64_t owner_calls() const { return m_owner_calls; }
    std::uint64_t peer_calls() const { return m_peer_calls; }
    /// @return answers of other routers whose copies were too old.
    std::uint64_t reads_behind() const { return m_reads_behind; }
    /// @return reads, from the owner or from other routers, that ended without an answer.
    std::uint64_t reads_failed() const { return m_reads_failed; }

    runtime::task<batch_result> read_all(std::string table, base::duration limit) {
        reading wanted{std::move(table), 0, true, {}, limit};
        const bool knows_nobody = !m_first_told_at;
        return m_contact_search && knows_nobody ? read_first_copy(std::move(wanted))
                                                : read(std::move(wanted));
    }
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

    struct reading {
        std::string table;
        std::uint64_t after = 0;
        bool whole = false;
        base::duration wait{};  ///< At the owner.
        base::duration limit{};
    };

    /// What this router knows of a table.
    struct table_state {
        coordination::reading::source_selector sources;
        table_terms terms;
        std::uint64_t version = 0;
        base::monotonic_time as_of{};
        base::monotonic_time next_owner_read{};  ///< Not sooner, by the pace.
        base::monotonic_time next_old_read{};    ///< Of another router, while the copy is old.
        std::optional<source> from;              ///< As last noted in the log.
    };

    table_state& state_of(const std::string& name) {
        const auto found = m_tables.find(name);
        if (found != m_tables.end()) {
            return found->second;
        }
        coordination::reading::source_selector sources(member_of(m_self), m_settings.sources,
                                                       m_reach, m_scheduler.random());
        sources.declare(m_members);
        table_terms terms;
        terms.oldest = m_settings.sources.oldest_copy;
        return m_tables.emplace(name, table_state{std::move(sources), terms}).first->second;
    }

    /// A call to another router.
    struct peer_question {
        base::router_name to;
        peer::table_request request;
        base::duration limit{};
    };

    /// One read that did not make the copy current, for the log.
    struct read_report {
        std::string table;
        source from;
        std::string_view outcome;
        base::duration took{};
        base::duration limit{};
        base::duration told_age{};  ///< Of the copy that was told, if any.
    };

    static constexpr std::string_view component = "relay.tables";

    runtime::task<batch_result> read_once_routers_are_known(reading wanted) {
        if (!m_first_call_at) {
            m_first_call_at = m_scheduler.now();
        }
        while (!knows_routers()) {
            co_await m_scheduler.sleep_for(m_settings.routers_look);
        }
        co_return co_await read(std::move(wanted));
    }

    /// @return whether the list of routers has settled, or nobody will tell it: then the owner
    /// serves.
    bool knows_routers() const {
        const base::monotonic_time now = m_scheduler.now();
        const bool settled = m_first_told_at && now - *m_first_told_at >= m_settings.routers_settle;
        const base::duration longest =
            m_contact_search ? m_settings.contacts_wait : m_settings.routers_wait;
        return settled || now - *m_first_call_at >= longest;
    }

    runtime::task<batch_result> read_first_copy(reading wanted) {
        const base::monotonic_time began = m_scheduler.now();
        co_await learn_contacts(base::monotonic_time::min());
        if (m_contacts.awaited.empty()) {
            batch_result batch = co_await ask_one_of(m_contacts.others, {}, wanted, began);
            if (batch) {
                co_return batch;
            }
            const base::monotonic_time known_since = m_contacts_found_at;
            co_await m_scheduler.sleep_for(m_settings.contacts_settle);
            co_await learn_contacts(known_since);
        }
        for (int attempt = 0; attempt < m_settings.attempts; ++attempt) {
            batch_result batch =
                co_await ask_one_of(m_contacts.awaited, m_settings.first_copy_hold, wanted, began);
            if (batch) {
                co_return batch;
            }
        }
        co_return co_await read(std::move(wanted));
    }

    /// @param hold how long it may wait for its own copy.
    runtime::task<batch_result> ask_one_of(std::vector<peer_address> contacts, base::duration hold,
                                           reading wanted, base::monotonic_time began) {
        std::erase_if(contacts, [&](const peer_address& one) {
            return !m_reach.is_present(one.name, m_scheduler.now());
        });
        if (contacts.empty()) {
            co_return feed_fault::unavailable;
        }
        const peer_address contact = contacts[m_scheduler.random().below(contacts.size())];
        table_state& table = state_of(wanted.table);
        note_source(table, wanted.table, contact.name);
        m_addresses[contact.name] = contact.address;
        peer_question question = question_for(wanted, hold);
        question.to = contact.name;
        co_return co_await ask_peer(std::move(question), std::move(wanted), table, began);
    }

    /// Looks for contacts, once for all tables that are read at the same time.
    /// @param known_since those found later are good enough.
    runtime::task<void> learn_contacts(base::monotonic_time known_since) {
        while (m_looks_for_contacts) {
            co_await m_scheduler.sleep_for(m_settings.routers_look);
        }
        if (m_contacts_found_at > known_since) {
            co_return;
        }
        m_looks_for_contacts = true;
        m_contacts = co_await m_contact_search();
        m_contacts_found_at = m_scheduler.now();
        m_looks_for_contacts = false;
        runtime::log(runtime::log_level::info, component, "contacts found",
                     {{"awaited", std::to_string(m_contacts.awaited.size())},
                      {"others", std::to_string(m_contacts.others.size())}});
    }

    /// Whole tables come with whatever their size is: packed, and in one piece.
    peer_question question_for(const reading& wanted, base::duration hold) const {
        peer_question question;
        question.request.sender = m_self.name;
        question.request.table = wanted.table;
        question.request.after = wanted.after;
        question.request.whole = wanted.whole;
        question.request.hold = std::chrono::duration_cast<std::chrono::milliseconds>(hold);
        question.request.may_redirect = !wanted.whole;
        question.request.may_pack = true;
        question.limit =
            hold + (wanted.whole ? m_settings.large_answer_limit : m_settings.call_margin);
        return question;
    }

    runtime::task<batch_result> read(reading wanted) {
        table_state& table = state_of(wanted.table);
        const base::monotonic_time began = m_scheduler.now();
        for (int attempt = 0; attempt < m_settings.attempts; ++attempt) {
            const source from = table.sources.choose(m_scheduler.now());
            m_reads_owner = !from;
            note_source(table, wanted.table, from);
            batch_result batch = feed_fault::unavailable;
            if (from) {
                batch = co_await read_peer(*from, wanted, table, began);
            } else {
                batch = co_await read_owner(wanted, table, began);
            }
            if (batch || batch.error() == feed_fault::history_gone) {
                co_return batch;
            }
            if (!from) {
                co_return table.sources.is_reader() ? batch : lost_source(wanted, batch);
            }
            co_await m_scheduler.sleep_for(m_settings.retry_pause);
        }
        co_return lost_source(wanted, feed_fault::unavailable);
    }

    /// Other routers tell what changed after any version: a router that takes its copy from them
    /// needs no whole one after an answer that didn't come.
    static batch_result lost_source(const reading& wanted, const batch_result& batch) {
        const bool goes_on = !wanted.whole && batch.error() == feed_fault::unavailable;
        return goes_on ? batch_result(feed_fault::no_source) : batch;
    }

    runtime::task<batch_result> read_owner(reading wanted, table_state& table,
                                           base::monotonic_time began) {
        if (!wanted.whole && m_scheduler.now() < table.next_owner_read) {
            co_await m_scheduler.sleep_until(table.next_owner_read);
        }
        base::monotonic_time asked_at = m_scheduler.now();
        table.next_owner_read = asked_at + table.terms.owner_pace;
        const bool may_wait = asked_at - table.as_of < m_settings.waits_while_younger;
        reading held = wanted;
        held.wait = may_wait ? wanted.wait : base::duration{};
        batch_result batch = co_await ask_owner(held);
        if (!answers(batch) && held.wait > base::duration{}) {
            // A held answer may be lost while the owner answers others: asked again at once, the
            // copy is not yet too old.
            held.limit -= held.wait;
            held.wait = base::duration{};
            asked_at = m_scheduler.now();
            batch = co_await ask_owner(held);
        }
        const base::monotonic_time now = m_scheduler.now();
        if (!answers(batch)) {
            ++m_reads_failed;
            note_read({wanted.table, std::nullopt, "no answer", now - asked_at, held.limit, {}});
            table.sources.failed(std::nullopt, now);
            co_return batch;
        }
        table.sources.answered(std::nullopt, asked_at, now);
        if (batch) {
            batch->owner_asked_after = asked_at - began;
            take(table, *batch, asked_at);
        }
        co_return batch;
    }

    runtime::task<batch_result> ask_owner(reading wanted) {
        ++m_owner_calls;
        if (wanted.whole) {
            return m_owner.read_all(wanted.table, wanted.limit);
        }
        return m_owner.read_changes(wanted.table, wanted.after, wanted.wait, wanted.limit);
    }

    static bool answers(const batch_result& batch) {
        return batch || batch.error() == feed_fault::history_gone;
    }

    runtime::task<batch_result> read_peer(base::router_name from, reading wanted,
                                          table_state& table, base::monotonic_time began) {
        if (!wanted.whole && is_behind(table, m_scheduler.now())) {
            co_await pause_while_behind(table);
        }
        const base::monotonic_time sent_at = m_scheduler.now();
        peer_question question = question_for(wanted, hold_for(table, sent_at));
        question.to = std::move(from);
        co_return co_await ask_peer(std::move(question), std::move(wanted), table, began);
    }

    runtime::task<batch_result> ask_peer(peer_question question, reading wanted, table_state& table,
                                         base::monotonic_time began) {
        ++m_peer_calls;
        const base::router_name& from = question.to;
        const base::duration limit = question.limit;
        const base::monotonic_time sent_at = m_scheduler.now();
        const base::endpoint address = m_addresses[from];
        peer::message_bytes bytes = peer::encode(question.request);
        const auto told = co_await m_transport.call(address, std::move(bytes), limit);
        const base::monotonic_time now = m_scheduler.now();
        auto answer = decode(told);
        if (!answer) {
            ++m_reads_failed;
            note_read({wanted.table, from, "no answer", now - sent_at, limit, {}});
            table.sources.failed(from, now);
            co_return feed_fault::unavailable;
        }
        if (answer->at_owner) {
            batch_result batch = co_await read_large(std::move(question), wanted, table, began);
            co_return batch;
        }
        if (!answer->known) {
            note_read({wanted.table, from, "no copy", now - sent_at, limit, {}});
            table.sources.has_no_copy(from, now);  // It has just started, or ends.
            co_return feed_fault::unavailable;
        }
        // The request arrived no earlier than it was sent, so that this is a lower bound.
        const base::monotonic_time as_of = std::min(sent_at + answer->confirmed_after, now);
        if (now - as_of > table.terms.oldest) {
            ++m_reads_behind;
            note_read({wanted.table, from, "too old", now - sent_at, limit, now - as_of});
        }
        table.sources.answered(from, as_of, now);
        co_return batch_of(std::move(*answer), wanted, table, as_of, began);
    }

    /// A router has, or is about to have, what is too large to be passed on. Where the owner
    /// doesn't answer this router, it is passed on all the same.
    runtime::task<batch_result> read_large(peer_question question, reading wanted,
                                           table_state& table, base::monotonic_time began) {
        const std::uint64_t known = table.version;
        const bool owner_answers = m_reach.is_present(std::nullopt, m_scheduler.now());
        runtime::log(runtime::log_level::info, component, "large change told",
                     {{"table", wanted.table},
                      {"told_by", question.to.value},
                      {"version", std::to_string(known)},
                      {"read_from", owner_answers ? "owner" : question.to.value}});
        batch_result batch = feed_fault::unavailable;
        if (owner_answers) {
            reading at_once = wanted;
            at_once.wait = {};
            batch = co_await read_owner(std::move(at_once), table, began);
        }
        if (!answers(batch)) {
            question.request.may_redirect = false;
            question.request.hold = {};
            question.limit = m_settings.large_answer_limit;
            batch = co_await ask_peer(std::move(question), std::move(wanted), table, began);
        }
        if (table.version == known) {
            co_await m_scheduler.sleep_for(m_settings.old_copy_pause);  // Told too early.
        }
        co_return batch;
    }

    std::optional<peer::table_answer> decode(const peer::result<peer::message_bytes>& told) const {
        if (!told) {
            return std::nullopt;
        }
        auto answer = peer::decode_table_answer(*told);
        return answer ? std::optional(std::move(*answer)) : std::nullopt;
    }

    /// A copy that lags behind this router's own tells nothing new, but how current it is.
    batch_result batch_of(peer::table_answer answer, const reading& wanted, table_state& table,
                          base::monotonic_time as_of, base::monotonic_time began) const {
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
        batch.owner_asked_after = as_of - began;
        take(table, batch, as_of);
        return batch;
    }

    static bool is_behind(const table_state& table, base::monotonic_time now) {
        return now - table.as_of > table.terms.oldest;
    }

    /// The first question is asked at once: often the source is behind no longer.
    runtime::task<void> pause_while_behind(table_state& table) {
        const base::monotonic_time now = m_scheduler.now();
        const base::monotonic_time start = std::max(now, table.next_old_read);
        table.next_old_read = start + m_settings.old_copy_pause;
        if (start > now) {
            co_await m_scheduler.sleep_until(start);
        }
    }

    /// A call that ends without news, or without an answer, ends about when the copy is behind, so
    /// that there is time to ask another source. Whoever is behind doesn't wait for news.
    base::duration hold_for(const table_state& table, base::monotonic_time now) const {
        const base::duration left = table.as_of + table.terms.oldest - now;
        if (left < base::duration{}) {
            return {};
        }
        return std::clamp(left - m_settings.call_margin, m_settings.least_hold, m_settings.hold);
    }

    static void take(table_state& table, const record_batch& batch, base::monotonic_time as_of) {
        table.version = std::max(table.version, batch.version);
        table.as_of = std::max(table.as_of, as_of);
    }

    void note_source(table_state& table, const std::string& name, const source& from) {
        // Two optionals of different depth compare by whether either is empty: hence `*`.
        if (table.from && *table.from == from) {
            return;
        }
        const base::monotonic_time now = m_scheduler.now();
        const auto age = base::to_milliseconds(now - table.as_of);
        runtime::log(runtime::log_level::info, component, "source of a table",
                     {{"table", name},
                      {"source", from ? from->value : "owner"},
                      {"version", std::to_string(table.version)},
                      {"age_ms", table.version == 0 ? "" : std::to_string(age)}});
        table.from.emplace(from);
    }

    static void note_read(const read_report& read) {
        runtime::log(runtime::log_level::info, component, "copy not made current",
                     {{"table", read.table},
                      {"source", read.from ? read.from->value : "owner"},
                      {"outcome", std::string(read.outcome)},
                      {"took_ms", std::to_string(base::to_milliseconds(read.took))},
                      {"limit_ms", std::to_string(base::to_milliseconds(read.limit))},
                      {"told_age_ms", std::to_string(base::to_milliseconds(read.told_age))}});
    }

    runtime::scheduler& m_scheduler;
    Owner& m_owner;
    peer::transport& m_transport;
    peer_address m_self;
    shared_feed_settings m_settings;
    coordination::reading::source_reach m_reach;
    std::vector<coordination::reading::tree_member> m_members;
    std::map<base::router_name, base::endpoint> m_addresses;
    std::map<std::string, table_state> m_tables;
    bool m_reads_owner = true;  ///< As chosen last, for any table.
    std::uint64_t m_owner_calls = 0;
    std::uint64_t m_peer_calls = 0;
    std::uint64_t m_reads_behind = 0;
    std::uint64_t m_reads_failed = 0;
    std::optional<base::monotonic_time> m_first_told_at;  ///< Of the other routers.
    std::optional<base::monotonic_time> m_first_call_at;  ///< For changes.
    contact_search m_contact_search;
    start_contacts m_contacts;  ///< As found last.
    base::monotonic_time m_contacts_found_at = base::monotonic_time::min();
    bool m_looks_for_contacts = false;
};

}  // namespace ferryroad::relay
