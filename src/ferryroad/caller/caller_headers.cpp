#include "ferryroad/caller/caller_headers.hpp"

#include "ferryroad/caller/errors.hpp"
#include "ferryroad/http/credentials.hpp"

#include <boost/leaf/error.hpp>

#include <algorithm>
#include <string_view>
#include <utility>

namespace ferryroad::caller {

namespace leaf = boost::leaf;

namespace {

constexpr std::string_view bearer_scheme = "Bearer";

bool is_visible(std::string_view text) {
    return std::all_of(text.begin(), text.end(),
                       [](unsigned char letter) { return letter > ' ' && letter < 0x7f; });
}

}  // namespace

leaf::result<caller_headers> read_caller_headers(const http::header_list& headers,
                                                 const tunables& limits) {
    caller_headers read;
    http::credentials credentials = http::read_credentials(headers, bearer_scheme);
    if (!credentials.key) {
        return leaf::new_error(
            error{error_code::missing_key, "Expected the header Authorization: Bearer KEY."});
    }
    read.bearer_key = std::move(*credentials.key);
    const auto key = headers.find("Idempotency-Key");
    if (key) {
        if (key->empty() || key->size() > limits.idempotency_key_bytes || !is_visible(*key)) {
            return leaf::new_error(
                error{error_code::invalid_header, "Idempotency-Key: expected 1 to " +
                                                      std::to_string(limits.idempotency_key_bytes) +
                                                      " visible ASCII characters without spaces."});
        }
        read.key = base::idempotency_key(std::string(*key));
    }
    return read;
}

}  // namespace ferryroad::caller
