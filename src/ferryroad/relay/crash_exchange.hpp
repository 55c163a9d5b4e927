/// @file
/// Carries what routers found out about engines that ended in two ways that don't fail together:
/// datagrams to all routers at once, and a row of each router that saw one in the product's table,
/// from which routers learn it that started later or didn't hear the sender.
#pragma once

#include "ferryroad/peer/crash_message.hpp"
#include "ferryroad/peer/transport.hpp"
#include "ferryroad/platform/services.hpp"
#include "ferryroad/relay/naming_journal.hpp"
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

/// Keys of the rows begin with this; a router's name follows.
inline constexpr std::string_view crash_key_prefix = "crashes/";

struct crash_exchange_settings {
    /// Datagrams are lost: each piece of news is sent so often, with longer and longer pauses.
    std::uint32_t sends = 3;
    base::duration resend_after = std::chrono::milliseconds(200);
    /// Between the first news and the row's write, and between two writes: engines end in groups.
    base::duration row_pace = std::chrono::milliseconds(100);
    /// After a write that failed.
    base::duration row_retry = std::chrono::milliseconds(500);
    /// Own crashes of the row, the newest ones: some 8 KB with 24 requests each, below what makes
    /// a change of a table a large one.
    std::size_t row_crashes = 16;
};

/// What it stands on; everything outlives it.
struct crash_exchange_ports {
    runtime::scheduler& scheduler;
    peer::transport& transport;
    platform::table& table;
    request_quarantine& quarantine;
    const owner_clock& clock;
};

/// Used from the event loop's thread; kept until the loop has ended.
class crash_exchange {
  public:
    crash_exchange(crash_exchange_ports ports, base::router_name self,
                   crash_exchange_settings settings = {});

    /// Called once, before any traffic.
    void start();
    void stop() { m_stopped = true; }

    /// Takes the routers that are present.
    void set_routers(const std::vector<peer_address>& present) { m_routers = present; }
    /// Takes a datagram that is news of crashes, or says so.
    void take(const base::endpoint& from, std::string_view bytes);
    /// Keeps a row until the owner's clock is known by a confirmation that follows it.
    void take_row(std::string value);
    void rows_confirmed();

    std::uint64_t malformed() const { return m_malformed; }
    std::uint64_t rows_written() const { return m_rows_written; }

  private:
    static constexpr std::string_view component = "relay.crashes";

    void tell(const core::quarantine::engine_crash& crash);
    void tell_cleared(const core::quarantine::request_identity& request);
    void learn_cleared(const core::quarantine::request_identity& request, std::string_view from);
    void learn_row(const std::string& value);
    /// @return whether an own crash named the request until now.
    bool forget_own(const core::quarantine::request_identity& request);
    void keep_own(const core::quarantine::engine_crash& crash);
    peer::told_crash told(const core::quarantine::engine_crash& crash) const;
    runtime::task<void> send_crash(core::quarantine::engine_crash crash);
    runtime::task<void> send_cleared(core::quarantine::request_identity request);
    void send_to_all(const peer::crash_news& news);
    void change_row();
    runtime::task<void> write_row();

    crash_exchange_ports m_ports;
    base::router_name m_self;
    crash_exchange_settings m_settings;
    std::vector<peer_address> m_routers;
    std::deque<core::quarantine::engine_crash> m_own;  ///< Those of the row.
    std::vector<std::string> m_unread_rows;
    bool m_row_changed = false;
    bool m_writing_row = false;
    std::uint64_t m_malformed = 0;
    std::uint64_t m_rows_written = 0;
    bool m_stopped = false;
};

}  // namespace ferryroad::relay
