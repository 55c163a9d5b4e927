#include "ferryroad/base/digest.hpp"

#include <openssl/sha.h>

#include <array>

namespace ferryroad::base {

std::string sha256_hex(std::string_view bytes) {
    static constexpr std::string_view digits = "0123456789abcdef";
    std::array<unsigned char, SHA256_DIGEST_LENGTH> digest{};
    SHA256(reinterpret_cast<const unsigned char*>(bytes.data()), bytes.size(), digest.data());
    std::string hex;
    hex.reserve(digest.size() * 2);
    for (const unsigned char byte : digest) {
        hex.push_back(digits[byte >> 4U]);
        hex.push_back(digits[byte & 0xFU]);
    }
    return hex;
}

}  // namespace ferryroad::base
