/// @file
/// Serves this router's copies of external tables to other routers. A call is held until there are
/// changes, so that changes are passed on without delay and an idle table costs few calls. A change
/// that is too large to be passed on is only announced: each router reads it from the table's owner
/// over its own link. A starting router gets the whole copy, or waits for it where this router is
/// starting as well.
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
    /// Most calls that are held at the same time for one table; further calls are answered
    /// immediately. A router has at most one call per table at its parent, and a parent serves few
    /// more routers than the tree's degree.
    std::size_t max_held_calls = 128;
    /// No call is held for longer, whatever it requests.
    base::duration max_hold = std::chrono::seconds(2);
    /// Rows of an answer are packed (compressed) from this size on; for fewer bytes it does not
    /// pay.
    std::size_t min_packed_bytes = std::size_t{4} * 1024;
    /// Most bytes of changed rows that are passed on, counted after packing where the caller
    /// accepts packed rows. The caller has to read larger changes from the owner.
    /// `relayed_bytes_for` computes the limit from this router's link.
    std::size_t max_relayed_bytes = std::size_t{24} * 1024;
};

/// Not thread-safe: to be used from the event loop's thread. Must live until the loop has ended;
/// collaborators must outlive it.
class table_server {
  public:
    table_server(runtime::scheduler& scheduler, peer::transport& transport,
                 table_server_settings settings = {});

    /// Serves the table from `copy`, which must outlive the server. To be called before `start`.
    void offer(const std::string& table, const coordination::reading::table_mirror& copy);
    /// To be called once, before any traffic.
    void start();
    /// From now on answers that there is no copy, so that callers turn to another router.
    void stop();
    /// To be called when the copy of a table has a new confirmation. Wakes the held calls.
    void news(const std::string& table);
    /// To be called when the owner has begun to send a large change of a table that is not in the
    /// copy yet. Held calls are answered without delay, so that all routers read the
    /// change at the same time and not one after another.
    void notify_large_change(const std::string& table);

    std::uint64_t answers() const { return m_answers; }
    std::uint64_t malformed_requests() const { return m_malformed; }

  private:
    class held_call;

    /// Identifies the rows of a copy that an answer has.
    struct row_selection {
        std::uint64_t revision = 0;  ///< Of the copy.
        bool whole = false;
        std::uint64_t after = 0;

        friend bool operator==(const row_selection&, const row_selection&) = default;
    };
    /// Packed rows of the last selection. They are kept because routers that start, or learn of a
    /// change, at the same time request the same rows.
    struct packed_selection {
        row_selection selected;
        peer::packed_rows rows;
    };

    struct offered_table {
        const coordination::reading::table_mirror* copy = nullptr;
        bool large_change_at_owner = false;  ///< Until the copy's next confirmation.
        std::map<std::uint64_t, held_call*> held;
        std::optional<packed_selection> packed;  ///< While the copy is unchanged.
    };

    /// Shared with the held calls, which the event loop may destroy after the server.
    using table_pointer = std::shared_ptr<offered_table>;

    runtime::task<peer::message_bytes> answer(peer::message_bytes bytes);
    runtime::task<void> hold(table_pointer table, base::duration timeout);
    void wake_all(const offered_table& table);
    bool should_redirect(const offered_table& table, const peer::table_request& request) const;
    bool should_hold(const offered_table& table, const peer::table_request& request) const;
    peer::table_answer make_answer(offered_table& table, const peer::table_request& request,
                                   base::monotonic_time received_at) const;
    /// Fills in the rows, packed where they are large and the caller accepts that.
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
