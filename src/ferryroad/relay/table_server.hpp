/// @file
/// Answers other routers from this router's copies of outside tables. A call is held until
/// there is news, so that news passes on at once and an idle table costs few calls. News that is
/// too large for that is only announced: each router reads it from the owner over its own link. A
/// router that starts is given the whole copy, or waits for it where this one is starting, too.
#pragma once

#include "ferryroad/coordination/reading/table_mirror.hpp"
#include "ferryroad/peer/table_call.hpp"
#include "ferryroad/peer/transport.hpp"
#include "ferryroad/runtime/scheduler.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace ferryroad::relay {

struct table_server_settings {
    /// Calls held at once for a table; more are answered at once. A router has at most one call
    /// a table at its parent, and a parent few more routers below it than the tree's degree.
    std::size_t held_calls = 128;
    /// No call is held longer, whatever it asks for.
    base::duration longest_hold = std::chrono::seconds(2);
    /// Rows of an answer that are packed, at least; fewer bytes are not worth the work.
    std::size_t least_packed_bytes = std::size_t{4} * 1024;
    /// Bytes of changed rows, packed where the asker reads that, that are passed on; what is larger
    /// is read from the owner. `relayed_bytes_for` reckons it from this router's link.
    std::size_t relayed_bytes = std::size_t{24} * 1024;
};

/// Used from the event loop's thread; kept until the loop has ended. Collaborators outlive it.
class table_server {
  public:
    table_server(runtime::scheduler& scheduler, peer::transport& transport,
                 table_server_settings settings = {});

    /// Answers from `copy`, which outlives this. Before `start`.
    void offer(const std::string& table, const coordination::reading::table_mirror& copy);
    /// Called once, before any traffic.
    void start();
    /// Tells whoever asks to look for another router.
    void stop();
    /// The copy of a table has a new confirmation.
    void news(const std::string& table);
    /// The owner is sending large news of a table, which are not in the copy yet. Those who wait
    /// are told at once, so that all routers read them at the same time and not one after another.
    void large_news_at_owner(const std::string& table);

    std::uint64_t answers() const { return m_answers; }
    std::uint64_t malformed_requests() const { return m_malformed; }

  private:
    class held_call;

    /// Which rows of a copy an answer has.
    struct row_selection {
        std::uint64_t revision = 0;  ///< Of the copy.
        bool whole = false;
        std::uint64_t after = 0;

        friend bool operator==(const row_selection&, const row_selection&) = default;
    };
    /// Routers that start or hear of a change together ask for the same rows.
    struct packed_selection {
        row_selection selected;
        peer::packed_rows rows;
    };

    struct offered_table {
        const coordination::reading::table_mirror* copy = nullptr;
        bool owner_has_more = false;  ///< Until the copy's next confirmation.
        std::map<std::uint64_t, held_call*> held;
        std::optional<packed_selection> packed;  ///< While the copy stays as it is.
    };

    /// Shared with the calls that are held: the event loop may drop those last.
    using table_pointer = std::shared_ptr<offered_table>;

    runtime::task<peer::message_bytes> answer(peer::message_bytes bytes);
    runtime::task<void> hold(table_pointer table, base::duration longest);
    void wake_all(const offered_table& table);
    bool is_to_read_owner(const offered_table& table, const peer::table_request& request) const;
    bool is_to_be_held(const offered_table& table, const peer::table_request& request) const;
    peer::table_answer answer_now(offered_table& table, const peer::table_request& request,
                                  base::monotonic_time received_at) const;
    /// Rows that are many are packed where the asker may get them so.
    void select_rows(offered_table& table, const peer::table_request& request,
                     peer::table_answer& answer) const;

    runtime::scheduler& m_scheduler;
    peer::transport& m_transport;
    table_server_settings m_settings;
    std::map<std::string, table_pointer> m_tables;
    std::uint64_t m_next_call = 0;
    std::uint64_t m_answers = 0;
    std::uint64_t m_malformed = 0;
    bool m_stopped = false;
};

}  // namespace ferryroad::relay
