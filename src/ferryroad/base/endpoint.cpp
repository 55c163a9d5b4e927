#include "ferryroad/base/endpoint.hpp"

#include <boost/asio/ip/address.hpp>

#include <charconv>

namespace ferryroad::base {

std::string endpoint::to_string() const {
    const bool is_v6 = address.find(':') != std::string::npos;
    const std::string host = is_v6 ? "[" + address + "]" : address;
    return host + ":" + std::to_string(port);
}

std::optional<endpoint> endpoint::parse(std::string_view text) {
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        return std::nullopt;
    }
    std::string_view host = text.substr(0, colon);
    const std::string_view port_text = text.substr(colon + 1);
    if (host.size() >= 2 && host.front() == '[' && host.back() == ']') {
        host = host.substr(1, host.size() - 2);
    }
    boost::system::error_code failure;
    boost::asio::ip::make_address(host, failure);
    std::uint16_t port = 0;
    const auto* end = port_text.data() + port_text.size();
    const auto parsed = std::from_chars(port_text.data(), end, port);
    if (failure || parsed.ec != std::errc{} || parsed.ptr != end) {
        return std::nullopt;
    }
    return endpoint{std::string(host), port};
}

}  // namespace ferryroad::base
