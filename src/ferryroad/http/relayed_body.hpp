/// @file
/// The body of a relayed answer. Internal to this folder.
#pragma once

#include "ferryroad/http/client_exchange.hpp"

namespace ferryroad::http {

class relayed_body final : public byte_stream {
  public:
    /// @param started whose headers have come.
    explicit relayed_body(std::unique_ptr<exchange> started);

    unsigned status() const override { return m_status; }
    const header_list& headers() const override { return m_headers; }
    runtime::task<result<std::optional<std::string>>> next(base::duration limit) override;

  private:
    std::unique_ptr<exchange> m_exchange;
    unsigned m_status;
    header_list m_headers;
};

}  // namespace ferryroad::http
