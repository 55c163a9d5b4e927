/// Tests the encoding of messages about where streams began.
#include "ferryroad/peer/stream_origin_message.hpp"

#include "ferryroad/peer/codec.hpp"
#include "ferryroad/peer/codec_fields.hpp"
#include "test/peer/sample_messages.hpp"

#include <criterion/criterion.h>

using namespace ferryroad;
using namespace ferryroad::peer;
using namespace std::chrono_literals;
namespace stream = coordination::stream;

namespace {

const base::router_name sender("r1");
const stream::stream_key key = stream::key_of(base::request_id("attempt"));
const stream::aged_origin recorded{{key, base::pool_name("p"), stream::software_version("v1.2")},
                                   1500ms};

}  // namespace

Test(stream_origin_message, each_kind_survives_encoding) {
    for (const origin_body& body :
         {origin_body(origin_record{recorded}), origin_body(origin_query{7, key}),
          origin_body(origin_answer{7, recorded}), origin_body(origin_answer{7, std::nullopt}),
          origin_body(origin_store_request{7, recorded}), origin_body(origin_stored{7})}) {
        const stream_origin_message message{sender, body};
        const message_bytes bytes = encode(message);
        cr_assert(is_stream_origin_message(bytes));
        const auto decoded = decode_stream_origin_message(bytes);
        cr_assert(decoded);
        cr_assert(*decoded == message);
        cr_assert_lt(bytes.size(), 200);
    }
}

Test(stream_origin_message, an_engine_without_software_version_has_an_empty_one) {
    stream::aged_origin without = recorded;
    without.origin.software = {};
    const auto decoded = decode_stream_origin_message(encode({sender, origin_record{without}}));
    cr_assert(decoded);
    cr_assert(std::get<origin_record>(decoded->body).recorded == without);
}

// The last bytes are padding.
Test(stream_origin_message, a_truncated_message_is_malformed_or_the_same) {
    const stream_origin_message message{sender, origin_record{recorded}};
    const message_bytes bytes = encode(message);
    for (std::size_t size = 0; size < bytes.size(); ++size) {
        const auto decoded = decode_stream_origin_message(std::string_view(bytes).substr(0, size));
        cr_assert(!decoded || *decoded == message);
    }
    const auto half = std::string_view(bytes).substr(0, bytes.size() / 2);
    cr_assert_not(decode_stream_origin_message(half));
}

Test(stream_origin_message, a_record_without_a_pool_is_malformed) {
    stream::aged_origin nameless = recorded;
    nameless.origin.pool = {};
    cr_assert_not(decode_stream_origin_message(encode({sender, origin_record{nameless}})));
}

// A newer router sends kinds of messages that this one doesn't know.
Test(stream_origin_message, a_message_of_an_unknown_kind_is_malformed) {
    buffer_builder builder(max_datagram_bytes);
    const auto name = write_text(builder, sender.value);
    const auto later = static_cast<wire::StreamOriginKind>(100);
    const message_bytes bytes =
        finish(builder, wire::CreateStreamOriginMessage(builder, name, later, 7, 1, 2), "FRSO");
    cr_assert(is_stream_origin_message(bytes));
    cr_assert_not(decode_stream_origin_message(bytes));
}
