#include "ferryroad/peer/codec_fields.hpp"
#include "ferryroad/peer/traffic_notice.hpp"

#include <algorithm>
#include <chrono>
#include <limits>

namespace ferryroad::peer {

namespace {

using core::placement::known_weights;
using core::placement::router_load;
using core::prefix::scoped_part;

/// Distinguishes notices from other datagrams.
constexpr const char* notice_identifier = "FRTN";
/// Limit of list entries; more than fit into a datagram.
constexpr std::size_t max_entries = 512;

/// @return the number, or the largest 32-bit value if it is above that.
std::uint32_t saturate(std::uint64_t number) {
    return static_cast<std::uint32_t>(
        std::min<std::uint64_t>(number, std::numeric_limits<std::uint32_t>::max()));
}

/// @return whole milliseconds, zero for negative times.
std::uint32_t saturated_ms(base::duration time) {
    return saturate(
        static_cast<std::uint64_t>(std::max<std::int64_t>(0, base::to_milliseconds(time))));
}

struct wire_parts {
    offset<flatbuffers::Vector<std::uint64_t>> keys;
    offset<flatbuffers::Vector<std::uint32_t>> tokens;
};

wire_parts write_parts(buffer_builder& builder, const std::vector<scoped_part>& parts) {
    std::vector<std::uint64_t> keys;
    std::vector<std::uint32_t> tokens;
    for (const scoped_part& part : parts) {
        keys.push_back(part.key.value);
        tokens.push_back(saturate(part.tokens));
    }
    return {builder.CreateVector(keys), builder.CreateVector(tokens)};
}

std::vector<scoped_part> read_parts(field_reader& reader,
                                    const flatbuffers::Vector<std::uint64_t>* keys,
                                    const flatbuffers::Vector<std::uint32_t>* tokens) {
    const std::size_t size = keys == nullptr ? 0 : keys->size();
    const std::size_t counted = tokens == nullptr ? 0 : tokens->size();
    reader.require(size == counted && size <= max_entries, "tokens for each part");
    std::vector<scoped_part> parts;
    if (size != counted || size > max_entries) {
        return parts;
    }
    for (std::size_t index = 0; index < size; ++index) {
        const auto place = static_cast<flatbuffers::uoffset_t>(index);
        parts.push_back({core::prefix::part_key(keys->Get(place)), tokens->Get(place)});
    }
    return parts;
}

offset<wire::EngineLoad> write_load(buffer_builder& builder, const router_load& load) {
    const auto engine = write_shared(builder, load.engine.value);
    return wire::CreateEngineLoad(builder, engine, load.running, saturate(load.prefill_tokens),
                                  saturated_ms(load.refuses_for), load.pinned_writers,
                                  saturated_ms(load.state_used_for));
}

offset<wire::KnownWeights> write_known(buffer_builder& builder, const known_weights& known) {
    const auto model = write_shared(builder, known.model);
    return wire::CreateKnownWeights(builder, model, known.version);
}

offset<wire::EngineWeights> write_weights(buffer_builder& builder, const observed_weights& seen) {
    const auto engine = write_shared(builder, seen.engine.value);
    const auto model = write_shared(builder, seen.model);
    return wire::CreateEngineWeights(builder, engine, model, seen.version);
}

offset<wire::EngineLoading> write_loading(buffer_builder& builder, const loading_weights& one) {
    const auto engine = write_shared(builder, one.engine.value);
    const auto model = write_shared(builder, one.model);
    const auto left = std::max<std::int64_t>(0, base::to_milliseconds(one.ready_in));
    return wire::CreateEngineLoading(builder, engine, model, one.version,
                                     saturate(static_cast<std::uint64_t>(left)));
}

offset<wire::EngineLimit> write_limit(buffer_builder& builder, const stated_engine_limit& one) {
    const auto engine = write_shared(builder, one.engine.value);
    const auto age = std::max<std::int64_t>(0, base::to_milliseconds(one.age));
    return wire::CreateEngineLimit(builder, engine, one.process_start_ms,
                                   one.per_second.has_value(), one.per_second.value_or(0),
                                   saturate(static_cast<std::uint64_t>(age)));
}

offset<wire::ExpectedState> write_expected(buffer_builder& builder,
                                           const expected_state& expected) {
    const auto engine = write_shared(builder, expected.engine.value);
    const wire_parts parts = write_parts(builder, expected.parts);
    return wire::CreateExpectedState(builder, engine, parts.keys, parts.tokens);
}

offset<wire::HolderChanges> write_changes(buffer_builder& builder, const holder_changes& changes) {
    const auto holder = write_shared(builder, changes.holder.value);
    const wire_parts parts = write_parts(builder, changes.parts);
    return wire::CreateHolderChanges(builder, holder, changes.epoch, changes.from, changes.next,
                                     parts.keys, parts.tokens);
}

router_load read_load(field_reader& reader, const wire::EngineLoad& load) {
    return {reader.name<base::engine_name>(load.engine()),
            load.running(),
            load.prefill_tokens(),
            std::chrono::milliseconds(load.refuses_milliseconds()),
            load.pinned_writers(),
            std::chrono::milliseconds(load.state_used_milliseconds())};
}

known_weights read_known(field_reader& reader, const wire::KnownWeights& known) {
    known_weights weights{reader.text(known.model(), codec_limits::name_bytes), known.version()};
    reader.require(!weights.model.empty(), "a model");
    return weights;
}

observed_weights read_weights(field_reader& reader, const wire::EngineWeights& seen) {
    observed_weights weights{reader.name<base::engine_name>(seen.engine()),
                             reader.text(seen.model(), codec_limits::name_bytes), seen.version()};
    reader.require(!weights.model.empty(), "a model");
    return weights;
}

/// Longer loading times are capped to this, since they are implausible.
constexpr std::uint32_t max_loading_ms = 10000;

loading_weights read_loading(field_reader& reader, const wire::EngineLoading& encoded) {
    loading_weights one{
        reader.name<base::engine_name>(encoded.engine()),
        reader.text(encoded.model(), codec_limits::name_bytes), encoded.version(),
        std::chrono::milliseconds(std::min<std::uint32_t>(encoded.milliseconds(), max_loading_ms))};
    reader.require(!one.model.empty(), "a model");
    return one;
}

stated_engine_limit read_limit(field_reader& reader, const wire::EngineLimit& encoded) {
    stated_engine_limit one;
    one.engine = reader.name<base::engine_name>(encoded.engine());
    one.process_start_ms = encoded.process_start_milliseconds();
    if (encoded.limited()) {
        one.per_second = reader.amount(encoded.per_second());
    }
    one.age = std::chrono::milliseconds(encoded.age_milliseconds());
    return one;
}

expected_state read_expected(field_reader& reader, const wire::ExpectedState& expected) {
    return {reader.name<base::engine_name>(expected.engine()),
            read_parts(reader, expected.parts(), expected.tokens())};
}

holder_changes read_changes(field_reader& reader, const wire::HolderChanges& changes) {
    reader.require(changes.from() <= changes.next(), "rising numbers");
    return {reader.name<base::engine_name>(changes.holder()), changes.epoch(), changes.from(),
            changes.next(), read_parts(reader, changes.parts(), changes.tokens())};
}

}  // namespace

message_bytes encode(const traffic_notice& notice) {
    buffer_builder builder(max_datagram_bytes);
    const auto loads = write_list<wire::EngineLoad>(
        builder, notice.loads, [&](const auto& one) { return write_load(builder, one); });
    const auto weights = write_list<wire::EngineWeights>(
        builder, notice.weights, [&](const auto& one) { return write_weights(builder, one); });
    const auto expected = write_list<wire::ExpectedState>(
        builder, notice.expected, [&](const auto& one) { return write_expected(builder, one); });
    const auto changes = write_list<wire::HolderChanges>(
        builder, notice.changes, [&](const auto& one) { return write_changes(builder, one); });
    const auto loading = write_list<wire::EngineLoading>(
        builder, notice.loading, [&](const auto& one) { return write_loading(builder, one); });
    const auto limits = write_list<wire::EngineLimit>(
        builder, notice.limits, [&](const auto& one) { return write_limit(builder, one); });
    const auto known = write_list<wire::KnownWeights>(
        builder, notice.known, [&](const auto& one) { return write_known(builder, one); });
    const auto sender = write_text(builder, notice.sender.value);
    const auto zone = write_text(builder, notice.zone.value);
    return finish(
        builder,
        wire::CreateTrafficNotice(builder, sender, zone, notice.loads_complete, loads, weights,
                                  expected, changes, loading, limits, notice.paths_lost, known),
        notice_identifier);
}

bool is_traffic_notice(std::string_view bytes) {
    return has_identifier(bytes, notice_identifier);
}

result<traffic_notice> decode_traffic_notice(std::string_view bytes) {
    const aligned_bytes aligned(bytes);
    const auto* root = verified_root<wire::TrafficNotice>(aligned.view(), notice_identifier);
    if (root == nullptr) {
        return malformed("not a traffic notice");
    }
    field_reader reader;
    traffic_notice notice;
    notice.sender = reader.name<base::router_name>(root->sender());
    notice.zone = reader.optional_name<base::zone_name>(root->zone());
    notice.loads_complete = root->loads_complete();
    notice.paths_lost = root->paths_lost();
    notice.loads = reader.list(root->loads(), max_entries,
                               [&](const auto& one) { return read_load(reader, one); });
    notice.known = reader.list(root->known(), max_entries,
                               [&](const auto& one) { return read_known(reader, one); });
    notice.weights = reader.list(root->weights(), max_entries,
                                 [&](const auto& one) { return read_weights(reader, one); });
    notice.expected = reader.list(root->expected(), max_entries,
                                  [&](const auto& one) { return read_expected(reader, one); });
    notice.changes = reader.list(root->changes(), max_entries,
                                 [&](const auto& one) { return read_changes(reader, one); });
    notice.loading = reader.list(root->loading(), max_entries,
                                 [&](const auto& one) { return read_loading(reader, one); });
    notice.limits = reader.list(root->limits(), max_entries,
                                [&](const auto& one) { return read_limit(reader, one); });
    if (reader.fault() != nullptr) {
        return malformed(std::string("traffic notice: expected ") + reader.fault());
    }
    return notice;
}

}  // namespace ferryroad::peer
