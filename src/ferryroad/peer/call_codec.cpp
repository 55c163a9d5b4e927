#include "ferryroad/peer/codec_fields.hpp"

#include <algorithm>
#include <chrono>
#include <limits>
#include <optional>

namespace ferryroad::peer {

namespace {

namespace configuration = coordination::configuration;
namespace membership = coordination::membership;
using core::prefix::cache_namespace;

// These enumerations are converted by casts.
static_assert(static_cast<int>(core::prefix::prefix_change::events_lost) ==
              static_cast<int>(wire::PrefixChange::events_lost));
static_assert(static_cast<int>(core::prefix::prefix_change::evicted) ==
              static_cast<int>(wire::PrefixChange::evicted));
static_assert(static_cast<int>(core::prefix::evidence::event) ==
              static_cast<int>(wire::PrefixEvidence::event));
static_assert(static_cast<int>(core::prefix::evidence::answer) ==
              static_cast<int>(wire::PrefixEvidence::answer));

/// An encoded union: its type and its table.
struct wire_body {
    wire::CallBody type = wire::CallBody::NONE;
    offset<void> table;
};

/// Visitor of `call_body` that writes the body of a call.
struct body_writer {
    buffer_builder& builder;

    offset<wire::Namespace> scope(const cache_namespace& scope) const {
        const auto tenant = write_shared(builder, scope.tenant.value);
        const auto model = write_shared(builder, scope.model.value);
        const auto version = write_shared(builder, scope.version.value);
        const auto adapter = write_shared(builder, scope.adapter.value);
        return wire::CreateNamespace(builder, tenant, model, version, adapter);
    }
    offset<flatbuffers::Vector<std::uint64_t>> pieces(
        const std::vector<base::piece_hash>& pieces) const {
        std::vector<std::uint64_t> values;
        values.reserve(pieces.size());
        for (const base::piece_hash& piece : pieces) {
            values.push_back(piece.value);
        }
        return builder.CreateVector(values);
    }
    offset<offset_vector<wire::MemberUpdate>> members(
        const std::vector<membership::member_update>& members) const {
        return write_list<wire::MemberUpdate>(
            builder, members, [&](const auto& member) { return write_member(builder, member); });
    }
    offset<wire::ResourceChange> resource(const configuration::resource_key& key,
                                          const std::string& value, bool removed) const {
        const auto wire_key = write_text(builder, key.value);
        const auto wire_value = write_text(builder, value);
        return wire::CreateResourceChange(builder, wire_key, wire_value, removed);
    }
    offset<wire::ConfigurationChange> change(const configuration::change& change) const {
        const auto operation = write_text(builder, change.operation.value);
        const auto author = write_text(builder, change.author.value);
        const auto resources = write_list<wire::ResourceChange>(
            builder, change.resources, [&](const configuration::resource_change& entry) {
                return resource(entry.key, entry.value.value_or(""), !entry.value.has_value());
            });
        return wire::CreateConfigurationChange(builder, change.revision.value, operation, author,
                                               resources);
    }
    offset<offset_vector<wire::ResourceChange>> snapshot(
        const configuration::snapshot& snapshot) const {
        return write_list<wire::ResourceChange>(builder, snapshot.content, [&](const auto& entry) {
            return resource(entry.first, entry.second, false);
        });
    }

