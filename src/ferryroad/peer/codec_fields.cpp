#include "ferryroad/peer/codec_fields.hpp"

#include <cstring>

namespace ferryroad::peer {

namespace {

using coordination::membership::member_state;
using coordination::membership::member_update;

wire::MemberState wire_state(member_state state) {
    switch (state) {
        case member_state::alive:
            return wire::MemberState::alive;
        case member_state::suspect:
            return wire::MemberState::suspect;
        case member_state::leaving:
            return wire::MemberState::leaving;
        case member_state::dead:
            break;
    }
    return wire::MemberState::dead;
}

member_state read_state(field_reader& reader, wire::MemberState state) {
    switch (state) {
        case wire::MemberState::alive:
            return member_state::alive;
        case wire::MemberState::suspect:
            return member_state::suspect;
        case wire::MemberState::leaving:
            return member_state::leaving;
        case wire::MemberState::dead:
            return member_state::dead;
    }
    reader.require(false, "a member's state");
    return member_state::alive;
}

}  // namespace

member_update field_reader::member(const wire::MemberUpdate* field) {
    member_update update;
    require(field != nullptr && field->address() != nullptr, "a member with an address");
    if (field == nullptr || field->address() == nullptr) {
        return update;
    }
    update.name = name<base::router_name>(field->router());
    const std::string address = text(field->address()->address(), codec_limits::name_bytes);
    update.address = base::endpoint{address, field->address()->port()};
    require(base::endpoint::parse(update.address.to_string()) == update.address, "an IP number");
    update.zone = optional_name<base::zone_name>(field->zone());
    update.region = optional_name<base::region_name>(field->region());
    update.incarnation = base::incarnation(field->incarnation());
    update.state = read_state(*this, field->state());
    return update;
}

offset<wire::MemberUpdate> write_member(buffer_builder& builder, const member_update& member) {
    const auto address = write_shared(builder, member.address.address);
    const auto wire_address = wire::CreateEndpoint(builder, address, member.address.port);
    const auto name = write_text(builder, member.name.value);
    const auto zone = write_shared(builder, member.zone.value);
    const auto region = write_shared(builder, member.region.value);
    return wire::CreateMemberUpdate(builder, name, wire_address, zone, region,
                                    member.incarnation.value, wire_state(member.state));
}

aligned_bytes::aligned_bytes(std::string_view bytes) : view_(bytes) {
    if (reinterpret_cast<std::uintptr_t>(bytes.data()) % sizeof(std::uint64_t) == 0) {
        return;
    }
    storage_.resize(bytes.size() / sizeof(std::uint64_t) + 1);
    std::memcpy(storage_.data(), bytes.data(), bytes.size());
    view_ = std::string_view(reinterpret_cast<const char*>(storage_.data()), bytes.size());
}

error malformed(std::string message) {
    return error{error_code::malformed, std::move(message)};
}

}  // namespace ferryroad::peer
