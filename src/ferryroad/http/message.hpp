/// @file
/// HTTP messages. Independent of Beast, so that only this folder's sources include it.
#pragma once

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace ferryroad::http {

struct header {
    std::string name;
    std::string value;
};

/// Headers in order of arrival. Names are compared case-insensitively.
class header_list {
  public:
    header_list() = default;
    header_list(std::initializer_list<header> initial) : entries_(initial) {}
    void add(std::string name, std::string value);
    /// Sets the value of the first header of that name, or adds the header.
    void set(std::string_view name, std::string value);
    /// @return the value of the first header of that name.
    std::optional<std::string_view> find(std::string_view name) const;
    const std::vector<header>& entries() const { return entries_; }

  private:
    std::vector<header> entries_;
};

/// Immutable bytes. Copies share them, so that a request which is sent several times takes its
/// memory once. Thread-safe.
class shared_bytes {
  public:
    shared_bytes() = default;
    shared_bytes(std::string bytes)
        : m_bytes(bytes.empty() ? nullptr : std::make_shared<const std::string>(std::move(bytes))) {
    }
    shared_bytes(const char* text) : shared_bytes(std::string(text)) {}

    std::string_view view() const {
        return m_bytes == nullptr ? std::string_view() : std::string_view(*m_bytes);
    }
    operator std::string_view() const { return view(); }
    std::string to_string() const { return std::string(view()); }
    std::size_t size() const { return view().size(); }
    bool empty() const { return m_bytes == nullptr; }

    friend bool operator==(const shared_bytes& left, const shared_bytes& right) {
        return left.view() == right.view();
    }
    friend bool operator==(const shared_bytes& left, std::string_view right) {
        return left.view() == right;
    }
    friend bool operator==(const shared_bytes& left, const char* right) {
        return left.view() == right;
    }

  private:
    std::shared_ptr<const std::string> m_bytes;  ///< Null if there are none.
};

struct request {
    std::string method = "GET";
    std::string target = "/";  ///< Path with query, as sent.
    header_list headers;
    shared_bytes body;

    /// @return the target without its query.
    std::string_view path() const;
    /// @return the decoded value of the first query parameter of that name.
    std::optional<std::string> query(std::string_view name) const;
};

struct response {
    unsigned status = 200;
    header_list headers;
    std::string body;
};

/// @return the value of the Content-Length header, if it is a valid one.
std::optional<std::size_t> content_length(const header_list& headers);

/// @return `text` with all bytes except letters, digits and `-._~` percent-encoded, for use as one
/// path segment or query value.
std::string encode_component(std::string_view text);
/// @return `text` with its percent-encoded bytes decoded; an invalid escape is kept as it is.
std::string decode_component(std::string_view text);

}  // namespace ferryroad::http
