#include "ferryroad/coordination/claim/record.hpp"

#include "ferryroad/base/base64.hpp"

#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/leaf/error.hpp>
#include <boost/leaf/handle_errors.hpp>

#include <utility>

namespace ferryroad::coordination::claim {

namespace json = boost::json;
namespace leaf = boost::leaf;

namespace {

constexpr std::int64_t format_version = 1;

struct state_name {
    record_state state;
    std::string_view name;
};

constexpr state_name state_names[] = {
    {record_state::in_progress, "in_progress"},
    {record_state::finished, "finished"},
    {record_state::unknown, "unknown"},
};

std::string_view to_string(record_state state) {
    return state_names[static_cast<std::size_t>(state)].name;
}

std::optional<record_state> parse_state(std::string_view text) {
    for (const state_name& known : state_names) {
        if (known.name == text) {
            return known.state;
        }
    }
    return std::nullopt;
}

leaf::error_id malformed(std::string message) {
    return leaf::new_error(record_error{record_error_code::malformed, std::move(message)});
}

/// Reads the fields of one JSON object; a field that is missing or has the wrong type is an error.
class field_reader {
  public:
    explicit field_reader(const json::object& object) : object_(object) {}

    leaf::result<std::string> text(std::string_view name) const {
        const json::value* found = object_.if_contains(name);
        if (!found || !found->is_string()) {
            return malformed(std::string(name) + ": expected text");
        }
        return std::string(found->get_string());
    }
    leaf::result<std::int64_t> number(std::string_view name) const {
        const json::value* found = object_.if_contains(name);
        if (!found || !found->is_int64()) {
            return malformed(std::string(name) + ": expected a whole number");
        }
        return found->get_int64();
    }
    leaf::result<std::string> bytes(std::string_view name) const {
        BOOST_LEAF_AUTO(encoded, text(name));
        auto decoded = base::from_base64(encoded);
        if (!decoded) {
            return malformed(std::string(name) + ": expected base64");
        }
        return std::move(*decoded);
    }

  private:
    const json::object& object_;
};

leaf::result<outcome> decode_outcome(const json::value& value) {
    if (!value.is_object()) {
        return malformed("outcome: expected an object");
    }
    const field_reader reader(value.get_object());
    outcome decoded;
    BOOST_LEAF_AUTO(status, reader.number("status"));
    decoded.status = static_cast<std::uint32_t>(status);
    BOOST_LEAF_ASSIGN(decoded.content_type, reader.bytes("content_type"));
    BOOST_LEAF_ASSIGN(decoded.body, reader.bytes("body"));
    return decoded;
}

leaf::result<record> decode_fields(const json::object& object) {
    const field_reader reader(object);
    BOOST_LEAF_AUTO(format, reader.number("format"));
    if (format != format_version) {
        return leaf::new_error(
            record_error{record_error_code::unknown_format,
                         "format: unsupported version " + std::to_string(format)});
    }
    record decoded;
    BOOST_LEAF_AUTO(state_text, reader.text("state"));
    const auto state = parse_state(state_text);
    if (!state) {
        return malformed("state: unknown value " + state_text);
    }
    decoded.state = *state;
    BOOST_LEAF_ASSIGN(decoded.attempt.value, reader.text("attempt"));
    BOOST_LEAF_ASSIGN(decoded.owner.name.value, reader.text("holder"));
    BOOST_LEAF_AUTO(incarnation, reader.number("incarnation"));
    decoded.owner.incarnation.value = static_cast<std::uint64_t>(incarnation);
    BOOST_LEAF_ASSIGN(decoded.content_digest, reader.text("content_digest"));
    BOOST_LEAF_ASSIGN(decoded.claimed_at_ms, reader.number("claimed_at_ms"));
    BOOST_LEAF_ASSIGN(decoded.ended_at_ms, reader.number("ended_at_ms"));
    if (const json::value* kept = object.if_contains("outcome")) {
        BOOST_LEAF_ASSIGN(decoded.kept_outcome, decode_outcome(*kept));
    }
    return decoded;
}

}  // namespace

std::string encode(const record& claimed) {
    json::object object;
    object["format"] = format_version;
    object["state"] = to_string(claimed.state);
    object["attempt"] = claimed.attempt.value;
    object["holder"] = claimed.owner.name.value;
    object["incarnation"] = static_cast<std::int64_t>(claimed.owner.incarnation.value);
    object["content_digest"] = claimed.content_digest;
    object["claimed_at_ms"] = claimed.claimed_at_ms;
    object["ended_at_ms"] = claimed.ended_at_ms;
    if (claimed.kept_outcome) {
        const outcome& kept = *claimed.kept_outcome;
        object["outcome"] = json::object{{"status", kept.status},
                                         {"content_type", base::to_base64(kept.content_type)},
                                         {"body", base::to_base64(kept.body)}};
    }
    return json::serialize(object);
}

leaf::result<record> decode(std::string_view text) {
    json::error_code failure;
    const json::value parsed = json::parse(text, failure);
    if (failure || !parsed.is_object()) {
        return malformed("expected a JSON object");
    }
    return decode_fields(parsed.get_object());
}

std::optional<record> try_decode(std::string_view text) {
    return leaf::try_handle_all(
        [&]() -> leaf::result<std::optional<record>> {
            BOOST_LEAF_AUTO(decoded, decode(text));
            return std::optional<record>(std::move(decoded));
        },
        [] { return std::optional<record>(); });
}

}  // namespace ferryroad::coordination::claim