    wire_body operator()(const join_request& body) const {
        const auto member = write_member(builder, body.member);
        return {wire::CallBody::JoinRequest, wire::CreateJoinRequest(builder, member).Union()};
    }
    wire_body operator()(const join_answer& body) const {
        const auto list = members(body.members);
        return {wire::CallBody::JoinAnswer, wire::CreateJoinAnswer(builder, list).Union()};
    }
    wire_body operator()(const configuration_pull& body) const {
        return {wire::CallBody::ConfigurationPull,
                wire::CreateConfigurationPull(builder, body.from.value).Union()};
    }
    wire_body operator()(const configuration_answer& body) const {
        const auto base = body.base.value_or(configuration::snapshot{});
        const auto content = snapshot(base);
        const auto changes = write_list<wire::ConfigurationChange>(
            builder, body.changes,
            [&](const configuration::change& entry) { return change(entry); });
        return {wire::CallBody::ConfigurationAnswer,
                wire::CreateConfigurationAnswer(builder, body.head.value, base.revision.value,
                                                content, changes, body.confirmed)
                    .Union()};
    }
    wire_body operator()(const configuration_push& body) const {
        const auto pushed = change(body.change);
        return {wire::CallBody::ConfigurationPush,
                wire::CreateConfigurationPush(builder, pushed).Union()};
    }
    wire_body operator()(const prefix_lookup& body) const {
        const auto scope_table = scope(body.scope);
        const auto piece_list = pieces(body.pieces);
        return {wire::CallBody::PrefixLookup,
                wire::CreatePrefixLookup(builder, scope_table, piece_list).Union()};
    }
    wire_body operator()(const prefix_answer& body) const {
        const auto holders = write_list<wire::PrefixHolder>(
            builder, body.holders, [&](const core::prefix::holder& holder) {
                const auto engine = write_shared(builder, holder.process.engine.value);
                return wire::CreatePrefixHolder(builder, engine, holder.process.incarnation.value,
                                                holder.pieces, to_wire_milliseconds(holder.age));
            });
        const auto rate = static_cast<float>(body.request_rate);
        const auto dispatches = write_list<wire::PrefixDispatch>(
            builder, body.dispatches, [&](const core::prefix::recent_dispatch& dispatch) {
                const auto engine = write_shared(builder, dispatch.process.engine.value);
                return wire::CreatePrefixDispatch(
                    builder, engine, dispatch.process.incarnation.value, dispatch.prefill_tokens,
                    to_wire_milliseconds(dispatch.age));
            });
        return {wire::CallBody::PrefixAnswer,
                wire::CreatePrefixAnswer(builder, holders, rate, dispatches).Union()};
    }
    wire_body operator()(const prefix_reports& body) const {
        const auto reports = write_list<wire::PrefixReport>(
            builder, body.reports, [&](const core::prefix::prefix_report& report) {
                const bool without_scope = report.scope == cache_namespace{};
                const auto scope_table =
                    without_scope ? offset<wire::Namespace>() : scope(report.scope);
                const auto held = pieces(report.pieces);
                const auto engine = write_shared(builder, report.process.engine.value);
                return wire::CreatePrefixReport(
                    builder, scope_table, held, engine, report.process.incarnation.value,
                    static_cast<wire::PrefixChange>(report.change),
                    static_cast<wire::PrefixEvidence>(report.why), report.prefill_tokens);
            });
        return {wire::CallBody::PrefixReports, wire::CreatePrefixReports(builder, reports).Union()};
    }
    wire_body operator()(const quota_request& body) const {
        const auto& ask = body.ask;
        const auto subject = write_text(builder, ask.subject.name);
        offset<wire::SlotUse> slots;
        if (ask.slots) {
            const auto pending = builder.CreateVector(ask.slots->pending);
            slots = wire::CreateSlotUse(builder, ask.slots->process_start_ms, ask.slots->listed,
                                        ask.slots->running, ask.slots->rejected,
                                        ask.slots->rejection_limit, to_wire_milliseconds(ask.wait),
                                        ask.slots->asker_process, ask.slots->number, pending);
        }
        return {wire::CallBody::QuotaRequest,
                wire::CreateQuotaRequest(builder, body.number, subject, ask.amount,
                                         ask.limit.revision.value, ask.limit.per_second,
                                         ask.limit.burst, ask.known_askers,
                                         static_cast<wire::QuotaSubjectKind>(ask.subject.kind),
                                         ask.uncounted, to_wire_milliseconds(ask.limit_age), slots)
                    .Union()};
    }
    wire_body operator()(const quota_grant& body) const {
        return {wire::CallBody::QuotaGrant,
                wire::CreateQuotaGrant(builder, body.number, body.verdict.granted,
                                       to_wire_milliseconds(body.verdict.retry_after),
                                       body.verdict.askers, body.verdict.decided, body.verdict.room,
                                       body.verdict.queued)
                    .Union()};
    }
    wire_body operator()(const empty& /*body*/) const {
        return {wire::CallBody::Empty, wire::CreateEmpty(builder).Union()};
    }
};

/// Reads the body of a call. Checks that optional tables are present before it reads them.
struct body_reader {
    field_reader& fields;

