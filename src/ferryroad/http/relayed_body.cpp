#include "ferryroad/http/relayed_body.hpp"

namespace ferryroad::http {

relayed_body::relayed_body(std::unique_ptr<exchange> started)
    : m_exchange(std::move(started)),
      m_status(m_exchange->decoder().status()),
      m_headers(m_exchange->decoder().headers()),
      m_attribution(m_exchange->attribution()),
      m_ends_with_connection(m_exchange->decoder().is_unbounded()) {}

runtime::task<result<std::optional<std::string>>> relayed_body::next(base::duration limit) {
    const base::monotonic_time deadline = m_exchange->deadline_after(limit);
    for (;;) {
        std::string bytes = m_exchange->decoder().take_body();
        if (!bytes.empty()) {
            co_return std::optional<std::string>(std::move(bytes));
        }
        if (m_exchange->is_complete()) {
            co_return std::optional<std::string>();
        }
        const auto read = co_await m_exchange->read_some(deadline);
        if (!read) {
            co_return read.error();
        }
    }
}

}  // namespace ferryroad::http
