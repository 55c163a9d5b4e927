#include "ferryroad/relay/table_server.hpp"

#include "ferryroad/runtime/boot_clock.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <utility>
#include <vector>

namespace ferryroad::relay {

using coordination::reading::record;
using coordination::reading::table_mirror;

namespace {

std::size_t bytes_of(const std::vector<record>& rows) {
    std::size_t bytes = 0;
    for (const record& row : rows) {
        bytes += row.key.size() + row.value.size();
    }
    return bytes;
}

}  // namespace

/// A call that waits for changes. It is registered with its table as long as it lives.
class table_server::held_call {
  public:
    held_call(runtime::scheduler& scheduler, table_pointer table, std::uint64_t number)
        : m_table(std::move(table)), m_number(number), m_timer(scheduler.executor()) {
        m_table->held.emplace(m_number, this);
    }
    ~held_call() { m_table->held.erase(m_number); }
    held_call(const held_call&) = delete;
    held_call& operator=(const held_call&) = delete;

    /// Returns once woken, or after `timeout`.
    runtime::task<void> wait(base::duration timeout) {
        m_timer.expires_after(timeout);
        co_await m_timer.async_wait(boost::asio::as_tuple(boost::asio::use_awaitable));
    }
    void wake() { m_timer.cancel(); }

  private:
    table_pointer m_table;
    std::uint64_t m_number;
    runtime::boot_timer m_timer;
};

table_server::table_server(runtime::scheduler& scheduler, peer::transport& transport,
                           table_server_settings settings)
    : m_scheduler(scheduler), m_transport(transport), m_settings(settings) {}

void table_server::offer(const std::string& table, const table_mirror& copy) {
    m_tables[table] = std::make_shared<offered_table>(offered_table{&copy, false, {}, {}});
}

void table_server::start() {
    m_transport.on_call([this](peer::message_bytes request) { return answer(std::move(request)); });
}

void table_server::stop() {
    m_stopped = true;
    for (const auto& [name, table] : m_tables) {
        news(name);
    }
}

void table_server::news(const std::string& table) {
    const auto found = m_tables.find(table);
    if (found != m_tables.end()) {
        offered_table& offered = *found->second;
        offered.large_change_at_owner = false;
        if (offered.packed && offered.packed->selected.revision != offered.copy->revision()) {
            offered.packed.reset();
        }
        wake_all(*found->second);
    }
}

void table_server::notify_large_change(const std::string& table) {
    const auto found = m_tables.find(table);
    if (found != m_tables.end()) {
        found->second->large_change_at_owner = true;
        wake_all(*found->second);
    }
}

void table_server::wake_all(const offered_table& table) {
    for (const auto& [number, call] : table.held) {
        call->wake();
    }
}

/// A caller that knows more than this copy has already read what the owner was sending.
bool table_server::should_redirect(const offered_table& table,
                                   const peer::table_request& request) const {
    return request.may_redirect && table.large_change_at_owner &&
           request.after <= table.copy->version();
}

runtime::task<peer::message_bytes> table_server::answer(peer::message_bytes bytes) {
    const base::monotonic_time received_at = m_scheduler.now();
    const auto request = peer::decode_table_request(bytes);
    if (!request) {
        ++m_malformed;
        co_return peer::message_bytes();  // Closes the connection.
    }
    ++m_answers;
    const auto found = m_tables.find(request->table);
    if (found == m_tables.end()) {
        co_return peer::encode(peer::table_answer{});
    }
    const table_pointer table = found->second;
    if (should_hold(*table, *request) && table->held.size() < m_settings.max_held_calls) {
        const auto timeout = std::min<base::duration>(request->hold, m_settings.max_hold);
        co_await hold(table, timeout);
    }
    co_return peer::encode(make_answer(*table, *request, received_at));
}

/// Without a copy, calls for changes are not held, as the caller turns to another source. Calls for
/// the whole table are: they come from routers that have just started and have no other source.
bool table_server::should_hold(const offered_table& table,
                               const peer::table_request& request) const {
    if (m_stopped) {
        return false;
    }
    if (!table.copy->confirmed()) {
        return request.whole;
    }
    const bool has_changes = request.whole || table.copy->has_changes_after(request.after);
    return !has_changes && !should_redirect(table, request);
}

runtime::task<void> table_server::hold(table_pointer table, base::duration timeout) {
    held_call call(m_scheduler, std::move(table), m_next_call++);
    co_await call.wait(timeout);
}

void table_server::select_rows(offered_table& table, const peer::table_request& request,
                               peer::table_answer& answer) const {
    auto changes = request.whole ? std::nullopt : table.copy->changes_after(request.after);
    answer.whole = !changes.has_value();
    const row_selection selection{table.copy->revision(), answer.whole,
                                  answer.whole ? 0 : request.after};
    if (request.may_pack && table.packed && table.packed->selected == selection) {
        answer.packed = table.packed->rows;
        return;
    }
    answer.rows = changes ? std::move(*changes) : table.copy->rows();
    if (request.may_pack && bytes_of(answer.rows) >= m_settings.min_packed_bytes) {
        table.packed = packed_selection{selection, peer::pack(answer.rows)};
        answer.packed = table.packed->rows;
        answer.rows.clear();
    }
}

peer::table_answer table_server::make_answer(offered_table& table,
                                             const peer::table_request& request,
                                             base::monotonic_time received_at) const {
    peer::table_answer answer;
    const auto& confirmed = table.copy->confirmed();
    if (!confirmed || m_stopped) {
        return answer;
    }
    answer.known = true;
    select_rows(table, request, answer);
    const std::size_t bytes = answer.packed ? answer.packed->block.size() : bytes_of(answer.rows);
    answer.at_owner = should_redirect(table, request) ||
                      (request.may_redirect && bytes > m_settings.max_relayed_bytes);
    if (answer.at_owner) {
        answer.rows.clear();
        answer.packed.reset();
    }
    answer.version = confirmed->version;
    answer.confirmed_after =
        std::chrono::floor<std::chrono::microseconds>(confirmed->as_of - received_at);
    answer.owner_time = confirmed->owner_time;
    return answer;
}

}  // namespace ferryroad::relay
