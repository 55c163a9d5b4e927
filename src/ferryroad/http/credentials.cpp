#include "ferryroad/http/credentials.hpp"

#include <boost/algorithm/string/predicate.hpp>

#include <algorithm>

namespace ferryroad::http {

namespace {

constexpr std::string_view white_space = " \t";

std::string_view trimmed(std::string_view text) {
    const auto first = text.find_first_not_of(white_space);
    if (first == std::string_view::npos) {
        return {};
    }
    return text.substr(first, text.find_last_not_of(white_space) - first + 1);
}

/// @return the key of one line, or nothing if the line isn't one key of the scheme.
std::optional<std::string> key_in(std::string_view line, std::string_view scheme) {
    const std::string_view text = trimmed(line);
    const std::string_view named = text.substr(0, text.find_first_of(white_space));
    const std::string_view key = trimmed(text.substr(named.size()));
    const bool is_one_word = key.find_first_of(white_space) == std::string_view::npos;
    if (!boost::algorithm::iequals(named, scheme) || key.empty() || !is_one_word) {
        return std::nullopt;
    }
    return std::string(key);
}

}  // namespace

credentials read_credentials(const header_list& headers, std::string_view scheme) {
    constexpr std::string_view name = "Authorization";
    const auto lines =
        std::count_if(headers.entries().begin(), headers.entries().end(),
                      [&](const header& one) { return boost::algorithm::iequals(one.name, name); });
    credentials read;
    if (lines == 1) {
        read.key = key_in(*headers.find(name), scheme);
    }
    read.invalid = lines > 0 && !read.key;
    return read;
}

}  // namespace ferryroad::http
