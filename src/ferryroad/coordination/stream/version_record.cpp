#include "ferryroad/coordination/stream/version_record.hpp"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <utility>

namespace ferryroad::coordination::stream {

namespace json = boost::json;

version_record updated(const std::optional<version_record>& previous,
                       std::set<software_version> current, store_clock_milliseconds now) {
    version_record next;
    if (previous) {
        next.others_until = previous->current == current ? previous->others_until : now;
    }
    next.current = std::move(current);
    return next;
}

std::optional<software_version> sole_version(const version_record& record, base::duration within,
                                             store_clock_milliseconds now) {
    const bool others =
        record.others_until && now - *record.others_until < base::to_milliseconds(within);
    if (record.current.size() != 1 || others) {
        return std::nullopt;
    }
    return *record.current.begin();
}

std::string encode(const version_record& record) {
    json::array versions;
    for (const software_version& one : record.current) {
        versions.emplace_back(one.value);
    }
    json::object fields{{"versions", std::move(versions)}};
    if (record.others_until) {
        fields["others_until_ms"] = *record.others_until;
    }
    return json::serialize(fields);
}

std::optional<version_record> decode_version_record(std::string_view text) {
    boost::system::error_code failure;
    const json::value parsed = json::parse(text, failure);
    const json::object* fields = failure ? nullptr : parsed.if_object();
    const json::value* versions = fields ? fields->if_contains("versions") : nullptr;
    if (versions == nullptr || !versions->is_array()) {
        return std::nullopt;
    }
    version_record record;
    for (const json::value& one : versions->get_array()) {
        if (!one.is_string()) {
            return std::nullopt;
        }
        record.current.emplace(std::string(one.get_string()));
    }
    if (const json::value* others = fields->if_contains("others_until_ms")) {
        if (!others->is_int64()) {
            return std::nullopt;
        }
        record.others_until = others->get_int64();
    }
    return record;
}

}  // namespace ferryroad::coordination::stream
