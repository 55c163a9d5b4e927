#include "ferryroad/peer/codec_fields.hpp"

namespace ferryroad::peer {

namespace {

namespace membership = coordination::membership;

/// An encoded union: its type and its table.
struct wire_probe {
    wire::Probe type = wire::Probe::NONE;
    offset<void> table;
};

struct probe_writer {
    buffer_builder& builder;

    wire_probe operator()(std::monostate) const { return {}; }
    wire_probe operator()(const membership::ping& probe) const {
        return {wire::Probe::Ping, wire::CreatePing(builder, probe.sequence).Union()};
    }
    wire_probe operator()(const membership::ack& probe) const {
        return {wire::Probe::Ack, wire::CreateAck(builder, probe.sequence).Union()};
    }
    wire_probe operator()(const membership::ping_request& probe) const {
        const auto target = write_text(builder, probe.target.value);
        return {wire::Probe::PingRequest,
                wire::CreatePingRequest(builder, probe.sequence, target).Union()};
    }
};

membership::probe read_probe(field_reader& reader, const wire::Datagram& message) {
    if (message.probe_type() == wire::Probe::NONE) {
        return std::monostate{};
    }
    reader.require(message.probe() != nullptr, "a probe");
    if (message.probe() == nullptr) {
        return std::monostate{};
    }
    switch (message.probe_type()) {
        case wire::Probe::NONE:
            break;
        case wire::Probe::Ping:
            return membership::ping{message.probe_as_Ping()->sequence()};
        case wire::Probe::Ack:
            return membership::ack{message.probe_as_Ack()->sequence()};
        case wire::Probe::PingRequest: {
            const auto* probe = message.probe_as_PingRequest();
            return membership::ping_request{probe->sequence(),
                                            reader.name<base::router_name>(probe->target())};
        }
    }
    reader.require(false, "a known probe");
    return std::monostate{};
}

}  // namespace

message_bytes encode(const datagram& message) {
    buffer_builder builder(max_datagram_bytes);
    const auto members = write_list<wire::MemberUpdate>(
        builder, message.members,
        [&](const membership::member_update& member) { return write_member(builder, member); });
    const auto notices = write_list<wire::BackendUpdate>(
        builder, message.notices, [&](const membership::notice& notice) {
            const auto subject = write_text(builder, notice.subject);
            return wire::CreateBackendUpdate(builder, subject, notice.version, notice.raised);
        });
    const wire_probe probe = std::visit(probe_writer{builder}, message.probe);
    const auto sender = write_text(builder, message.sender.value);
    return finish(builder, wire::CreateDatagram(builder, sender, message.sender_incarnation.value,
                                                message.revision, probe.type, probe.table, members,
                                                notices, message.members_digest));
}

result<datagram> decode_datagram(std::string_view bytes) {
    const aligned_bytes aligned(bytes);
    const auto* root = verified_root<wire::Datagram>(aligned.view());
    if (root == nullptr) {
        return malformed("not a datagram");
    }
    field_reader reader;
    datagram message;
    message.sender = reader.name<base::router_name>(root->sender());
    message.sender_incarnation = base::incarnation(root->sender_incarnation());
    message.revision = root->configuration_revision();
    message.members_digest = root->members_digest();
    message.probe = read_probe(reader, *root);
    message.members =
        reader.list(root->members(), codec_limits::members,
                    [&](const wire::MemberUpdate& member) { return reader.member(&member); });
    message.notices = reader.list(
        root->backends(), codec_limits::notices, [&](const wire::BackendUpdate& notice) {
            std::string subject = reader.text(notice.engine(), codec_limits::name_bytes);
            reader.require(!subject.empty(), "a subject");
            return membership::notice{std::move(subject), notice.incarnation(), notice.leaving()};
        });
    if (reader.fault() != nullptr) {
        return malformed(std::string("datagram: expected ") + reader.fault());
    }
    return message;
}

}  // namespace ferryroad::peer
