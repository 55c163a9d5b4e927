/// @file
/// Parts that datagrams and calls share on the wire. Private to this folder.
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

/// Tables nest at most 5 deep; the verifier refuses more.
inline constexpr std::uint32_t deepest_table = 16;
/// Each list is limited on its own; this bounds the verifier's work before that.
inline constexpr std::uint32_t most_tables = 1'000'000;

/// Reads verified fields. The first fault sticks, later reads give defaults, so that a decoder
/// reads straight down and checks once.
class field_reader {
  public:
    void require(bool condition, const char* expected) {
        if (!condition && fault_ == nullptr) {
            fault_ = expected;
        }
    }
    const char* fault() const { return fault_; }

    std::string text(const flatbuffers::String* field, std::size_t most) {
        const std::size_t size = field == nullptr ? 0 : field->size();
        require(size <= most, "a shorter text");
        return size == 0 || size > most ? std::string() : field->str();
    }
    /// Value of any length that the message itself allows.
    std::string value(const flatbuffers::String* field) { return text(field, largest_call); }

    /// A name of one of the strong types.
    template <typename Id>
    Id name(const flatbuffers::String* field) {
        Id id(text(field, codec_limits::name_bytes));
        require(!id.value.empty(), "a name");
        return id;
    }
    template <typename Id>
    Id optional_name(const flatbuffers::String* field) {
        return Id(text(field, codec_limits::name_bytes));
    }

    double amount(double field) {
        const bool valid = field >= 0 && field <= 1e15;
        require(valid, "a finite number, not negative");
        return valid ? field : 0;
    }

    /// Reads each entry of a list by `read(entry)`; a missing list is empty.
    template <typename Wire, typename Read>
    auto list(const offset_vector<Wire>* field, std::size_t most, Read read) {
        using entry = decltype(read(*field->Get(0)));
        std::vector<entry> entries;
        const std::size_t size = field == nullptr ? 0 : field->size();
        require(size <= most, "a shorter list");
        if (size > most) {
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

/// Writes each entry by `write(entry)` and gives the list's offset; no bytes for an empty one.
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

inline offset<flatbuffers::String> write_text(buffer_builder& builder, const std::string& text) {
    return text.empty() ? 0 : builder.CreateString(text);
}
/// Equal texts of one message are written once: zones, regions, addresses, tenants.
inline offset<flatbuffers::String> write_shared(buffer_builder& builder, const std::string& text) {
    return text.empty() ? 0 : builder.CreateSharedString(text);
}

offset<wire::MemberUpdate> write_member(buffer_builder& builder,
                                        const coordination::membership::member_update& member);

/// Ends the message and copies its bytes out.
template <typename Wire>
message_bytes finish(buffer_builder& builder, offset<Wire> root, const char* identifier = nullptr) {
    builder.Finish(root, identifier);
    return {reinterpret_cast<const char*>(builder.GetBufferPointer()), builder.GetSize()};
}

/// @return whether the bytes say that they are a message of the kind; they may still be malformed.
inline bool has_identifier(std::string_view bytes, const char* identifier) {
    constexpr std::size_t least = 2 * sizeof(flatbuffers::uoffset_t);
    return bytes.size() >= least && flatbuffers::BufferHasIdentifier(bytes.data(), identifier);
}

/// @param identifier of the message's kind, 4 characters, where messages of several kinds come the
/// same way; else null.
/// @return the root table if every offset and length within `bytes` holds, else null.
template <typename Wire>
const Wire* verified_root(std::string_view bytes, const char* identifier = nullptr) {
    const auto* start = reinterpret_cast<const std::uint8_t*>(bytes.data());
    flatbuffers::Verifier verifier(start, bytes.size(), deepest_table, most_tables);
    return verifier.VerifyBuffer<Wire>(identifier) ? flatbuffers::GetRoot<Wire>(start) : nullptr;
}

/// Aligned copy where `bytes` don't begin at a multiple of 8, as FlatBuffers needs.
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
