#include "ferryroad/peer/codec_fields.hpp"
#include "ferryroad/peer/release_message.hpp"

#include <set>
#include <string>
#include <utility>

namespace ferryroad::peer {

namespace {

using coordination::release::order_number;
using coordination::release::phase_notice;
using coordination::release::release_phase;
using coordination::release::software_version;
using core::canary::compared_counts;
using core::canary::outcome_counts;

/// Distinguish these messages from other datagrams.
constexpr const char* report_identifier = "FRRR";
constexpr const char* notice_identifier = "FRRN";
/// Limit of routes and versions; more than fit into a datagram.
constexpr std::size_t max_entries = 256;

wire::ReleasePhase write_phase(const std::optional<release_phase>& phase) {
    if (!phase) {
        return wire::ReleasePhase::none;
    }
    switch (*phase) {
        case release_phase::trial:
            return wire::ReleasePhase::trial;
        case release_phase::promoted:
            return wire::ReleasePhase::promoted;
        case release_phase::completed:
            return wire::ReleasePhase::completed;
        case release_phase::rolled_back:
            break;
    }
    return wire::ReleasePhase::rolled_back;
}

std::optional<release_phase> read_phase(field_reader& reader, wire::ReleasePhase phase) {
    switch (phase) {
        case wire::ReleasePhase::none:
            return std::nullopt;
        case wire::ReleasePhase::trial:
            return release_phase::trial;
        case wire::ReleasePhase::promoted:
            return release_phase::promoted;
        case wire::ReleasePhase::completed:
            return release_phase::completed;
        case wire::ReleasePhase::rolled_back:
            return release_phase::rolled_back;
    }
    reader.require(false, "a known phase");
    return std::nullopt;
}

offset<wire::ReleaseOutcomes> write_outcomes(buffer_builder& builder,
                                             const outcome_counts& counted) {
    std::vector<std::uint8_t> classes;
    std::vector<std::uint32_t> counts;
    for (std::size_t index = 0; index < counted.durations.size(); ++index) {
        if (counted.durations[index] > 0) {
            classes.push_back(static_cast<std::uint8_t>(index));
            counts.push_back(counted.durations[index]);
        }
    }
    const auto class_list = builder.CreateVector(classes);
    const auto count_list = builder.CreateVector(counts);
    return wire::CreateReleaseOutcomes(builder, counted.answered, counted.failed, class_list,
                                       count_list);
}

outcome_counts read_outcomes(field_reader& reader, const wire::ReleaseOutcomes* encoded) {
    outcome_counts counted;
    if (encoded == nullptr) {
        return counted;
    }
    counted.answered = encoded->answered();
    counted.failed = encoded->failed();
    const std::size_t size = encoded->classes() == nullptr ? 0 : encoded->classes()->size();
    const std::size_t count_size = encoded->counts() == nullptr ? 0 : encoded->counts()->size();
    reader.require(size == count_size && size <= counted.durations.size(),
                   "a count for each class");
    if (reader.fault() != nullptr) {
        return counted;
    }
    std::uint64_t total = 0;
    for (std::size_t place = 0; place < size; ++place) {
        const auto index = static_cast<flatbuffers::uoffset_t>(place);
        const std::size_t duration_class = encoded->classes()->Get(index);
        const bool is_new =
            duration_class < counted.durations.size() && counted.durations[duration_class] == 0;
        reader.require(is_new, "each class once");
        if (is_new) {
            counted.durations[duration_class] = encoded->counts()->Get(index);
            total += counted.durations[duration_class];
        }
    }
    reader.require(total + counted.failed <= counted.answered, "no more parts than answers");
    return counted;
}

offset<wire::ReleaseRoute> write_route(buffer_builder& builder, const std::string& route,
                                       const compared_counts& counted) {
    const auto name = write_text(builder, route);
    const auto current = write_outcomes(builder, counted.current);
    const auto canary = write_outcomes(builder, counted.canary);
    return wire::CreateReleaseRoute(builder, name, current, canary);
}

using version_list = flatbuffers::Vector<flatbuffers::Offset<flatbuffers::String>>;

offset<version_list> write_versions(buffer_builder& builder,
                                    const std::set<software_version>& versions) {
    std::vector<offset<flatbuffers::String>> names;
    names.reserve(versions.size());
    for (const software_version& each : versions) {
        names.push_back(builder.CreateString(each.value));
    }
    return names.empty() ? offset<version_list>() : builder.CreateVector(names);
}

std::set<software_version> read_versions(field_reader& reader, const version_list* encoded) {
    std::set<software_version> versions;
    const std::size_t size = encoded == nullptr ? 0 : encoded->size();
    reader.require(size <= max_entries, "a shorter list");
    for (std::size_t place = 0; place < size && reader.fault() == nullptr; ++place) {
        const auto index = static_cast<flatbuffers::uoffset_t>(place);
        versions.insert(reader.name<software_version>(encoded->Get(index)));
    }
    return versions;
}

}  // namespace

message_bytes encode(const release_report& report) {
    buffer_builder builder(max_datagram_bytes);
    const auto routes = write_list<wire::ReleaseRoute>(
        builder, report.counts,
        [&](const auto& each) { return write_route(builder, each.first.value, each.second); });
    const auto sender = write_text(builder, report.sender.value);
    const auto pool = write_text(builder, report.pool.value);
    return finish(
        builder,
        wire::CreateReleaseReport(builder, sender, report.sender_incarnation.value, pool,
                                  report.order.value, write_phase(report.phase), report.saw_bad,
                                  report.unrepeatable, routes, report.number),
        report_identifier);
}

message_bytes encode(const release_notice& notice) {
    buffer_builder builder(max_datagram_bytes);
    const phase_notice told = notice.told.value_or(phase_notice{});
    const auto phase = notice.told ? write_phase(told.phase) : wire::ReleasePhase::none;
    const auto refused = write_versions(builder, told.refused);
    const auto replaced = write_versions(builder, told.replaced);
    const auto sender = write_text(builder, notice.sender.value);
    const auto pool = write_text(builder, notice.pool.value);
    const auto target = write_text(builder, told.target.value);
    return finish(builder,
                  wire::CreateReleaseNotice(builder, sender, pool, notice.order.value, target,
                                            phase, refused, replaced, notice.done, notice.answers),
                  notice_identifier);
}

bool is_release_report(std::string_view bytes) {
    return has_identifier(bytes, report_identifier);
}

bool is_release_notice(std::string_view bytes) {
    return has_identifier(bytes, notice_identifier);
}

result<release_report> decode_release_report(std::string_view bytes) {
    const aligned_bytes aligned(bytes);
    const auto* root = verified_root<wire::ReleaseReport>(aligned.view(), report_identifier);
    if (root == nullptr) {
        return malformed("not a release report");
    }
    field_reader reader;
    release_report report;
    report.sender = reader.name<base::router_name>(root->sender());
    report.sender_incarnation.value = root->sender_incarnation();
    report.pool = reader.name<base::pool_name>(root->pool());
    report.order = order_number(root->order());
    report.phase = read_phase(reader, root->phase());
    report.saw_bad = root->saw_bad();
    report.unrepeatable = root->unrepeatable();
    report.number = root->number();
    const auto routes = reader.list(root->routes(), max_entries, [&](const auto& one) {
        return std::pair(reader.template name<base::route_name>(one.route()),
                         compared_counts{read_outcomes(reader, one.current()),
                                         read_outcomes(reader, one.canary())});
    });
    for (const auto& [route, counted] : routes) {
        reader.require(report.counts.emplace(route, counted).second, "each route once");
    }
    if (reader.fault() != nullptr) {
        return malformed(std::string("release report: expected ") + reader.fault());
    }
    return report;
}

result<release_notice> decode_release_notice(std::string_view bytes) {
    const aligned_bytes aligned(bytes);
    const auto* root = verified_root<wire::ReleaseNotice>(aligned.view(), notice_identifier);
    if (root == nullptr) {
        return malformed("not a release notice");
    }
    field_reader reader;
    release_notice notice;
    notice.sender = reader.name<base::router_name>(root->sender());
    notice.pool = reader.name<base::pool_name>(root->pool());
    notice.order = order_number(root->order());
    notice.done = root->done();
    notice.answers = root->answers();
    if (const auto phase = read_phase(reader, root->phase())) {
        notice.told = phase_notice{notice.pool,
                                   notice.order,
                                   reader.name<software_version>(root->target()),
                                   *phase,
                                   read_versions(reader, root->refused()),
                                   read_versions(reader, root->replaced())};
    }
    if (reader.fault() != nullptr) {
        return malformed(std::string("release notice: expected ") + reader.fault());
    }
    return notice;
}

}  // namespace ferryroad::peer
