/// @file
/// The `response_stream` of a client. Internal to this folder.
#pragma once

#include "ferryroad/http/client_exchange.hpp"

namespace ferryroad::http {

/// Size limits in bytes, for one line and for `read_rest`.
struct line_limits {
    std::size_t line_bytes;
    std::size_t rest_bytes;
};

/// Splits the body of an exchange into lines.
class line_stream final : public response_stream {
  public:
    /// @param started an exchange whose response headers have arrived.
    line_stream(std::unique_ptr<exchange> started, line_limits limits);

    unsigned status() const override { return status_; }
    const header_list& headers() const override { return headers_; }
    runtime::task<result<std::optional<std::string>>> next_line(base::duration limit) override;
    runtime::task<result<std::string>> read_rest(base::duration limit) override;

  private:
    void take_body();
    std::optional<std::string> take_line();

    std::unique_ptr<exchange> exchange_;
    line_limits limits_;
    unsigned status_;
    header_list headers_;
    std::string pending_;       ///< Body bytes not returned yet.
    std::size_t searched_ = 0;  ///< Length of the prefix of `pending_` known to have no line end.
};

}  // namespace ferryroad::http
