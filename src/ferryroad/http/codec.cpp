#include "ferryroad/http/codec.hpp"

#include "ferryroad/runtime/process_limits.hpp"

#include <boost/algorithm/string/predicate.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>

#include <algorithm>
#include <array>
#include <iterator>
#include <sstream>
#include <stdexcept>

namespace ferryroad::http {

namespace {

namespace beast_http = boost::beast::http;

constexpr unsigned http_1_0_version = 10;
constexpr unsigned http_1_1_version = 11;

decode_state state_of(const boost::beast::error_code& failure) {
    if (failure == beast_http::error::header_limit) {
        return decode_state::headers_too_large;
    }
    if (failure == beast_http::error::body_limit) {
        return decode_state::body_too_large;
    }
    return decode_state::malformed;
}

/// Passes bytes to a Beast parser and updates `state`. @return the number of bytes consumed.
/// @param framing_limit for chunk headers and trailers, which Beast doesn't limit.
template <typename Parser>
std::size_t feed_parser(Parser& parser, std::string_view bytes, std::size_t framing_limit,
                        decode_state& state) {
    if (state != decode_state::need_more || bytes.empty()) {
        return 0;
    }
    boost::beast::error_code failure;
    const auto buffer = boost::asio::buffer(bytes.data(), bytes.size());
    const std::size_t consumed = parser.put(buffer, failure);
    if (failure && failure != beast_http::error::need_more) {
        state = state_of(failure);
    } else if (parser.is_done()) {
        state = decode_state::complete;
    } else if (bytes.size() - consumed > framing_limit) {
        state = decode_state::headers_too_large;
    }
    return consumed;
}

template <typename Message>
header_list headers_of(const Message& message) {
    header_list headers;
    for (const auto& field : message) {
        headers.add(std::string(field.name_string()), std::string(field.value()));
    }
    return headers;
}

/// @return whether the header is about message framing or the lifetime of this connection.
bool is_framing_header(std::string_view name) {
    constexpr std::array<std::string_view, 6> names = {
        "Connection", "Content-Length", "Transfer-Encoding", "Keep-Alive", "Upgrade", "Trailer"};
    return std::any_of(names.begin(), names.end(), [name](std::string_view framing_name) {
        return boost::algorithm::iequals(name, framing_name);
    });
}

void check_header(const header& entry) {
    constexpr std::string_view forbidden("\r\n\0", 3);
    const bool bad_name =
        entry.name.empty() || entry.name.find_first_of(": \t\r\n") != std::string::npos;
    if (bad_name || entry.value.find_first_of(forbidden) != std::string::npos) {
        throw std::invalid_argument("header \"" + entry.name + "\" has an invalid name or value");
    }
}

template <typename Message>
void add_headers(Message& message, const header_list& headers) {
    for (const header& entry : headers.entries()) {
        check_header(entry);
        if (!is_framing_header(entry.name)) {
            message.insert(entry.name, entry.value);
        }
    }
}

template <typename Message>
std::string head_text(const Message& message) {
    std::ostringstream text;
    text << message.base();
    return text.str();
}

std::string_view to_view(boost::beast::string_view text) {
    return {text.data(), text.size()};
}

/// @return whether the end of the body can be known: a transfer coding other than chunked, which
/// Beast does not report, hides it, and would be left on the body.
template <typename Message>
bool has_known_framing(const Message& message) {
    const auto codings = message.equal_range(beast_http::field::transfer_encoding);
    return std::all_of(codings.first, codings.second, [&](const auto& field) {
        return message.version() >= http_1_1_version &&
               boost::algorithm::iequals(to_view(field.value()), "chunked") &&
               std::next(codings.first) == codings.second;
    });
}

/// @return whether the text contains the protocol version and the status of a response.
bool has_status_line(std::string_view text) {
    constexpr std::string_view protocol = "HTTP/1.";
    constexpr std::size_t minor_and_space = 2;
    constexpr std::size_t status_digits = 3;
    for (auto at = text.find(protocol); at != std::string_view::npos;
         at = text.find(protocol, at + 1)) {
        const std::string_view rest = text.substr(at + protocol.size());
        const std::string_view status = rest.substr(std::min(rest.size(), minor_and_space));
        const bool has_digits =
            status.size() >= status_digits &&
            std::all_of(status.begin(), status.begin() + status_digits,
                        [](char digit) { return digit >= '0' && digit <= '9'; });
        if (has_digits && rest[1] == ' ') {
            return true;
        }
    }
    return false;
}

/// @return whether the status is defined, and possible without a change of protocol.
bool is_expected_status(unsigned status) {
    constexpr unsigned first_status = 100;
    constexpr unsigned switching_protocols = 101;
    constexpr unsigned last_status = 599;
    return status >= first_status && status <= last_status && status != switching_protocols;
}

/// A server that sends more interim responses than this before a final one is faulty.
constexpr std::uint32_t max_interim_responses = 100;

bool has_body_by_method(std::string_view method) {
    return method == "POST" || method == "PUT" || method == "PATCH";
}

}  // namespace

struct request_decoder::parser {
    beast_http::request_parser<beast_http::string_body> native;
};

request_decoder::request_decoder(std::size_t header_bytes, std::size_t body_bytes)
    : header_bytes_(header_bytes), parser_(std::make_unique<parser>()) {
    parser_->native.eager(true);
    parser_->native.header_limit(static_cast<std::uint32_t>(header_bytes));
    parser_->native.body_limit(body_bytes);
}

request_decoder::~request_decoder() = default;

std::size_t request_decoder::feed(std::string_view bytes) {
    const bool had_head = headers_complete();
    const std::size_t consumed = feed_parser(parser_->native, bytes, header_bytes_, state_);
    if (!had_head) {
        head_bytes_ += consumed;
        if (headers_complete() && !has_known_framing(parser_->native.get())) {
            state_ = decode_state::malformed;
        }
    }
    return consumed;
}

std::size_t request_decoder::buffered_bytes() const {
    const std::string& body = parser_->native.get().body();
    // With a length, the capacity is what the client announced.
    return head_bytes_ + (parser_->native.chunked() ? runtime::memory_of(body) : body.size());
}

decode_state request_decoder::state() const {
    return state_;
}

bool request_decoder::expects_continue() const {
    if (!parser_->native.is_header_done() || state_ != decode_state::need_more) {
        return false;
    }
    const auto& message = parser_->native.get();
    return boost::algorithm::iequals(std::string_view(message[beast_http::field::expect].data(),
                                                      message[beast_http::field::expect].size()),
                                     "100-continue");
}

bool request_decoder::keep_alive() const {
    return parser_->native.keep_alive();
}

bool request_decoder::headers_complete() const {
    return parser_->native.is_header_done();
}

bool request_decoder::accepts_chunks() const {
    return parser_->native.get().version() >= http_1_1_version;
}

request request_decoder::take() {
    auto& native = parser_->native.get();
    request message;
    message.method = std::string(native.method_string());
    message.target = std::string(native.target());
    message.headers = headers_of(native);
    message.body = std::move(native.body());
    return message;
}

struct response_decoder::parser {
    beast_http::response_parser<beast_http::string_body> native;
};

response_decoder::response_decoder(limits limit, bool answers_head)
    : limit_(limit), answers_head_(answers_head) {
    restart();
}

response_decoder::~response_decoder() = default;

void response_decoder::restart() {
    interim_responses_ = 0;
    start_parser();
}

void response_decoder::start_parser() {
    parser_ = std::make_unique<parser>();
    parser_->native.eager(true);
    parser_->native.header_limit(static_cast<std::uint32_t>(limit_.header_bytes));
    if (limit_.body_bytes) {
        parser_->native.body_limit(*limit_.body_bytes);
    } else {
        parser_->native.body_limit(boost::none);
    }
    parser_->native.skip(answers_head_);
    invalid_head_ = false;
    state_ = decode_state::need_more;
}

std::size_t response_decoder::feed(std::string_view bytes) {
    started_ = started_ || !bytes.empty();
    std::size_t consumed = 0;
    for (;;) {
        const bool had_head = parser_->native.is_header_done();
        consumed +=
            feed_parser(parser_->native, bytes.substr(consumed), limit_.header_bytes, state_);
        if (!had_head && parser_->native.is_header_done() && !is_head_valid()) {
            invalid_head_ = true;
            state_ = decode_state::malformed;
        }
        const bool is_interim = state_ == decode_state::complete && status() < 200;
        if (!is_interim) {
            return consumed;
        }
        if (++interim_responses_ > max_interim_responses) {
            state_ = decode_state::malformed;
            return consumed;
        }
        start_parser();
    }
}

bool response_decoder::is_head_valid() const {
    return is_expected_status(status()) && !contains_status_line() &&
           has_known_framing(parser_->native.get());
}

bool response_decoder::contains_status_line() const {
    const auto& head = parser_->native.get();
    return has_status_line(to_view(head.reason())) ||
           std::any_of(head.begin(), head.end(),
                       [](const auto& field) { return has_status_line(to_view(field.value())); });
}

decode_state response_decoder::state() const {
    return state_;
}

bool response_decoder::started() const {
    return started_;
}

bool response_decoder::headers_complete() const {
    return parser_->native.is_header_done() && status() >= 200 && !invalid_head_;
}

unsigned response_decoder::status() const {
    return parser_->native.get().result_int();
}

header_list response_decoder::headers() const {
    return headers_of(parser_->native.get());
}

std::string response_decoder::take_body() {
    std::string bytes;
    bytes.swap(parser_->native.get().body());
    return bytes;
}

bool response_decoder::keep_alive() const {
    return parser_->native.keep_alive();
}

bool response_decoder::is_unbounded() const {
    return parser_->native.need_eof();
}

void response_decoder::finish() {
    if (state_ != decode_state::need_more) {
        return;
    }
    boost::beast::error_code failure;
    if (parser_->native.is_header_done()) {
        parser_->native.put_eof(failure);
    }
    state_ = parser_->native.is_done() ? decode_state::complete : decode_state::malformed;
}

bool is_bodiless(unsigned status) {
    constexpr unsigned no_content = 204;
    constexpr unsigned not_modified = 304;
    return status < 200 || status == no_content || status == not_modified;
}

std::string encode_head(const response_head& head) {
    beast_http::response<beast_http::empty_body> native;
    native.version(head.http_1_0 ? http_1_0_version : http_1_1_version);
    native.result(head.status);
    add_headers(native, *head.headers);
    if (head.body_framing == framing::chunks) {
        native.chunked(true);
    } else if (head.body_framing == framing::length && !is_bodiless(head.status)) {
        native.content_length(head.body_bytes);
    }
    native.keep_alive(head.keep_alive);
    return head_text(native);
}

std::string encode_head(const request& message, const std::string& host) {
    beast_http::request<beast_http::empty_body> native;
    if (message.target.empty() ||
        message.target.find_first_of(std::string_view(" \r\n\0", 4)) != std::string::npos) {
        throw std::invalid_argument("request target \"" + message.target +
                                    "\" is empty or has an invalid character");
    }
    native.version(http_1_1_version);
    native.method_string(message.method);
    native.target(message.target);
    if (!message.headers.find("Host")) {
        native.set(beast_http::field::host, host);
    }
    add_headers(native, message.headers);
    if (!message.body.empty() || has_body_by_method(message.method)) {
        native.content_length(message.body.size());
    }
    return head_text(native);
}

std::string encode_chunk(std::string_view bytes) {
    std::ostringstream text;
    text << std::hex << bytes.size() << "\r\n" << bytes << "\r\n";
    return text.str();
}

}  // namespace ferryroad::http