    cache_namespace scope(const wire::Namespace* field) const {
        cache_namespace scope;
        fields.require(field != nullptr, "a namespace");
        if (field != nullptr) {
            scope.tenant = fields.name<base::tenant_name>(field->tenant());
            scope.model = fields.name<base::model_name>(field->model());
            scope.version = fields.optional_name<base::weights_version>(field->version());
            scope.adapter = fields.optional_name<base::adapter_name>(field->adapter());
        }
        return scope;
    }
    std::vector<base::piece_hash> pieces(const flatbuffers::Vector<std::uint64_t>* field) const {
        std::vector<base::piece_hash> pieces;
        const std::size_t size = field == nullptr ? 0 : field->size();
        fields.require(size <= codec_limits::pieces, "fewer pieces");
        if (size > 0 && size <= codec_limits::pieces) {
            pieces.reserve(size);
            for (const std::uint64_t piece : *field) {
                pieces.emplace_back(piece);
            }
        }
        return pieces;
    }
    configuration::resource_change resource(const wire::ResourceChange& field) const {
        configuration::resource_change change;
        change.key = configuration::resource_key(fields.value(field.key()));
        fields.require(!change.key.value.empty(), "a resource's key");
        if (!field.removed()) {
            change.value = fields.value(field.value());
        }
        return change;
    }
    configuration::change change(const wire::ConfigurationChange* field) const {
        configuration::change change;
        fields.require(field != nullptr, "a change");
        if (field != nullptr) {
            change.revision = base::revision(field->revision());
            change.operation = configuration::operation_id(fields.value(field->operation()));
            change.author = configuration::author_name(fields.value(field->author()));
            change.resources =
                fields.list(field->resources(), codec_limits::resources,
                            [&](const wire::ResourceChange& entry) { return resource(entry); });
        }
        return change;
    }
    /// @return the snapshot, or nothing if the response has none (revision 0, the empty
    /// configuration).
    std::optional<configuration::snapshot> snapshot(const wire::ConfigurationAnswer& body) const {
        if (body.snapshot_revision() == 0) {
            return std::nullopt;
        }
        configuration::snapshot snapshot{base::revision(body.snapshot_revision()), {}};
        const auto content =
            fields.list(body.snapshot(), codec_limits::resources,
                        [&](const wire::ResourceChange& entry) { return resource(entry); });
        for (const configuration::resource_change& entry : content) {
            fields.require(entry.value.has_value(), "a snapshot without removals");
            snapshot.content.emplace(entry.key, entry.value.value_or(""));
        }
        return snapshot;
    }
    core::prefix::engine_process process(const flatbuffers::String* engine,
                                         std::uint64_t incarnation) const {
        return {fields.name<base::engine_name>(engine), base::incarnation(incarnation)};
    }
    core::prefix::prefix_report report(const wire::PrefixReport& field) const {
        fields.require(
            field.change() <= wire::PrefixChange::MAX && field.change() >= wire::PrefixChange::MIN,
            "a known change");
        fields.require(field.evidence() <= wire::PrefixEvidence::MAX &&
                           field.evidence() >= wire::PrefixEvidence::MIN,
                       "known evidence");
        // A loss of events affects all namespaces of the engine process, so it names none.
        const bool without_scope =
            field.change() == wire::PrefixChange::events_lost && field.scope() == nullptr;
        return {without_scope ? cache_namespace{} : scope(field.scope()),
                pieces(field.pieces()),
                process(field.engine(), field.incarnation()),
                static_cast<core::prefix::prefix_change>(field.change()),
                static_cast<core::prefix::evidence>(field.evidence()),
                field.prefill_tokens()};
    }

