/// @file
/// JSON encoding of the fields that several messages of the engine protocol share
/// (docs/reference/engine-protocol.md).
#pragma once

#include "ferryroad/core/prefix/pieces.hpp"
#include "ferryroad/engine/errors.hpp"
#include "ferryroad/engine/types.hpp"
#include "ferryroad/http/json.hpp"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>

#include <array>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace ferryroad::engine::protocol {

/// A decoded message, or the reason why it couldn't be decoded.
template <typename T>
using decoded = runtime::result<T, http::error>;

/// An enumerator and its name in JSON.
template <typename Enum>
struct named_value {
    Enum value;
    std::string_view name;
};

inline constexpr std::array<named_value<priority>, 3> priority_names{{
    {priority::low, "low"},
    {priority::normal, "normal"},
    {priority::high, "high"},
}};
inline constexpr std::array<named_value<engine_kind>, 2> kind_names{{
    {engine_kind::model, "model"},
    {engine_kind::application, "application"},
}};
inline constexpr std::array<named_value<engine_role>, 3> role_names{{
    {engine_role::general, "general"},
    {engine_role::prefill, "prefill"},
    {engine_role::decode, "decode"},
}};
inline constexpr std::array<named_value<finish_reason>, 3> finish_names{{
    {finish_reason::stop, "stop"},
    {finish_reason::length, "length"},
    {finish_reason::cancelled, "cancelled"},
}};
inline constexpr std::array<named_value<cache_change>, 2> change_names{{
    {cache_change::stored, "stored"},
    {cache_change::evicted, "evicted"},
}};

/// @return the JSON name of `value`, or an empty string if the table doesn't list it.
template <typename Table, typename Enum>
std::string_view name_in(const Table& table, Enum value) {
    for (const auto& row : table) {
        if (row.value == value) {
            return row.name;
        }
    }
    return {};
}

/// @return the enumerator with that JSON name, or nothing if the table doesn't list it.
template <typename Enum, std::size_t Size>
std::optional<Enum> value_in(const std::array<named_value<Enum>, Size>& table,
                             std::string_view name) {
    for (const auto& row : table) {
        if (row.name == name) {
            return row.value;
        }
    }
    return std::nullopt;
}

/// Reads a field that holds one of the table's names. Any other content is a fault of `reader`.
template <typename Enum, std::size_t Size>
Enum read_name(http::object_reader& reader, std::string_view field,
               const std::array<named_value<Enum>, Size>& table) {
    const std::string text = reader.text(field);
    const std::optional<Enum> value = value_in(table, text);
    if (!value) {
        reader.fail(field, "a known name");
    }
    return value.value_or(table.front().value);
}

/// Reads an unsigned integer. A value above 32 bits is a fault of `reader`.
std::uint32_t read_count(http::object_reader& reader, std::string_view field);

/// Reads a duration in milliseconds; 0 if the field is missing. More than a month is a fault of
/// `reader`.
base::duration read_milliseconds(http::object_reader& reader, std::string_view field);

/// Reads a strong id from a JSON string or unsigned number, depending on its representation.
template <typename Id>
Id read_id(http::object_reader& reader, std::string_view field) {
    if constexpr (std::is_same_v<typename Id::representation, std::string>) {
        return Id(reader.text(field));
    } else {
        return Id(reader.unsigned_number(field));
    }
}

boost::json::object scope_json(const core::prefix::cache_namespace& scope);
core::prefix::cache_namespace read_scope(http::object_reader& reader, std::string_view field);

/// @return the hash as 16 lower-case hex digits.
std::string piece_text(base::piece_hash piece);
base::piece_hash read_piece(http::object_reader& reader, std::string_view field);
boost::json::array pieces_json(const core::prefix::piece_chain& pieces);
core::prefix::piece_chain read_pieces(http::object_reader& reader, std::string_view field);

/// Reports the fault of `inner`, the reader of the object in `field`, to the reader of the
/// enclosing object.
void propagate_fault(http::object_reader& reader, std::string_view field,
                     const http::object_reader& inner);

/// @return a reader of the object in `field`. If the field is missing, this is a fault of `reader`
/// and the result reads an empty object.
http::object_reader read_object(http::object_reader& reader, std::string_view field);

/// @return the fault of `reader` if any read failed, otherwise `value`.
template <typename T>
decoded<T> finish(const http::object_reader& reader, T value) {
    if (reader.fault()) {
        return *reader.fault();
    }
    return value;
}

/// Parses `body` as a JSON object and decodes its fields with `read`.
template <typename T, typename Read>
decoded<T> decode_with(std::string_view body, Read read) {
    const auto value = http::parse_json(body);
    if (value.has_error()) {
        return value.error();
    }
    http::object_reader reader(*value);
    T message = read(reader);
    return finish(reader, std::move(message));
}

}  // namespace ferryroad::engine::protocol
