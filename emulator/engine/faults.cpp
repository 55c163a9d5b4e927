#include "emulator/engine/faults.hpp"

namespace ferryroad::emulator {

namespace {

namespace protocol = engine::protocol;

constexpr double smallest_slow_factor = 0.001;

template <typename T, typename Read>
std::optional<T> read_present(http::object_reader& reader, std::string_view field, Read read) {
    if (reader.find(field) == nullptr) {
        return std::nullopt;
    }
    return read(reader, field);
}

std::optional<std::uint32_t> read_optional_count(http::object_reader& reader,
                                                 std::string_view field) {
    return read_present<std::uint32_t>(reader, field, protocol::read_count);
}

std::optional<bool> read_optional_flag(http::object_reader& reader, std::string_view field) {
    const auto read = [](http::object_reader& from, std::string_view name) {
        return from.boolean_or(name, false);
    };
    return read_present<bool>(reader, field, read);
}

std::optional<double> read_slow_factor(http::object_reader& reader) {
    if (reader.find("slow_factor") == nullptr) {
        return std::nullopt;
    }
    const double factor = reader.number("slow_factor");
    if (factor < smallest_slow_factor) {
        reader.fail("slow_factor", "a number of at least 0.001");
        return std::nullopt;
    }
    return factor;
}

}  // namespace

protocol::decoded<fault_request> decode_faults(std::string_view body) {
    return protocol::decode_with<fault_request>(body, [](http::object_reader& reader) {
        fault_request request;
        request.clear = reader.boolean_or("clear", false);
        request.slow_factor = read_slow_factor(reader);
        request.crash = reader.boolean_or("crash", false);
        request.restart =
            read_present<base::duration>(reader, "restart_ms", protocol::read_milliseconds)
                .value_or(request.restart);
        request.freeze =
            read_present<base::duration>(reader, "freeze_ms", protocol::read_milliseconds);
        request.cut_after_tokens = read_optional_count(reader, "cut_after_tokens");
        request.lost_answers = read_optional_count(reader, "lost_answers");
        request.event_gap = read_optional_count(reader, "event_gap");
        request.leaving = read_optional_flag(reader, "leaving");
        request.refuse_overloaded = read_optional_flag(reader, "refuse_overloaded");
        return request;
    });
}

}  // namespace ferryroad::emulator
