/// @file
/// Decoders and encoders for HTTP/1.1 messages. They do no I/O: received bytes are passed to
/// `feed`. Internal to this folder; Beast is used in codec.cpp only.
#pragma once

#include "ferryroad/http/message.hpp"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace ferryroad::http {

/// State of a decoder; the last three are errors.
enum class decode_state { need_more, complete, headers_too_large, body_too_large, malformed };

/// Decodes one request. The limits are in bytes.
class request_decoder {
  public:
    request_decoder(std::size_t header_bytes, std::size_t body_bytes);
    ~request_decoder();
    request_decoder(const request_decoder&) = delete;
    request_decoder& operator=(const request_decoder&) = delete;

    /// A request with a transfer coding other than chunked is `malformed`.
    /// @param bytes all bytes received and not consumed yet. @return the number of bytes consumed.
    std::size_t feed(std::string_view bytes);
    decode_state state() const;
    /// @return whether the client waits for `100 Continue` before it sends the body.
    bool expects_continue() const;
    /// @return whether the client accepts that the connection stays open after the response.
    bool keep_alive() const;
    /// @return whether the request head is complete.
    bool headers_complete() const;
    /// @return whether the client understands chunked encoding (HTTP/1.1).
    bool accepts_chunks() const;
    /// @return the memory that the decoded part of the request takes, in bytes; too many by the
    /// part of the body that arrived together with the end of the head.
    std::size_t buffered_bytes() const;
    /// @return the request. Call it once, in state `complete`.
    request take();

  private:
    struct parser;
    std::size_t header_bytes_;
    std::size_t head_bytes_ = 0;
    std::unique_ptr<parser> parser_;
    decode_state state_ = decode_state::need_more;
};

/// Decodes one final response; interim responses (1xx) are skipped, up to a limit.
class response_decoder {
  public:
    struct limits {
        std::size_t header_bytes;
        std::optional<std::size_t> body_bytes;  ///< `nullopt`: unlimited, for streams.
    };

    /// @param answers_head whether the request method is HEAD, whose response has no body.
    response_decoder(limits limit, bool answers_head);
    ~response_decoder();
    response_decoder(const response_decoder&) = delete;
    response_decoder& operator=(const response_decoder&) = delete;

    /// A head that contains a second status line is `malformed`: a response that stopped inside its
    /// head was followed by another one. So is one with a status below 100 or above 599, and one
    /// with 101, as no request asks for another protocol, and one with a transfer coding other than
    /// chunked.
    /// @param bytes all bytes received and not consumed yet. @return the number of bytes consumed.
    std::size_t feed(std::string_view bytes);
    decode_state state() const;
    /// @return whether any byte of a response was fed.
    bool started() const;
    /// @return whether the head of the final response is complete.
    bool headers_complete() const;
    unsigned status() const;
    header_list headers() const;
    /// @return the bytes of the body that were decoded since the last call.
    std::string take_body();
    /// @return whether the server keeps the connection open for another request.
    bool keep_alive() const;
    /// @return whether the body ends where the connection is closed, as it has neither a length nor
    /// chunks. Its end can't be distinguished from a lost connection.
    bool is_unbounded() const;
    /// Reports that the peer ended its stream without a reset. An unbounded body becomes
    /// `complete`, any other incomplete response `malformed`.
    void finish();
    /// Resets the decoder for the next response on the same connection.
    void restart();

  private:
    struct parser;

    void start_parser();
    /// @return whether the complete head can be that of a response.
    bool is_head_valid() const;
    /// @return whether the complete head contains the status line of another response.
    bool contains_status_line() const;

    limits limit_;
    bool answers_head_;
    bool started_ = false;
    bool invalid_head_ = false;
    std::uint32_t interim_responses_ = 0;  ///< Since the last final response.
    std::unique_ptr<parser> parser_;
    decode_state state_ = decode_state::need_more;
};

/// How the body of a response is framed on the wire.
enum class framing {
    length,      ///< Content-Length.
    chunks,      ///< Transfer-Encoding: chunked.
    until_close  ///< Ends when the connection is closed; for HTTP/1.0 streams.
};

/// The status line and headers of a response to encode.
struct response_head {
    unsigned status = 200;
    const header_list* headers = nullptr;
    framing body_framing = framing::length;
    std::size_t body_bytes = 0;  ///< For `framing::length`.
    bool keep_alive = true;
    bool http_1_0 = false;
};

/// @return the encoded head with the empty line that ends it. Framing headers in the list are
/// ignored, as this function sets them.
/// @throws std::invalid_argument for a header with an invalid name or with a line end or NUL in it.
std::string encode_head(const response_head& head);
/// As above, for a request. @param host value of the Host header, unless the list has one.
/// @throws std::invalid_argument also for an empty target or one with a space, line end or NUL.
std::string encode_head(const request& message, const std::string& host);

/// @return `bytes` as one chunk of chunked encoding.
std::string encode_chunk(std::string_view bytes);
/// The zero-length chunk that ends a chunked body.
constexpr std::string_view last_chunk = "0\r\n\r\n";

/// @return whether a response with that status never has a body (1xx, 204, 304).
bool is_bodiless(unsigned status);

}  // namespace ferryroad::http
