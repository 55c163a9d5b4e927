#include "bench/load/record_file.hpp"

#include "ferryroad/http/json.hpp"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>

#include <array>
#include <fstream>
#include <utility>

namespace ferryroad::bench::load {

namespace {

/// Names of an enumeration's values, in their order.
template <std::size_t Count>
using name_table = std::array<std::string_view, Count>;

constexpr name_table<5> outcome_names{"complete", "refused", "failed", "cut", "unreachable"};
constexpr name_table<4> answer_names{"none", "exact", "prefix", "wrong"};
constexpr name_table<3> type_names{"generation", "application_read", "application_write"};
constexpr name_table<3> execution_names{"complete", "not-run", "unknown"};

template <typename Value, std::size_t Count>
Value read_name(http::object_reader& fields, std::string_view field,
                const name_table<Count>& names) {
    const std::string name = fields.text(field);
    for (std::size_t index = 0; index < Count; ++index) {
        if (names[index] == name) {
            return static_cast<Value>(index);
        }
    }
    fields.fail(field, "a known name");
    return Value{};
}

template <typename Value, std::size_t Count>
std::string_view name_of(Value value, const name_table<Count>& names) {
    return names.at(static_cast<std::size_t>(value));
}

boost::json::array piece_array(const std::vector<base::piece_hash>& pieces) {
    boost::json::array items;
    for (const base::piece_hash& piece : pieces) {
        items.push_back(piece.value);
    }
    return items;
}

std::vector<base::piece_hash> read_pieces(http::object_reader& fields) {
    std::vector<base::piece_hash> pieces;
    for (const boost::json::value& value : fields.list("pieces")) {
        boost::system::error_code fault;
        pieces.emplace_back(value.to_number<std::uint64_t>(fault));
        if (fault) {
            fields.fail("pieces", "a list of whole numbers");
            break;
        }
    }
    return pieces;
}

void read_times(http::object_reader& fields, call_record& record) {
    record.sent_at = fields.number("sent_at");
    record.first_token_at = fields.number("first_token_at");
    record.ended_at = fields.number("ended_at");
    for (const boost::json::value& value : fields.list("token_gaps")) {
        if (!value.is_number()) {
            fields.fail("token_gaps", "a list of numbers");
            break;
        }
        record.token_gaps.push_back(value.to_number<double>());
    }
}

void read_identity(http::object_reader& fields, call_record& record) {
    record.number = fields.unsigned_number("number");
    record.run = fields.text_or("run", "");
    record.kind = fields.text("kind");
    record.type = read_name<workload::request_type>(fields, "type", type_names);
    record.stream = fields.boolean_or("stream", false);
    record.tenant.value = fields.text("tenant");
    if (const auto key = fields.optional_text("key")) {
        record.key.emplace(*key);
    }
    record.prompt_sha256 = fields.text_or("prompt_sha256", "");
    record.pieces = read_pieces(fields);
    record.request.value = fields.text_or("request_id", "");
    const auto router = base::endpoint::parse(fields.text("router"));
    if (!router) {
        fields.fail("router", "an IP number and a port");
        return;
    }
    record.router = *router;
}

}  // namespace

std::string_view to_string(call_outcome outcome) {
    return name_of(outcome, outcome_names);
}

std::string_view to_string(answer_state state) {
    return name_of(state, answer_names);
}

std::string to_line(const call_record& record) {
    boost::json::array gaps(record.token_gaps.begin(), record.token_gaps.end());
    boost::json::object fields{{"number", record.number},
                               {"run", record.run},
                               {"kind", record.kind},
                               {"type", name_of(record.type, type_names)},
                               {"stream", record.stream},
                               {"tenant", record.tenant.value},
                               {"prompt_sha256", record.prompt_sha256},
                               {"pieces", piece_array(record.pieces)},
                               {"router", record.router.to_string()},
                               {"request_id", record.request.value},
                               {"outcome", to_string(record.outcome)},
                               {"answer", to_string(record.answer)},
                               {"status", record.status},
                               {"error_code", record.error_code},
                               {"retry_after", record.retry_after},
                               {"max_tokens", record.max_tokens},
                               {"tokens", record.tokens},
                               {"sent_at", record.sent_at},
                               {"first_token_at", record.first_token_at},
                               {"ended_at", record.ended_at},
                               {"token_gaps", std::move(gaps)}};
    if (record.key) {
        fields["key"] = record.key->value;
    }
    if (record.execution) {
        fields["execution"] = name_of(*record.execution, execution_names);
    }
    return http::to_text(fields);
}

runtime::result<call_record, error> parse_line(const std::string& line) {
    const auto parsed = http::parse_json(line);
    if (!parsed) {
        return error{error_code::malformed, parsed.error().message};
    }
    http::object_reader fields(*parsed);
    call_record record;
    read_identity(fields, record);
    record.outcome = read_name<call_outcome>(fields, "outcome", outcome_names);
    record.answer = read_name<answer_state>(fields, "answer", answer_names);
    record.status = static_cast<unsigned>(fields.unsigned_number("status"));
    record.error_code = fields.text_or("error_code", "");
    if (fields.find("execution") != nullptr) {
        record.execution =
            read_name<core::execution::execution_report>(fields, "execution", execution_names);
    }
    record.retry_after = fields.boolean_or("retry_after", false);
    record.max_tokens = static_cast<std::uint32_t>(fields.unsigned_number("max_tokens"));
    record.tokens = static_cast<std::uint32_t>(fields.unsigned_number("tokens"));
    read_times(fields, record);
    if (fields.fault()) {
        return error{error_code::malformed, fields.fault()->message};
    }
    return record;
}

runtime::result<void, error> write_records(const std::string& file,
                                           const std::vector<call_record>& records) {
    std::ofstream output(file, std::ios::binary | std::ios::trunc);
    for (const call_record& record : records) {
        output << to_line(record) << "\n";
    }
    output.flush();
    if (!output) {
        return error{error_code::unreadable, file + ": can't be written"};
    }
    return {};
}

runtime::result<std::vector<call_record>, error> read_records(const std::string& file) {
    std::ifstream input(file, std::ios::binary);
    if (!input) {
        return error{error_code::unreadable, file + ": can't be read"};
    }
    std::vector<call_record> records;
    std::string line;
    while (std::getline(input, line)) {
        auto record = parse_line(line);
        if (!record) {
            return error{error_code::malformed, file + ": line " +
                                                    std::to_string(records.size() + 1) + ": " +
                                                    record.error().message};
        }
        records.push_back(std::move(*record));
    }
    return records;
}

}  // namespace ferryroad::bench::load