    call_body read(const wire::JoinRequest& body) const {
        return join_request{fields.member(body.member())};
    }
    call_body read(const wire::JoinAnswer& body) const {
        return join_answer{
            fields.list(body.members(), codec_limits::members,
                        [&](const wire::MemberUpdate& entry) { return fields.member(&entry); })};
    }
    call_body read(const wire::ConfigurationPull& body) const {
        return configuration_pull{base::revision(body.from_revision())};
    }
    call_body read(const wire::ConfigurationAnswer& body) const {
        configuration_answer answer;
        answer.head = base::revision(body.head_revision());
        answer.base = snapshot(body);
        answer.changes =
            fields.list(body.changes(), codec_limits::changes,
                        [&](const wire::ConfigurationChange& entry) { return change(&entry); });
        answer.confirmed = body.confirmed();
        return answer;
    }
    call_body read(const wire::ConfigurationPush& body) const {
        return configuration_push{change(body.change())};
    }
    call_body read(const wire::PrefixLookup& body) const {
        return prefix_lookup{scope(body.scope()), pieces(body.pieces())};
    }
    call_body read(const wire::PrefixAnswer& body) const {
        prefix_answer answer;
        answer.holders = fields.list(
            body.holders(), codec_limits::holders, [&](const wire::PrefixHolder& holder) {
                return core::prefix::holder{process(holder.engine(), holder.incarnation()),
                                            holder.depth(),
                                            std::chrono::milliseconds(holder.age_milliseconds())};
            });
        answer.request_rate = fields.amount(body.request_rate());
        answer.dispatches = fields.list(
            body.dispatches(), codec_limits::dispatches, [&](const wire::PrefixDispatch& entry) {
                return core::prefix::recent_dispatch{
                    process(entry.engine(), entry.incarnation()), entry.prefill_tokens(),
                    std::chrono::milliseconds(entry.age_milliseconds())};
            });
        return answer;
    }
    call_body read(const wire::PrefixReports& body) const {
        return prefix_reports{
            fields.list(body.reports(), codec_limits::reports,
                        [&](const wire::PrefixReport& entry) { return report(entry); })};
    }
    call_body read(const wire::QuotaRequest& body) const {
        const coordination::quota::rate_limit limit{base::revision(body.configuration_revision()),
                                                    fields.amount(body.per_second()),
                                                    fields.amount(body.burst())};
        fields.require(limit.per_second > 0 || body.slots() != nullptr, "a rate above 0 or slots");
        return quota_request{
            body.number(),
            {quota_subject(body), fields.amount(body.amount()), limit, body.known_askers(),
             fields.amount(body.uncounted()),
             std::chrono::milliseconds(body.limit_age_milliseconds()), slot_use(body.slots()),
             std::chrono::milliseconds(
                 body.slots() == nullptr ? 0 : body.slots()->wait_milliseconds())}};
    }
    static std::optional<coordination::quota::slot_use> slot_use(const wire::SlotUse* field) {
        if (field == nullptr) {
            return std::nullopt;
        }
        coordination::quota::slot_use use{field->process_start_milliseconds(),
                                          field->listed(),
                                          field->running(),
                                          field->rejected(),
                                          field->rejection_limit(),
                                          field->sender_process(),
                                          field->number(),
                                          {}};
        if (const auto* pending = field->pending()) {
            use.pending.assign(pending->begin(), pending->end());
        }
        return use;
    }
    coordination::quota::quota_subject quota_subject(const wire::QuotaRequest& body) const {
        if (body.kind() == wire::QuotaSubjectKind::engine) {
            return fields.name<base::engine_name>(body.subject());
        }
        fields.require(body.kind() == wire::QuotaSubjectKind::tenant, "a kind of subject");
        return fields.name<base::tenant_name>(body.subject());
    }
    call_body read(const wire::QuotaGrant& body) const {
        return quota_grant{body.number(),
                           {body.granted(), std::chrono::milliseconds(body.retry_milliseconds()),
                            body.askers(), body.decided(), body.queued(), body.room()}};
    }
    call_body read(const wire::Empty& /*body*/) const { return empty{}; }

    template <typename Wire>
    call_body read_as(const wire::Call& message) const {
        return read(*static_cast<const Wire*>(message.body()));
    }
    call_body body(const wire::Call& message) const;
};

call_body body_reader::body(const wire::Call& message) const {
    fields.require(message.body() != nullptr, "a body");
    if (message.body() == nullptr) {
        return empty{};
    }
    switch (message.body_type()) {
        case wire::CallBody::NONE:
            break;
        case wire::CallBody::JoinRequest:
            return read_as<wire::JoinRequest>(message);
        case wire::CallBody::JoinAnswer:
            return read_as<wire::JoinAnswer>(message);
        case wire::CallBody::ConfigurationPull:
            return read_as<wire::ConfigurationPull>(message);
        case wire::CallBody::ConfigurationAnswer:
            return read_as<wire::ConfigurationAnswer>(message);
        case wire::CallBody::ConfigurationPush:
            return read_as<wire::ConfigurationPush>(message);
        case wire::CallBody::PrefixLookup:
            return read_as<wire::PrefixLookup>(message);
        case wire::CallBody::PrefixAnswer:
            return read_as<wire::PrefixAnswer>(message);
        case wire::CallBody::PrefixReports:
            return read_as<wire::PrefixReports>(message);
        case wire::CallBody::QuotaRequest:
            return read_as<wire::QuotaRequest>(message);
        case wire::CallBody::QuotaGrant:
            return read_as<wire::QuotaGrant>(message);
        case wire::CallBody::Empty:
            return empty{};
    }
    fields.require(false, "a known body");
    return empty{};
}

}  // namespace

message_bytes encode(const call& message) {
    buffer_builder builder;
    const wire_body body = std::visit(body_writer{builder}, message.body);
    const auto sender = write_text(builder, message.sender.value);
    return finish(builder, wire::CreateCall(builder, sender, message.sender_incarnation.value,
                                            body.type, body.table));
}

result<call> decode_call(std::string_view bytes) {
    const aligned_bytes aligned(bytes);
    const auto* root = verified_root<wire::Call>(aligned.view());
    if (root == nullptr) {
        return malformed("not a call");
    }
    field_reader reader;
    call message;
    message.sender = reader.name<base::router_name>(root->sender());
    message.sender_incarnation = base::incarnation(root->sender_incarnation());
    message.body = body_reader{reader}.body(*root);
    if (reader.fault() != nullptr) {
        return malformed(std::string("call: expected ") + reader.fault());
    }
    return message;
}

}  // namespace ferryroad::peer
