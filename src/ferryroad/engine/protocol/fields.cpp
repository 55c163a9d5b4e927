#include "ferryroad/engine/protocol/fields.hpp"

#include <charconv>
#include <limits>

namespace ferryroad::engine::protocol {

namespace {

constexpr std::size_t piece_digits = 16;
constexpr int hex_base = 16;
/// Durations above a month are rejected; no timeout or age of the protocol is that long.
constexpr std::uint64_t max_milliseconds = 31ULL * 24 * 3600 * 1000;

const boost::json::value& empty_object() {
    static const boost::json::value empty = boost::json::object{};
    return empty;
}

std::optional<base::piece_hash> parse_piece(std::string_view text) {
    std::uint64_t value = 0;
    const char* const end = text.data() + text.size();
    const auto [stopped, failure] = std::from_chars(text.data(), end, value, hex_base);
    if (text.size() != piece_digits || failure != std::errc{} || stopped != end) {
        return std::nullopt;
    }
    return base::piece_hash(value);
}

}  // namespace

std::uint32_t read_count(http::object_reader& reader, std::string_view field) {
    const std::uint64_t number = reader.unsigned_number(field);
    if (number > std::numeric_limits<std::uint32_t>::max()) {
        reader.fail(field, "an unsigned number of 32 bits");
        return 0;
    }
    return static_cast<std::uint32_t>(number);
}

base::duration read_milliseconds(http::object_reader& reader, std::string_view field) {
    const std::uint64_t number = reader.unsigned_or(field, 0);
    if (number > max_milliseconds) {
        reader.fail(field, "milliseconds, at most a month");
        return {};
    }
    return std::chrono::milliseconds(number);
}

boost::json::object scope_json(const core::prefix::cache_namespace& scope) {
    return {{"tenant", scope.tenant.value},
            {"model", scope.model.value},
            {"version", scope.version.value},
            {"adapter", scope.adapter.value}};
}

core::prefix::cache_namespace read_scope(http::object_reader& reader, std::string_view field) {
    http::object_reader inner = read_object(reader, field);
    core::prefix::cache_namespace scope;
    scope.tenant = read_id<base::tenant_name>(inner, "tenant");
    scope.model = read_id<base::model_name>(inner, "model");
    scope.version = read_id<base::weights_version>(inner, "version");
    scope.adapter.value = inner.text_or("adapter", {});
    propagate_fault(reader, field, inner);
    return scope;
}

std::string piece_text(base::piece_hash piece) {
    static constexpr std::string_view digits = "0123456789abcdef";
    std::string text(piece_digits, '0');
    std::uint64_t rest = piece.value;
    for (std::size_t place = piece_digits; place-- > 0;) {
        text[place] = digits[rest % hex_base];
        rest /= hex_base;
    }
    return text;
}

base::piece_hash read_piece(http::object_reader& reader, std::string_view field) {
    const std::optional<base::piece_hash> piece = parse_piece(reader.text(field));
    if (!piece) {
        reader.fail(field, "16 hex digits");
    }
    return piece.value_or(base::piece_hash{});
}

boost::json::array pieces_json(const core::prefix::piece_chain& pieces) {
    boost::json::array list;
    list.reserve(pieces.size());
    for (const base::piece_hash& piece : pieces) {
        list.emplace_back(piece_text(piece));
    }
    return list;
}

core::prefix::piece_chain read_pieces(http::object_reader& reader, std::string_view field) {
    core::prefix::piece_chain pieces;
    for (const boost::json::value& value : reader.list(field)) {
        const boost::json::string* text = value.if_string();
        const std::optional<base::piece_hash> piece =
            text == nullptr ? std::nullopt : parse_piece({text->data(), text->size()});
        if (!piece) {
            reader.fail(field, "a list of 16 hex digits each");
            return {};
        }
        pieces.push_back(*piece);
    }
    return pieces;
}

void propagate_fault(http::object_reader& reader, std::string_view field,
                     const http::object_reader& inner) {
    if (inner.fault()) {
        reader.fail(field, inner.fault()->message);
    }
}

http::object_reader read_object(http::object_reader& reader, std::string_view field) {
    const boost::json::value* value = reader.find(field);
    if (value == nullptr) {
        reader.fail(field, "an object");
        return http::object_reader(empty_object());
    }
    return http::object_reader(*value, std::string(field));
}

}  // namespace ferryroad::engine::protocol
