#include "bench/workload/file.hpp"

#include "bench/workload/field_reader.hpp"
#include "ferryroad/http/json.hpp"

#include <boost/json/array.hpp>

#include <algorithm>
#include <fstream>
#include <iterator>
#include <set>
#include <utility>

namespace ferryroad::bench::workload {

namespace {

constexpr number_range any_weight{1e-6, 1e6};
constexpr number_range any_bytes{0, 64.0 * 1024 * 1024};
constexpr std::uint64_t default_max_tokens = 16;
constexpr std::uint64_t default_tail_bytes = 64;
constexpr std::uint64_t default_body_bytes = 128;

std::string element(const std::string& list, std::size_t index) {
    return list + "[" + std::to_string(index) + "]";
}

/// Reads each object of the list `name` by `decode`.
template <typename Item, typename Decode>
std::vector<Item> read_items(field_reader& fields, std::string_view name, Decode decode) {
    std::vector<Item> items;
    const boost::json::array& values = fields.list(name);
    for (std::size_t index = 0; index < values.size(); ++index) {
        field_reader item(values[index], element(fields.path_of(name), index), fields.faults());
        items.push_back(decode(item));
        item.refuse_unknown();
    }
    return items;
}

arrivals decode_arrivals(field_reader fields) {
    const std::string mode = fields.text("mode");
    arrivals decoded;
    if (mode == "closed") {
        const auto concurrency = fields.whole("concurrency", at_least_one);
        decoded = closed_arrivals{static_cast<std::uint32_t>(concurrency)};
    } else if (mode == "open") {
        constexpr number_range any_rate{1e-3, 1e6};
        decoded = open_arrivals{fields.number("requests_per_second", any_rate)};
    } else {
        fields.fail("mode", "\"open\" or \"closed\"");
    }
    fields.refuse_unknown();
    return decoded;
}

environment decode_environment(field_reader fields) {
    environment decoded;
    for (const boost::json::value& zone : fields.list("zones")) {
        if (!zone.is_string()) {
            fields.fail("zones", "a list of texts");
            break;
        }
        decoded.zones.emplace_back(std::string(zone.get_string()));
    }
    decoded.zone_latency = fields.milliseconds("zone_latency_ms");
    decoded.client_latency = fields.milliseconds("client_latency_ms");
    decoded.routers = static_cast<std::uint32_t>(fields.whole("routers", at_least_one));
    decoded.engines = static_cast<std::uint32_t>(fields.whole("engines", at_least_one));
    constexpr number_range any_count{0, 1e9};
    decoded.application_engines =
        static_cast<std::uint32_t>(fields.whole("application_engines", any_count));
    fields.refuse_unknown();
    return decoded;
}

tenant_share decode_tenant(field_reader& fields) {
    tenant_share decoded;
    decoded.name.value = fields.text("name");
    decoded.weight = fields.number_or("weight", 1.0, any_weight);
    return decoded;
}

prefix_level decode_level(field_reader& fields) {
    prefix_level decoded;
    decoded.children = static_cast<std::uint32_t>(fields.whole("children", at_least_one));
    decoded.bytes = fields.whole("bytes", any_bytes);
    decoded.stop_share = fields.number_or("stop_share", 0.0, any_share);
    return decoded;
}

corpus decode_corpus(field_reader& fields) {
    constexpr number_range any_exponent{0, 10};
    corpus decoded;
    decoded.name = fields.text("name");
    decoded.zipf_exponent = fields.number_or("zipf_exponent", 1.0, any_exponent);
    decoded.levels = read_items<prefix_level>(fields, "levels", decode_level);
    decoded.tail_bytes_min = fields.whole_or("tail_bytes_min", default_tail_bytes, any_bytes);
    decoded.tail_bytes_max = fields.whole_or("tail_bytes_max", decoded.tail_bytes_min, any_bytes);
    if (decoded.tail_bytes_max < decoded.tail_bytes_min) {
        fields.fail("tail_bytes_max", "no less than tail_bytes_min");
    }
    return decoded;
}

request_type decode_type(field_reader& fields) {
    const std::string type = fields.text("type");
    if (type == "application_read") {
        return request_type::application_read;
    }
    if (type == "application_write") {
        return request_type::application_write;
    }
    if (type != "generation") {
        fields.fail("type", "\"generation\", \"application_read\" or \"application_write\"");
    }
    return request_type::generation;
}

void decode_generation(field_reader& fields, request_kind& decoded) {
    decoded.stream = fields.flag_or("stream", true);
    decoded.model.value = fields.optional_text("model").value_or("");
    decoded.corpus = fields.text("corpus");
    const auto least = fields.whole_or("max_tokens_min", default_max_tokens, at_least_one);
    const auto most = fields.whole_or("max_tokens_max", least, at_least_one);
    decoded.max_tokens_min = static_cast<std::uint32_t>(least);
    decoded.max_tokens_max = static_cast<std::uint32_t>(most);
    if (most < least) {
        fields.fail("max_tokens_max", "no less than max_tokens_min");
    }
}

request_kind decode_kind(field_reader& fields) {
    request_kind decoded;
    decoded.name = fields.text("name");
    decoded.type = decode_type(fields);
    decoded.weight = fields.number_or("weight", 1.0, any_weight);
    decoded.path = fields.optional_text("path");
    if (decoded.path && decoded.path->front() != '/') {
        fields.fail("path", "a path that begins with /");
    }
    if (decoded.type == request_type::generation) {
        decode_generation(fields, decoded);
    }
    if (decoded.type == request_type::application_write) {
        decoded.body_bytes = fields.whole_or("body_bytes", default_body_bytes, any_bytes);
        decoded.repeat_share = fields.number_or("repeat_share", 0.0, any_share);
    }
    return decoded;
}

std::vector<double> decode_shifts(field_reader& fields) {
    std::vector<double> shifts;
    for (const boost::json::value& value : fields.list_or_empty("hot_set_shifts")) {
        const double shift = value.is_number() ? value.to_number<double>() : -1.0;
        if (shift < any_share.least || shift > any_share.most) {
            fields.fail("hot_set_shifts", "a list of shares of the run, each from 0 to 1");
            break;
        }
        shifts.push_back(shift);
    }
    return shifts;
}

std::string name_of(const tenant_share& tenant) {
    return tenant.name.value;
}

template <typename Item>
std::string name_of(const Item& item) {
    return item.name;
}

template <typename Item>
void check_names(field_reader& fields, std::string_view list, const std::vector<Item>& items) {
    std::set<std::string> names;
    for (const Item& item : items) {
        names.insert(name_of(item));
    }
    if (names.size() != items.size()) {
        fields.fail(list, "names that differ");
    }
}

/// Faults that no single object shows.
void check_references(field_reader& fields, const specification& decoded) {
    for (const request_kind& kind : decoded.kinds) {
        const bool known =
            std::any_of(decoded.corpora.begin(), decoded.corpora.end(),
                        [&kind](const corpus& entry) { return entry.name == kind.corpus; });
        if (kind.type == request_type::generation && !known) {
            fields.fail("kinds", "corpus \"" + kind.corpus + "\" to stand in \"corpora\"");
        }
    }
    check_names(fields, "tenants", decoded.tenants);
    check_names(fields, "corpora", decoded.corpora);
    check_names(fields, "kinds", decoded.kinds);
}

specification decode_specification(field_reader& fields) {
    constexpr number_range any_seed{0, 9007199254740992.0};
    specification decoded;
    decoded.name = fields.text("name");
    decoded.seed = fields.whole_or("seed", 1, any_seed);
    decoded.requests = fields.whole("requests", at_least_one);
    decoded.piece_bytes =
        fields.whole_or("piece_bytes", core::prefix::default_piece_bytes, at_least_one);
    decoded.arrival = decode_arrivals(fields.object("arrivals"));
    decoded.place = decode_environment(fields.object("environment"));
    decoded.tenants = read_items<tenant_share>(fields, "tenants", decode_tenant);
    decoded.kinds = read_items<request_kind>(fields, "kinds", decode_kind);
    const bool generates =
        std::any_of(decoded.kinds.begin(), decoded.kinds.end(),
                    [](const request_kind& kind) { return kind.type == request_type::generation; });
    if (generates) {
        decoded.corpora = read_items<corpus>(fields, "corpora", decode_corpus);
    }
    decoded.hot_set_shifts = decode_shifts(fields);
    fields.refuse_unknown();
    check_references(fields, decoded);
    return decoded;
}

}  // namespace

runtime::result<specification, error> parse_specification(std::string_view text) {
    const auto parsed = http::parse_json(text);
    if (!parsed) {
        return error{error_code::malformed, "not JSON: " + parsed.error().message};
    }
    fault_record faults;
    field_reader fields(*parsed, "", faults);
    specification decoded = decode_specification(fields);
    if (faults.first) {
        return *faults.first;
    }
    return decoded;
}

runtime::result<specification, error> read_specification(const std::string& file) {
    std::ifstream input(file, std::ios::binary);
    if (!input) {
        return error{error_code::unreadable, "can't be read"};
    }
    const std::string text{std::istreambuf_iterator<char>(input), std::istreambuf_iterator<char>()};
    return parse_specification(text);
}

}  // namespace ferryroad::bench::workload
