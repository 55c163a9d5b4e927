/// @file
/// HTTP messages. Independent of Beast, so that only this folder's sources include it.
#pragma once

#include <optional>
#include <string>
#include <string_view>
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

struct request {
    std::string method = "GET";
    std::string target = "/";  ///< Path with query, as sent.
    header_list headers;
    std::string body;

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

/// @return `text` with all bytes except letters, digits and `-._~` percent-encoded, for use as one
/// path segment or query value.
std::string encode_component(std::string_view text);
/// @return `text` with its percent-encoded bytes decoded; an invalid escape is kept as it is.
std::string decode_component(std::string_view text);

}  // namespace ferryroad::http
