#include "bench/audit/fetch.hpp"

#include "ferryroad/http/json.hpp"

#include <boost/json/array.hpp>

#include <array>
#include <iterator>
#include <utility>

namespace ferryroad::bench::audit {

namespace {

constexpr base::duration fetch_limit = std::chrono::seconds(20);
constexpr unsigned status_ok = 200;
constexpr std::array<std::string_view, 5> state_names{"queued", "running", "complete", "cancelled",
                                                      "failed"};

execution_state read_state(http::object_reader& fields) {
    const std::string name = fields.text("state");
    for (std::size_t index = 0; index < state_names.size(); ++index) {
        if (state_names.at(index) == name) {
            return static_cast<execution_state>(index);
        }
    }
    fields.fail("state", "a known state");
    return {};
}

std::uint32_t read_count(http::object_reader& fields, std::string_view name) {
    return static_cast<std::uint32_t>(fields.unsigned_or(name, 0));
}

execution read_row(http::object_reader& fields, std::uint64_t current_incarnation) {
    execution row;
    row.process.value = fields.unsigned_or("incarnation", current_incarnation);
    row.request.value = fields.text("request_id");
    row.attempt.value = fields.text("attempt_id");
    const std::string key = fields.text_or("idempotency_key", "");
    if (!key.empty()) {
        row.key.emplace(key);
    }
    row.tenant.value = fields.text_or("tenant", "");
    row.model.value = fields.text_or("model", "");
    row.version.value = fields.text_or("version", "");
    row.kind = fields.text_or("kind", "model") == "application" ? engine::engine_kind::application
                                                                : engine::engine_kind::model;
    row.state = read_state(fields);
    row.tokens = read_count(fields, "tokens");
    row.first_token = read_count(fields, "first_token");
    row.cached_pieces = read_count(fields, "cached_pieces");
    row.total_pieces = read_count(fields, "total_pieces");
    row.prompt_sha256 = fields.text_or("prompt_sha256", "");
    return row;
}

}  // namespace

runtime::result<std::vector<execution>, load::error> parse_executions(std::string_view body,
                                                                      std::size_t engine) {
    const auto parsed = http::parse_json(body);
    if (!parsed) {
        return load::error{load::error_code::malformed, parsed.error().message};
    }
    http::object_reader fields(*parsed);
    const std::uint64_t incarnation = fields.unsigned_or("incarnation", 0);
    std::vector<execution> rows;
    for (const boost::json::value& value : fields.list("executions")) {
        http::object_reader item(value, "executions");
        rows.push_back(read_row(item, incarnation));
        rows.back().engine = engine;
        if (item.fault()) {
            return load::error{load::error_code::malformed, item.fault()->message};
        }
    }
    if (fields.fault()) {
        return load::error{load::error_code::malformed, fields.fault()->message};
    }
    return rows;
}

runtime::task<runtime::result<std::vector<execution>, load::error>> fetch_executions(
    http::client& client, std::vector<load::engine_entry> engines) {
    std::vector<execution> all;
    for (std::size_t index = 0; index < engines.size(); ++index) {
        http::request message;
        message.target = "/emulator/executions";
        const base::endpoint address = engines[index].http;
        auto answer =
            co_await client.send(address, std::move(message), fetch_limit, http::resend::allowed);
        if (!answer || answer->status != status_ok) {
            co_return load::error{load::error_code::unreachable,
                                  "engine " + address.to_string() + " gave no list of executions"};
        }
        auto rows = parse_executions(answer->body, index);
        if (!rows) {
            co_return rows.error();
        }
        all.insert(all.end(), std::make_move_iterator(rows->begin()),
                   std::make_move_iterator(rows->end()));
    }
    co_return all;
}

}  // namespace ferryroad::bench::audit
