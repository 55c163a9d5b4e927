/// @file
/// The `byte_stream` of a client. Internal to this folder.
#pragma once

#include "ferryroad/http/client_exchange.hpp"

namespace ferryroad::http {

/// Reads the body of an exchange in blocks as they arrive.
class relayed_body final : public byte_stream {
  public:
    /// @param started an exchange whose response headers have arrived.
    explicit relayed_body(std::unique_ptr<exchange> started);

    unsigned status() const override { return m_status; }
    const header_list& headers() const override { return m_headers; }
    answer_attribution attribution() const override { return m_attribution; }
    bool ends_with_connection() const override { return m_ends_with_connection; }
    runtime::task<result<std::optional<std::string>>> next(base::duration limit) override;

  private:
    std::unique_ptr<exchange> m_exchange;
    unsigned m_status;
    header_list m_headers;
    answer_attribution m_attribution;
    bool m_ends_with_connection;
};

}  // namespace ferryroad::http
