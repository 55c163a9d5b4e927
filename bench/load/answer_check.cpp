#include "bench/load/answer_check.hpp"

#include "ferryroad/base/digest.hpp"

namespace ferryroad::bench::load {

namespace {

constexpr std::size_t digest_digits = 8;

std::string digest_of(std::string_view prompt) {
    return base::sha256_hex(prompt).substr(0, digest_digits);
}

std::string token_text(const std::string& digest, std::uint32_t index) {
    return digest + "." + std::to_string(index) + " ";
}

}  // namespace

std::string expected_answer(std::string_view prompt, std::uint32_t tokens) {
    const std::string digest = digest_of(prompt);
    std::string answer;
    for (std::uint32_t index = 0; index < tokens; ++index) {
        answer += token_text(digest, index);
    }
    return answer;
}

answer_check::answer_check(std::string_view prompt) : digest_(digest_of(prompt)) {
    start_token();
}

void answer_check::start_token() {
    token_ = token_text(digest_, tokens_);
    place_ = 0;
}

void answer_check::accept(std::string_view text) {
    for (const char letter : text) {
        if (letter != token_[place_]) {
            right_ = false;
            return;
        }
        ++place_;
        if (place_ == token_.size()) {
            ++tokens_;
            start_token();
        }
    }
}

}  // namespace ferryroad::bench::load
