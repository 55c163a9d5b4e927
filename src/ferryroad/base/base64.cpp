#include "ferryroad/base/base64.hpp"

#include <openssl/evp.h>

#include <cstddef>

namespace ferryroad::base {

namespace {

constexpr std::size_t bytes_per_group = 3;
constexpr std::size_t digits_per_group = 4;
constexpr std::string_view digits =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

const unsigned char* unsigned_bytes(std::string_view text) {
    return reinterpret_cast<const unsigned char*>(text.data());
}

/// @return the number of padding characters at the end of `text`.
std::size_t padding_of(std::string_view text) {
    if (text.ends_with("==")) {
        return 2;
    }
    return text.ends_with('=') ? 1 : 0;
}

}  // namespace

std::string to_base64(std::string_view bytes) {
    const std::size_t groups = (bytes.size() + bytes_per_group - 1) / bytes_per_group;
    // EVP_EncodeBlock appends a NUL, which is removed below.
    std::string text(groups * digits_per_group + 1, '\0');
    EVP_EncodeBlock(reinterpret_cast<unsigned char*>(text.data()), unsigned_bytes(bytes),
                    static_cast<int>(bytes.size()));
    text.pop_back();
    return text;
}

std::optional<std::string> from_base64(std::string_view text) {
    // EVP_DecodeBlock accepts padding anywhere and blanks around the text.
    const std::string_view unpadded = text.substr(0, text.size() - padding_of(text));
    if (text.size() % digits_per_group != 0 ||
        unpadded.find_first_not_of(digits) != std::string_view::npos) {
        return std::nullopt;
    }
    std::string bytes(text.size() / digits_per_group * bytes_per_group, '\0');
    const int written = EVP_DecodeBlock(reinterpret_cast<unsigned char*>(bytes.data()),
                                        unsigned_bytes(text), static_cast<int>(text.size()));
    if (written < 0) {
        return std::nullopt;
    }
    bytes.resize(bytes.size() - padding_of(text));
    return bytes;
}

}  // namespace ferryroad::base
