/// @file
/// HTTP/1.1 text to messages and back. Internal to this folder; Beast stays in codec.cpp.
/// No I/O: bytes are fed in as they come.
#pragma once

#include "ferryroad/http/message.hpp"

#include <cstddef>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace ferryroad::http {

enum class decode_state { need_more, complete, headers_too_large, body_too_large, malformed };

/// Decodes one request.
class request_decoder {
  public:
    request_decoder(std::size_t header_bytes, std::size_t body_bytes);
    ~request_decoder();
    request_decoder(const request_decoder&) = delete;
    request_decoder& operator=(const request_decoder&) = delete;

    /// @param bytes all that was received and not consumed yet. @return bytes consumed.
    std::size_t feed(std::string_view bytes);
    decode_state state() const;
    /// @return whether the sender waits for `100 Continue` before it sends the body.
    bool expects_continue() const;
    bool keep_alive() const;
    /// @return whether the head has come whole.
    bool headers_complete() const;
    /// @return whether the sender understands chunked bodies (HTTP/1.1).
    bool accepts_chunks() const;
    /// @return the request; once, when `complete`.
    request take();

  private:
    struct parser;
    std::unique_ptr<parser> parser_;
    decode_state state_ = decode_state::need_more;
};

/// Decodes one final answer; interim ones (1xx) are passed over.
class response_decoder {
  public:
    struct limits {
        std::size_t header_bytes;
        std::optional<std::size_t> body_bytes;  ///< None for streams.
    };

    /// @param answers_head whether the request was HEAD, whose answer has no body.
    response_decoder(limits limit, bool answers_head);
    ~response_decoder();
    response_decoder(const response_decoder&) = delete;
    response_decoder& operator=(const response_decoder&) = delete;

    std::size_t feed(std::string_view bytes);
    decode_state state() const;
    /// @return whether any byte of an answer was seen.
    bool started() const;
    bool headers_complete() const;
    unsigned status() const;
    header_list headers() const;
    /// @return the body's bytes since the last call.
    std::string take_body();
    /// @return whether the connection may carry another request.
    bool keep_alive() const;
    /// @return whether the body's end can't be told from a cut: it has neither a length nor
    /// chunks.
    bool is_unbounded() const;
    /// The other side ended its sending in order: completes an unbounded body, and makes any
    /// other that is not complete `malformed`.
    void finish();
    /// Begins anew with the next answer of the same connection.
    void restart();

  private:
    struct parser;

    limits limit_;
    bool answers_head_;
    bool started_ = false;
    std::unique_ptr<parser> parser_;
    decode_state state_ = decode_state::need_more;
};

/// How an answer's body is framed on the wire.
enum class framing {
    length,      ///< Content-Length.
    chunks,      ///< Transfer-Encoding: chunked.
    until_close  ///< HTTP/1.0 streams.
};

struct answer_head {
    unsigned status = 200;
    const header_list* headers = nullptr;
    framing body_framing = framing::length;
    std::size_t body_bytes = 0;  ///< For `framing::length`.
    bool keep_alive = true;
    bool http_1_0 = false;
};

/// @return the head's text with its empty line. Framing headers of the list are left out:
/// they are set here. @throws std::invalid_argument for a header with a line end in it.
std::string encode_head(const answer_head& head);
/// @return as above, for a request. @param host for the Host header, unless the list has one.
std::string encode_head(const request& message, const std::string& host);

/// @return one chunk with its size line.
std::string encode_chunk(std::string_view bytes);
/// The chunk that ends a body.
constexpr std::string_view last_chunk = "0\r\n\r\n";

/// @return whether an answer of that status never has a body.
bool is_bodiless(unsigned status);

}  // namespace ferryroad::http
