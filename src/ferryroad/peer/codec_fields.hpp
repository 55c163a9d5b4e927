/// @file
/// Reading and writing of the fields that several messages share. Internal to this directory.
#pragma once

#include "ferryroad/base/endpoint.hpp"
#include "ferryroad/base/strong_id.hpp"
#include "ferryroad/peer/codec.hpp"
#include "wire/wire_generated.h"

#include <flatbuffers/flatbuffers.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace ferryroad::peer {

using buffer_builder = flatbuffers::FlatBufferBuilder;
template <typename T>
using offset = flatbuffers::Offset<T>;
template <typename T>
using offset_vector = flatbuffers::Vector<offset<T>>;

/// Nesting depth that the verifier accepts; the schema needs 5.
inline constexpr std::uint32_t max_table_depth = 16;
/// Bounds the verifier's work, which comes before the decoder checks the limit of each list.
inline constexpr std::uint32_t max_tables = 1'000'000;

/// Reads fields of a verified buffer and checks their ranges. It keeps the first fault; fields at
/// fault read as defaults, so a decoder can read all fields and check for a fault once at the end.
class field_reader {
  public:
    /// Records a fault unless `condition` holds.
    /// @param expected describes the valid content, for the error message.
    void require(bool condition, const char* expected) {
        if (!condition && fault_ == nullptr) {
            fault_ = expected;
        }
    }
    /// @return what was expected where the first fault is, or null.
    const char* fault() const { return fault_; }

    /// Reads a string of at most `max_size` bytes.
    std::string text(const flatbuffers::String* field, std::size_t max_size) {
        const std::size_t size = field == nullptr ? 0 : field->size();
        require(size <= max_size, "a shorter text");
        return size == 0 || size > max_size ? std::string() : field->str();
    }
    /// Reads a string that is bounded only by the size of a message.
    std::string value(const flatbuffers::String* field) { return text(field, max_call_bytes); }

    /// Reads a name, which must not be empty.
    template <typename Id>
    Id name(const flatbuffers::String* field) {
        Id id(text(field, codec_limits::name_bytes));
        require(!id.value.empty(), "a name");
        return id;
    }
    /// Reads a name that may be empty.
    template <typename Id>
    Id optional_name(const flatbuffers::String* field) {
        return Id(text(field, codec_limits::name_bytes));
    }

    /// Reads a finite number that is not negative.
    double amount(double field) {
        const bool valid = field >= 0 && field <= 1e15;
        require(valid, "a finite number, not negative");
        return valid ? field : 0;
    }

    /// Reads a list of at most `max_size` entries with `read(entry)`; a missing list is empty.
    template <typename Wire, typename Read>
    auto list(const offset_vector<Wire>* field, std::size_t max_size, Read read) {
        using entry = decltype(read(*field->Get(0)));
        std::vector<entry> entries;
        const std::size_t size = field == nullptr ? 0 : field->size();
        require(size <= max_size, "a shorter list");
        if (size > max_size) {
            return entries;
        }
        entries.reserve(size);
        for (std::size_t index = 0; index < size; ++index) {
            entries.push_back(read(*field->Get(static_cast<flatbuffers::uoffset_t>(index))));
        }
        return entries;
    }

    coordination::membership::member_update member(const wire::MemberUpdate* field);

  private:
    const char* fault_ = nullptr;
};

/// Writes a list with `write(entry)`.
/// @return the offset of the list; 0, without writing anything, if it is empty.
template <typename Wire, typename Entries, typename Write>
offset<offset_vector<Wire>> write_list(buffer_builder& builder, const Entries& entries,
                                       Write write) {
    if (entries.empty()) {
        return 0;
    }
    std::vector<offset<Wire>> offsets;
    offsets.reserve(entries.size());
    for (const auto& entry : entries) {
        offsets.push_back(write(entry));
    }
    return builder.CreateVector(offsets);
}

inline std::uint32_t to_wire_milliseconds(base::duration period) {
    const std::int64_t max_value = std::numeric_limits<std::uint32_t>::max();
    return static_cast<std::uint32_t>(
        std::clamp<std::int64_t>(base::to_milliseconds(period), 0, max_value));
}

inline offset<flatbuffers::String> write_text(buffer_builder& builder, const std::string& text) {
    return text.empty() ? 0 : builder.CreateString(text);
}
/// Writes a string once per message, for strings that often repeat: zones, regions, addresses,
/// tenants.
inline offset<flatbuffers::String> write_shared(buffer_builder& builder, const std::string& text) {
    return text.empty() ? 0 : builder.CreateSharedString(text);
}

offset<wire::MemberUpdate> write_member(buffer_builder& builder,
                                        const coordination::membership::member_update& member);

/// Finishes the message.
/// @return a copy of its bytes.
template <typename Wire>
message_bytes finish(buffer_builder& builder, offset<Wire> root, const char* identifier = nullptr) {
    builder.Finish(root, identifier);
    return {reinterpret_cast<const char*>(builder.GetBufferPointer()), builder.GetSize()};
}

/// @return whether the bytes carry the identifier of a kind of message; the message may still be
/// malformed.
inline bool has_identifier(std::string_view bytes, const char* identifier) {
    constexpr std::size_t min_bytes = 2 * sizeof(flatbuffers::uoffset_t);
    return bytes.size() >= min_bytes && flatbuffers::BufferHasIdentifier(bytes.data(), identifier);
}

/// @param identifier 4 characters that identify the kind of message, where several kinds share a
/// channel; otherwise null.
/// @return the root table if every offset and length in `bytes` is valid, otherwise null.
template <typename Wire>
const Wire* verified_root(std::string_view bytes, const char* identifier = nullptr) {
    const auto* start = reinterpret_cast<const std::uint8_t*>(bytes.data());
    flatbuffers::Verifier verifier(start, bytes.size(), max_table_depth, max_tables);
    return verifier.VerifyBuffer<Wire>(identifier) ? flatbuffers::GetRoot<Wire>(start) : nullptr;
}

/// View of bytes that start at a multiple of 8, as FlatBuffers requires. Copies them only if they
/// aren't aligned already; otherwise the original bytes must outlive this object.
class aligned_bytes {
  public:
    explicit aligned_bytes(std::string_view bytes);
    std::string_view view() const { return view_; }

  private:
    std::vector<std::uint64_t> storage_;
    std::string_view view_;
};

error malformed(std::string message);

}  // namespace ferryroad::peer
