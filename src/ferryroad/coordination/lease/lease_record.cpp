#include "ferryroad/coordination/lease/lease_record.hpp"

#include <charconv>

namespace ferryroad::coordination::lease {

namespace {

/// Format and version of the row. The holder's name comes last, so that it may be any text.
constexpr std::string_view prefix = "lease2 ";
/// The format without a note, still read for routers that write it during an upgrade.
constexpr std::string_view prefix_without_note = "lease1 ";

/// Removes a number and the space after it from the front of `text`.
std::optional<std::uint64_t> take_number(std::string_view& text) {
    std::uint64_t number = 0;
    const char* end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, number);
    if (parsed.ec != std::errc{} || parsed.ptr == end || *parsed.ptr != ' ') {
        return std::nullopt;
    }
    text.remove_prefix(static_cast<std::size_t>(parsed.ptr - text.data()) + 1);
    return number;
}

}  // namespace

std::string encode(const lease_record& record) {
    const lease_identity holder = record.holder.value_or(lease_identity{});
    std::string text(prefix);
    for (const std::uint64_t number :
         {record.token.value, static_cast<std::uint64_t>(base::to_milliseconds(record.duration)),
          record.write_id, record.note, std::uint64_t{record.holder.has_value()},
          holder.process.value}) {
        text += std::to_string(number) + ' ';
    }
    return text + holder.name;
}

std::optional<lease_record> decode(std::string_view text) {
    const bool has_note = text.starts_with(prefix);
    if (!has_note && !text.starts_with(prefix_without_note)) {
        return std::nullopt;
    }
    text.remove_prefix(prefix.size());
    const auto token = take_number(text);
    const auto milliseconds = take_number(text);
    const auto write_id = take_number(text);
    const auto note = has_note ? take_number(text) : std::optional<std::uint64_t>(0);
    const auto held = take_number(text);
    const auto process = take_number(text);
    constexpr std::uint64_t longest = 24ULL * 3600 * 1000;
    if (!token || !milliseconds || *milliseconds > longest || !write_id || !note || !held ||
        *held > 1 || !process) {
        return std::nullopt;
    }
    lease_record record;
    record.token = base::fencing_token(*token);
    record.duration = std::chrono::milliseconds(*milliseconds);
    record.write_id = *write_id;
    record.note = *note;
    if (*held == 1) {
        record.holder = lease_identity{std::string(text), base::incarnation(*process)};
    }
    return record;
}

}  // namespace ferryroad::coordination::lease
