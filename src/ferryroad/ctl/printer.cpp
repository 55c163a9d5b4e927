#include "ferryroad/ctl/printer.hpp"

#include "ferryroad/catalog/codec.hpp"
#include "ferryroad/catalog/names.hpp"
#include "ferryroad/ctl/text_table.hpp"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <cstdio>
#include <string>
#include <string_view>

namespace ferryroad::ctl {

namespace {

namespace json = boost::json;
namespace v1 = operators::v1;
using differences = google::protobuf::RepeatedPtrField<v1::ResourceDifference>;

std::string_view kind_text(v1::ChangeKind kind) {
    switch (kind) {
        case v1::CHANGE_KIND_ADDED:
            return "added";
        case v1::CHANGE_KIND_REMOVED:
            return "removed";
        default:
            return "changed";
    }
}

/// @return the parsed JSON, or null where the text isn't JSON; the caller then omits the fields.
json::value parse_or_null(const std::string& text) {
    json::error_code failure;
    json::value value = json::parse(text, failure);
    return failure ? json::value() : value;
}

json::array to_json(const differences& changed) {
    json::array list;
    for (const v1::ResourceDifference& difference : changed) {
        list.push_back(json::object{{"kind", kind_text(difference.kind())},
                                    {"resource", difference.resource()},
                                    {"before", parse_or_null(difference.before())},
                                    {"after", parse_or_null(difference.after())}});
    }
    return list;
}

std::string field_text(const json::object& object, std::string_view name) {
    const json::value* found = object.if_contains(name);
    return found == nullptr ? "-" : json::serialize(*found);
}

/// Prints one line for each field that the change sets to another value.
void print_fields(std::ostream& out, const v1::ResourceDifference& difference) {
    const json::value before = parse_or_null(difference.before());
    const json::value after = parse_or_null(difference.after());
    if (!before.is_object() || !after.is_object()) {
        return;
    }
    for (const auto& member : after.get_object()) {
        const std::string old = field_text(before.get_object(), member.key());
        const std::string fresh = json::serialize(member.value());
        if (old != fresh) {
            out << "    " << member.key() << ": " << old << " -> " << fresh << '\n';
        }
    }
}

void print_differences(std::ostream& out, const differences& changed) {
    for (const v1::ResourceDifference& difference : changed) {
        out << kind_text(difference.kind()) << ' ' << difference.resource() << '\n';
        print_fields(out, difference);
    }
}

std::string seconds_text(double seconds) {
    char text[32];
    std::snprintf(text, sizeof(text), "%.3f", seconds);
    return text;
}

std::string limit_text(double limit) {
    return limit == 0 ? "unlimited" : json::serialize(json::value(limit));
}

template <typename Ids>
std::string joined(const Ids& ids) {
    std::string text;
    for (const auto& id : ids) {
        text += (text.empty() ? "" : ",") + id.value;
    }
    return text.empty() ? "-" : text;
}

json::object to_json(const v1::RouterStatus& router) {
    return {{"name", router.name()},         {"address", router.address()},
            {"zone", router.zone()},         {"state", router.state()},
            {"revision", router.revision()}, {"incarnation", router.incarnation()}};
}

json::object to_json(const v1::EngineStatus& engine) {
    return {{"name", engine.name()},
            {"address", engine.address()},
            {"pool", engine.pool()},
            {"zone", engine.zone()},
            {"state", engine.state()},
            {"incarnation", engine.incarnation()},
            {"model", engine.model()},
            {"version", engine.version()},
            {"running", engine.running()},
            {"queued", engine.queued()},
            {"cached_pieces", engine.cached_pieces()},
            {"capacity_pieces", engine.capacity_pieces()}};
}

json::object to_json(const v1::Candidate& candidate) {
    return {{"engine", candidate.engine()},
            {"cached_pieces", candidate.cached_pieces()},
            {"queue_seconds", candidate.queue_seconds()},
            {"prefill_seconds", candidate.prefill_seconds()},
            {"import_seconds", candidate.import_seconds()},
            {"cost_seconds", candidate.cost_seconds()},
            {"chosen", candidate.chosen()}};
}

template <typename Messages>
json::array list_to_json(const Messages& messages) {
    json::array list;
    for (const auto& message : messages) {
        list.push_back(to_json(message));
    }
    return list;
}

void print_resources(std::ostream& out, const catalog::catalog& in_force) {
    text_table tenants({"TENANT", "REQUESTS/S", "BURST", "CONCURRENT", "WEIGHT"});
    for (const auto& [name, tenant] : in_force.tenants) {
        tenants.add({name.value, limit_text(tenant.limits.requests_per_second),
                     limit_text(tenant.limits.request_burst),
                     limit_text(tenant.limits.concurrent_requests),
                     json::serialize(json::value(tenant.weight))});
    }
    tenants.print(out);
    text_table models({"\nMODEL", "VERSION", "CONTEXT", "PIECE BYTES", "ADAPTERS"});
    for (const auto& [name, model] : in_force.models) {
        models.add({name.value, model.version.value, std::to_string(model.context_tokens),
                    std::to_string(model.piece_bytes), joined(model.adapters)});
    }
    models.print(out);
    text_table pools({"\nPOOL", "KIND", "MODEL", "DRAINED"});
    for (const auto& [name, pool] : in_force.pools) {
        pools.add({name.value, std::string(catalog::to_string(pool.kind)),
                   pool.model.value.empty() ? "-" : pool.model.value, joined(pool.drained)});
    }
    pools.print(out);
    text_table routes({"\nROUTE", "PATH", "POOL", "PRIORITY", "REPEATABLE", "DEADLINE MS"});
    for (const auto& [name, route] : in_force.routes) {
        routes.add({name.value, route.path_prefix, route.pool.value,
                    std::string(catalog::to_string(route.priority)),
                    route.repeatable ? "yes" : "no",
                    std::to_string(base::to_milliseconds(route.deadline))});
    }
    routes.print(out);
}

}  // namespace

void printer::print(const v1::PlanAnswer& answer) {
    if (format_ == output_format::json) {
        out_ << json::serialize(json::object{{"revision", answer.revision()},
                                             {"differences", to_json(answer.differences())}})
             << '\n';
        return;
    }
    print_differences(out_, answer.differences());
    out_ << answer.differences_size() << " differences to revision " << answer.revision() << '\n';
}

void printer::print(const v1::ApplyAnswer& answer) {
    if (format_ == output_format::json) {
        out_ << json::serialize(json::object{{"revision", answer.revision()},
                                             {"repeated", answer.repeated()},
                                             {"differences", to_json(answer.differences())}})
             << '\n';
        return;
    }
    print_differences(out_, answer.differences());
    out_ << "revision " << answer.revision()
         << (answer.repeated() ? " (the operation had taken effect before)" : "") << '\n';
}

void printer::print(const v1::DrainAnswer& answer) {
    if (format_ == output_format::json) {
        out_ << json::serialize(
                    json::object{{"revision", answer.revision()}, {"repeated", answer.repeated()}})
             << '\n';
        return;
    }
    out_ << "revision " << answer.revision() << '\n';
}

void printer::print(const v1::ConfirmAnswer& answer) {
    if (format_ == output_format::json) {
        out_ << json::serialize(
                    json::object{{"revision", answer.revision()}, {"by_table", answer.by_table()}})
             << '\n';
        return;
    }
    out_ << "revision " << answer.revision()
         << (answer.by_table() ? " confirmed by the table" : " confirmed on your word") << '\n';
}

void printer::print(const v1::WatchEvent& event) {
    if (format_ == output_format::json) {
        out_ << json::serialize(json::object{{"revision", event.revision()},
                                             {"author", event.author()},
                                             {"operation_id", event.operation_id()},
                                             {"compacted", event.compacted()},
                                             {"differences", to_json(event.differences())}})
             << std::endl;
        return;
    }
    out_ << "revision " << event.revision();
    if (!event.author().empty()) {
        out_ << " by " << event.author() << " (operation " << event.operation_id() << ")";
    }
    if (event.compacted()) {
        out_ << " (earlier changes are no longer kept)";
    }
    out_ << '\n';
    print_differences(out_, event.differences());
    out_ << std::flush;
}

void printer::print(const v1::StatusAnswer& answer) {
    if (format_ == output_format::json) {
        out_ << json::serialize(json::object{{"router", answer.router()},
                                             {"ready", answer.ready()},
                                             {"revision", answer.revision()},
                                             {"routers", list_to_json(answer.routers())},
                                             {"engines", list_to_json(answer.engines())}})
             << '\n';
        return;
    }
    out_ << "router " << answer.router() << (answer.ready() ? " ready" : " not ready")
         << ", revision " << answer.revision() << "\n\n";
    text_table routers({"ROUTER", "ADDRESS", "ZONE", "STATE", "REVISION"});
    for (const v1::RouterStatus& router : answer.routers()) {
        routers.add({router.name(), router.address(), router.zone(), router.state(),
                     std::to_string(router.revision())});
    }
    routers.print(out_);
    text_table engines({"\nENGINE", "ADDRESS", "POOL", "ZONE", "STATE", "MODEL", "VERSION",
                        "RUNNING", "QUEUED", "PIECES"});
    for (const v1::EngineStatus& engine : answer.engines()) {
        engines.add({engine.name(), engine.address(), engine.pool(), engine.zone(), engine.state(),
                     engine.model(), engine.version(), std::to_string(engine.running()),
                     std::to_string(engine.queued()),
                     std::to_string(engine.cached_pieces()) + "/" +
                         std::to_string(engine.capacity_pieces())});
    }
    engines.print(out_);
}

void printer::print(const v1::ExplainAnswer& answer) {
    if (format_ == output_format::json) {
        out_ << json::serialize(json::object{{"request_id", answer.request_id()},
                                             {"pool", answer.pool()},
                                             {"policy", answer.policy()},
                                             {"candidates", list_to_json(answer.candidates())}})
             << '\n';
        return;
    }
    out_ << "request " << answer.request_id() << ", pool " << answer.pool() << ", policy "
         << answer.policy() << "\n\n";
    text_table candidates(
        {"ENGINE", "CACHED", "QUEUE S", "PREFILL S", "IMPORT S", "COST S", "CHOSEN"});
    for (const v1::Candidate& candidate : answer.candidates()) {
        candidates.add({candidate.engine(), std::to_string(candidate.cached_pieces()),
                        seconds_text(candidate.queue_seconds()),
                        seconds_text(candidate.prefill_seconds()),
                        seconds_text(candidate.import_seconds()),
                        seconds_text(candidate.cost_seconds()), candidate.chosen() ? "yes" : ""});
    }
    candidates.print(out_);
}

void printer::print(const catalog::catalog& in_force) {
    if (format_ == output_format::json) {
        out_ << json::serialize(
                    json::object{{"revision", in_force.revision.value},
                                 {"state", parse_or_null(catalog::encode_desired_state(in_force))}})
             << '\n';
        return;
    }
    out_ << "revision " << in_force.revision.value << "\n\n";
    print_resources(out_, in_force);
}

void printer::print_file(const catalog::catalog& in_force) {
    out_ << catalog::encode_desired_state(in_force);
}

void printer::print_valid(const catalog::catalog& declared) {
    if (format_ == output_format::json) {
        out_ << json::serialize(json::object{{"valid", true},
                                             {"tenants", declared.tenants.size()},
                                             {"models", declared.models.size()},
                                             {"pools", declared.pools.size()},
                                             {"routes", declared.routes.size()}})
             << '\n';
        return;
    }
    out_ << "valid: " << declared.tenants.size() << " tenants, " << declared.models.size()
         << " models, " << declared.pools.size() << " pools, " << declared.routes.size()
         << " routes\n";
}

}  // namespace ferryroad::ctl
