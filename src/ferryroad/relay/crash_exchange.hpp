/// @file
/// Distributes engine crashes between routers over two channels that fail independently:
/// datagrams to all routers, sent at once, and one table row for each router that observed a
/// crash, which is read by routers that start later or that the datagrams did not reach.
#pragma once

#include "ferryroad/peer/crash_message.hpp"
#include "ferryroad/peer/transport.hpp"
#include "ferryroad/platform/services.hpp"
#include "ferryroad/relay/naming_record_sync.hpp"
#include "ferryroad/relay/peer_group.hpp"
#include "ferryroad/relay/request_quarantine.hpp"
#include "ferryroad/runtime/scheduler.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace ferryroad::relay {

/// Prefix of the row keys; the name of the router that writes the row follows.
inline constexpr std::string_view crash_key_prefix = "crashes/";

struct crash_exchange_settings {
    /// Number of times each message is sent, as datagrams may be lost.
    std::uint32_t send_count = 3;
    /// Delay after the first send; the delay grows by this amount with each further send.
    base::duration resend_delay = std::chrono::milliseconds(200);
    /// Delay from the first change of the row to its write. As engines often crash in groups, one
    /// write then covers several crashes.
    base::duration row_write_delay = std::chrono::milliseconds(100);
    /// Delay between further writes of one run, and after a write that failed.
    base::duration row_retry_delay = std::chrono::milliseconds(500);
    /// The row holds this number of the newest crashes that this router observed: some 10 KB with
    /// 24 requests of two shared prompt parts each, which is less than the size at which a table
    /// change counts as large.
    std::size_t max_row_crashes = 8;
};

/// Collaborators of `crash_exchange`; all of them must outlive it.
struct crash_exchange_ports {
    runtime::scheduler& scheduler;
    peer::transport& transport;
    platform::table& table;
    request_quarantine& quarantine;
    const owner_clock& clock;
};

/// Publishes the crashes and cleared requests that this router's quarantine reports, and feeds
/// those of other routers to it. Not thread-safe: to be used from the event loop's thread. Must
/// live until the loop has ended.
class crash_exchange {
  public:
    crash_exchange(crash_exchange_ports ports, base::router_name self,
                   crash_exchange_settings settings = {});

    /// Registers with the quarantine. To be called once, before any traffic.
    void start();
    /// Starts no further publications and row writes.
    void stop() { m_stopped = true; }

    /// Sets the routers to send to. This router may be among them; it is skipped.
    void set_routers(const std::vector<peer_address>& present) { m_routers = present; }
    /// Handles a datagram whose header identifies it as a crash message; counts it where it is
    /// malformed.
    void handle_datagram(const base::endpoint& from, std::string_view bytes);
    /// Stores the value of a row until `apply_queued_rows` is called while the clock of the table's
    /// owner is known.
    void queue_row(std::string value);
    /// Applies the stored rows, unless the clock of the table's owner is still unknown.
    void apply_queued_rows();

    /// @return the number of datagrams and rows that could not be decoded.
    std::uint64_t malformed() const { return m_malformed; }
    std::uint64_t rows_written() const { return m_rows_written; }

  private:
    static constexpr std::string_view component = "relay.crashes";

    void publish_crash(const core::quarantine::engine_crash& crash);
    void publish_cleared(const core::quarantine::cleared_suspects& cleared);
    void learn_cleared(const core::quarantine::cleared_suspects& cleared, std::string_view from);
    void learn_row(const std::string& value);
    /// Removes requests and parts from the crashes that this router observed.
    /// @return those that any of them named.
    core::quarantine::cleared_suspects remove_own(
        const core::quarantine::cleared_suspects& cleared);
    void add_own(const core::quarantine::engine_crash& crash);
    peer::observed_crash to_message(const core::quarantine::engine_crash& crash) const;
    runtime::task<void> send_crash(core::quarantine::engine_crash crash);
    runtime::task<void> send_cleared(core::quarantine::cleared_suspects cleared);
    void send_to_all(const peer::crash_notice& report);
    void schedule_row_write();
    runtime::task<void> write_row();

    crash_exchange_ports m_ports;
    base::router_name m_self;
    crash_exchange_settings m_settings;
    std::vector<peer_address> m_routers;
    std::deque<core::quarantine::engine_crash> m_own_crashes;  ///< Contents of this router's row.
    std::vector<std::string> m_pending_rows;
    bool m_row_changed = false;
    bool m_writing_row = false;
    std::uint64_t m_malformed = 0;
    std::uint64_t m_rows_written = 0;
    bool m_stopped = false;
};

}  // namespace ferryroad::relay
