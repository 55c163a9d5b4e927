/// @file
/// HTTP messages apart from Beast, so that only this folder's sources include Beast.
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

/// Headers in order of arrival; names compare without case.
class header_list {
  public:
    header_list() = default;
    header_list(std::initializer_list<header> initial) : entries_(initial) {}
    void add(std::string name, std::string value);
    /// Gives the first header of that name another value, or adds one.
    void set(std::string_view name, std::string value);
    /// @return the first value of that name.
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

    /// @return the target up to the query.
    std::string_view path() const;
    /// @return the decoded value of a query parameter.
    std::optional<std::string> query(std::string_view name) const;
};

struct response {
    unsigned status = 200;
    header_list headers;
    std::string body;
};

/// @return `text` with every byte but letters, digits and `-._~` percent-encoded, for one
/// path segment or one query value.
std::string encode_component(std::string_view text);
/// @return `text` with its percent-encoded bytes decoded; a broken escape stays as it is.
std::string decode_component(std::string_view text);

}  // namespace ferryroad::http
