#include "ferryroad/peer/codec_fields.hpp"
#include "ferryroad/peer/crash_message.hpp"

#include <algorithm>
#include <chrono>
#include <string>

namespace ferryroad::peer {

namespace {

using core::quarantine::crash_candidate;
using core::quarantine::part_identity;
using core::quarantine::request_identity;

/// Distinguishes this message from other datagrams.
constexpr const char* crash_identifier = "FRCN";
/// Limit of list entries; more than a datagram or a row holds.
constexpr std::size_t max_entries = 1024;
/// Ages above this are rejected, since they would overflow a time point.
constexpr std::uint64_t max_age_ms = 100'000'000'000;

std::uint64_t write_age(base::duration age) {
    return static_cast<std::uint64_t>(std::max<std::int64_t>(0, base::to_milliseconds(age)));
}

base::duration read_age(field_reader& reader, std::uint64_t age_ms) {
    reader.require(age_ms <= max_age_ms, "a lower age");
    return std::chrono::milliseconds(std::min(age_ms, max_age_ms));
}

void write_digest(std::vector<std::uint64_t>& digests, const base::hash128& digest) {
    digests.push_back(digest.high);
    digests.push_back(digest.low);
}

/// @tparam Identity is made of a digest.
template <typename Identity>
std::vector<Identity> read_digests(field_reader& reader,
                                   const flatbuffers::Vector<std::uint64_t>* digests) {
    const std::size_t size = digests == nullptr ? 0 : digests->size();
    const bool valid = size % 2 == 0 && size <= 2 * max_entries;
    reader.require(valid, "two numbers for each digest");
    std::vector<Identity> identities;
    for (std::size_t index = 0; valid && index < size; index += 2) {
        const auto place = static_cast<flatbuffers::uoffset_t>(index);
        identities.push_back({{digests->Get(place), digests->Get(place + 1)}});
    }
    return identities;
}

offset<wire::EngineCrash> write_crash(buffer_builder& builder, const observed_crash& crash) {
    std::vector<std::uint64_t> digests;
    std::vector<std::uint8_t> silent;
    std::vector<part_identity> parts;
    std::vector<std::uint8_t> counts;
    std::vector<std::uint8_t> places;
    for (const crash_candidate& one : crash.candidates) {
        write_digest(digests, one.request.digest);
        silent.push_back(one.silent ? 1 : 0);
        counts.push_back(static_cast<std::uint8_t>(one.parts.size()));
        for (const part_identity& part : one.parts) {
            const auto place = std::find(parts.begin(), parts.end(), part) - parts.begin();
            places.push_back(static_cast<std::uint8_t>(place));
            if (place == static_cast<std::ptrdiff_t>(parts.size())) {
                parts.push_back(part);
            }
        }
    }
    std::vector<std::uint64_t> part_digests;
    for (const part_identity& part : parts) {
        write_digest(part_digests, part.digest);
    }
    const auto engine = write_text(builder, crash.engine.value);
    const auto digest_list = builder.CreateVector(digests);
    const auto silent_list = builder.CreateVector(silent);
    const auto part_list = builder.CreateVector(part_digests);
    const auto count_list = builder.CreateVector(counts);
    const auto place_list = builder.CreateVector(places);
    return wire::CreateEngineCrash(builder, engine, write_age(crash.age), digest_list, silent_list,
                                   crash.unnamed, write_age(crash.began_age), part_list, count_list,
                                   place_list);
}

/// Routers of older versions send no parts.
void read_parts(field_reader& reader, const wire::EngineCrash& encoded, observed_crash& crash) {
    const auto parts = read_digests<part_identity>(reader, encoded.parts());
    const auto* counts = encoded.part_counts();
    const auto* places = encoded.part_places();
    if (counts == nullptr || places == nullptr) {
        return;
    }
    reader.require(counts->size() == crash.candidates.size(), "a count of parts for each request");
    flatbuffers::uoffset_t next = 0;
    flatbuffers::uoffset_t index = 0;
    for (crash_candidate& one : crash.candidates) {
        const std::size_t count = index < counts->size() ? counts->Get(index) : 0;
        ++index;
        for (std::size_t read = 0; read < count; ++read, ++next) {
            const bool valid = next < places->size() && places->Get(next) < parts.size();
            reader.require(valid, "the place of a part");
            if (!valid) {
                return;
            }
            one.parts.push_back(parts[places->Get(next)]);
        }
    }
}

observed_crash read_crash(field_reader& reader, const wire::EngineCrash& encoded) {
    observed_crash crash;
    crash.engine = reader.name<base::engine_name>(encoded.engine());
    crash.age = read_age(reader, encoded.age_milliseconds());
    crash.began_age = read_age(reader, encoded.began_age_milliseconds());
    crash.unnamed = encoded.unnamed();
    const auto requests = read_digests<request_identity>(reader, encoded.digests());
    const std::size_t marks = encoded.silent() == nullptr ? 0 : encoded.silent()->size();
    reader.require(marks == requests.size(), "a mark for each request");
    for (std::size_t index = 0; marks == requests.size() && index < marks; ++index) {
        const bool silent = encoded.silent()->Get(static_cast<flatbuffers::uoffset_t>(index)) != 0;
        crash.candidates.push_back({requests[index], silent, {}});
    }
    read_parts(reader, encoded, crash);
    return crash;
}

}  // namespace

message_bytes encode(const crash_notice& news) {
    buffer_builder builder(max_datagram_bytes);
    const auto crashes = write_list<wire::EngineCrash>(
        builder, news.crashes, [&](const auto& one) { return write_crash(builder, one); });
    std::vector<std::uint64_t> digests;
    for (const request_identity& one : news.cleared.requests) {
        write_digest(digests, one.digest);
    }
    std::vector<std::uint64_t> parts;
    for (const part_identity& one : news.cleared.parts) {
        write_digest(parts, one.digest);
    }
    const auto cleared = builder.CreateVector(digests);
    const auto cleared_parts = builder.CreateVector(parts);
    const auto sender = write_text(builder, news.sender.value);
    return finish(
        builder,
        wire::CreateCrashNews(builder, sender, news.owner_time, crashes, cleared, cleared_parts),
        crash_identifier);
}

bool is_crash_notice(std::string_view bytes) {
    return has_identifier(bytes, crash_identifier);
}

result<crash_notice> decode_crash_notice(std::string_view bytes) {
    const aligned_bytes aligned(bytes);
    const auto* root = verified_root<wire::CrashNews>(aligned.view(), crash_identifier);
    if (root == nullptr) {
        return malformed("not a crash message");
    }
    field_reader reader;
    crash_notice news;
    news.sender = reader.name<base::router_name>(root->sender());
    news.owner_time = root->owner_milliseconds();
    news.crashes = reader.list(root->crashes(), max_entries,
                               [&](const auto& one) { return read_crash(reader, one); });
    news.cleared.requests = read_digests<request_identity>(reader, root->cleared());
    news.cleared.parts = read_digests<part_identity>(reader, root->cleared_parts());
    if (reader.fault() != nullptr) {
        return malformed(std::string("crash message: expected ") + reader.fault());
    }
    return news;
}

}  // namespace ferryroad::peer
