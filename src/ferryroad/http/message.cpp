#include "ferryroad/http/message.hpp"

#include <boost/algorithm/string/predicate.hpp>

#include <algorithm>
#include <charconv>
#include <cstdint>

namespace ferryroad::http {

namespace {

bool is_unreserved(char byte) {
    const bool letter = (byte >= 'a' && byte <= 'z') || (byte >= 'A' && byte <= 'Z');
    const bool digit = byte >= '0' && byte <= '9';
    return letter || digit || byte == '-' || byte == '.' || byte == '_' || byte == '~';
}

/// @return the byte encoded by two hex digits; `nullopt` if they aren't valid.
std::optional<char> decode_byte(std::string_view digits) {
    std::uint8_t byte = 0;
    const auto* end = digits.data() + digits.size();
    const auto parsed = std::from_chars(digits.data(), end, byte, 16);
    if (digits.size() != 2 || parsed.ec != std::errc{} || parsed.ptr != end) {
        return std::nullopt;
    }
    return static_cast<char>(byte);
}

std::string decode_query_value(std::string_view text) {
    std::string spaced(text);
    std::replace(spaced.begin(), spaced.end(), '+', ' ');
    return decode_component(spaced);
}

}  // namespace

void header_list::add(std::string name, std::string value) {
    entries_.push_back(header{std::move(name), std::move(value)});
}

void header_list::set(std::string_view name, std::string value) {
    for (header& entry : entries_) {
        if (boost::algorithm::iequals(entry.name, name)) {
            entry.value = std::move(value);
            return;
        }
    }
    add(std::string(name), std::move(value));
}

std::optional<std::string_view> header_list::find(std::string_view name) const {
    for (const header& entry : entries_) {
        if (boost::algorithm::iequals(entry.name, name)) {
            return entry.value;
        }
    }
    return std::nullopt;
}

std::string_view request::path() const {
    return std::string_view(target).substr(0, target.find('?'));
}

std::optional<std::string> request::query(std::string_view name) const {
    const auto question = target.find('?');
    if (question == std::string::npos) {
        return std::nullopt;
    }
    std::string_view rest = std::string_view(target).substr(question + 1);
    while (!rest.empty()) {
        const std::string_view pair = rest.substr(0, rest.find('&'));
        rest.remove_prefix(std::min(rest.size(), pair.size() + 1));
        const std::string_view key = pair.substr(0, pair.find('='));
        if (decode_query_value(key) != name) {
            continue;
        }
        const std::size_t value_start = std::min(pair.size(), key.size() + 1);
        return decode_query_value(pair.substr(value_start));
    }
    return std::nullopt;
}

std::optional<std::size_t> content_length(const header_list& headers) {
    const auto text = headers.find("Content-Length");
    if (!text) {
        return std::nullopt;
    }
    std::size_t length = 0;
    const char* end = text->data() + text->size();
    const auto parsed = std::from_chars(text->data(), end, length);
    const bool valid = parsed.ec == std::errc{} && parsed.ptr == end;
    return valid ? std::optional(length) : std::nullopt;
}

std::string encode_component(std::string_view text) {
    constexpr std::string_view hex_digits = "0123456789ABCDEF";
    std::string encoded;
    encoded.reserve(text.size());
    for (const char byte : text) {
        if (is_unreserved(byte)) {
            encoded.push_back(byte);
            continue;
        }
        const auto number = static_cast<std::uint8_t>(byte);
        encoded.push_back('%');
        encoded.push_back(hex_digits[number >> 4U]);
        encoded.push_back(hex_digits[number & 15U]);
    }
    return encoded;
}

std::string decode_component(std::string_view text) {
    std::string decoded;
    decoded.reserve(text.size());
    for (std::size_t index = 0; index < text.size(); ++index) {
        const auto byte =
            text[index] == '%' ? decode_byte(text.substr(index + 1, 2)) : std::nullopt;
        if (byte) {
            decoded.push_back(*byte);
            index += 2;
        } else {
            decoded.push_back(text[index]);
        }
    }
    return decoded;
}

}  // namespace ferryroad::http
