/// Messages survive the way over the wire; bytes that are no message are an error, not a crash.
#include "ferryroad/peer/codec.hpp"

#include "ferryroad/base/random.hpp"
#include "ferryroad/peer/codec_fields.hpp"
#include "test/peer/sample_messages.hpp"

#include <criterion/criterion.h>
#include <criterion/parameterized.h>
#include <rapidcheck.h>

#include <functional>
#include <limits>
#include <string>

namespace {

using namespace ferryroad;
using namespace ferryroad::peer;

/// Every sample's bytes: datagrams first.
std::vector<message_bytes> all_encoded() {
    std::vector<message_bytes> all;
    for (const datagram& message : test::sample_datagrams()) {
        all.push_back(encode(message));
    }
    for (const call& message : test::sample_calls()) {
        all.push_back(encode(message));
    }
    return all;
}

/// Decodes as both kinds, whatever the bytes are.
void decode_both(std::string_view bytes) {
    (void)decode_datagram(bytes);
    (void)decode_call(bytes);
}

struct row {
    const char* what;
    std::function<message_bytes()> bytes;
};

call with_body(call_body body) {
    return {base::router_name("router-1"), base::incarnation(1), std::move(body)};
}

message_bytes unknown_union() {
    buffer_builder builder;
    const auto sender = builder.CreateString("router-1");
    const auto body = wire::CreateEmpty(builder).Union();
    return finish(builder,
                  wire::CreateCall(builder, sender, 1, static_cast<wire::CallBody>(200), body));
}

message_bytes body_without_table() {
    buffer_builder builder;
    const auto sender = builder.CreateString("router-1");
    return finish(builder, wire::CreateCall(builder, sender, 1, wire::CallBody::PrefixLookup, 0));
}

message_bytes state_out_of_range() {
    buffer_builder builder;
    const auto address = wire::CreateEndpointDirect(builder, "10.0.0.1", 1);
    const auto member = wire::CreateMemberUpdateDirect(builder, "router-2", address, "z", "r", 1,
                                                       static_cast<wire::MemberState>(77));
    const auto sender = builder.CreateString("router-1");
    const auto body = wire::CreateJoinRequest(builder, member).Union();
    return finish(builder, wire::CreateCall(builder, sender, 1, wire::CallBody::JoinRequest, body));
}

message_bytes member_at(const char* address) {
    auto member = test::sample_member("router-2");
    member.address.address = address;
    return encode(with_body(join_request{member}));
}

const row malformed_calls[] = {
    {"no bytes", [] { return message_bytes(); }},
    {"three bytes", [] { return message_bytes("abc"); }},
    {"text", [] { return message_bytes("GET / HTTP/1.1\r\nHost: router\r\n\r\n"); }},
    {"root offset outside", [] { return message_bytes(64, '\xff'); }},
    {"zeros", [] { return message_bytes(64, '\0'); }},
    {"unknown body", unknown_union},
    {"body type without body", body_without_table},
    {"unknown member state", state_out_of_range},
    {"host name in place of an IP number", [] { return member_at("localhost"); }},
    {"empty address", [] { return member_at(""); }},
    {"empty member name", [] { return encode(with_body(join_request{test::sample_member("")})); }},
    {"name too long",
     [] { return encode(with_body(join_request{test::sample_member(std::string(500, 'n'))})); }},
    {"empty sender",
     [] {
         return encode(call{{}, base::incarnation(1), empty{}});
     }},
    {"lookup without tenant", [] { return encode(with_body(prefix_lookup{})); }},
    {"too many pieces",
     [] {
         return encode(
             with_body(prefix_lookup{{base::tenant_name("t"), base::model_name("m"), {}, {}},
                                     std::vector<base::piece_hash>(codec_limits::pieces + 1)}));
     }},
    {"negative quota",
     [] {
         return encode(with_body(quota_request{base::tenant_name("t"), -1.0, 0, 0, {}}));
     }},
    {"quota not a number",
     [] {
         return encode(
             with_body(quota_grant{std::numeric_limits<double>::quiet_NaN(), base::duration{}, 0}));
     }},
    {"endless quota",
     [] {
         return encode(
             with_body(quota_grant{std::numeric_limits<double>::infinity(), base::duration{}, 0}));
     }},
    {"resource without key",
     [] {
         return encode(with_body(configuration_push{{base::revision(1), "o", "a", {{}}}}));
     }},
};
constexpr std::size_t row_count = sizeof(malformed_calls) / sizeof(malformed_calls[0]);

}  // namespace

Test(codec, datagrams_round_trip) {
    for (const datagram& message : test::sample_datagrams()) {
        const auto decoded = decode_datagram(encode(message));
        cr_assert(decoded.has_value());
        cr_assert(*decoded == message);
    }
}

Test(codec, calls_round_trip) {
    for (const call& message : test::sample_calls()) {
        const auto decoded = decode_call(encode(message));
        cr_assert(decoded.has_value(), "body %zu", message.body.index());
        cr_assert(*decoded == message, "body %zu", message.body.index());
    }
}

Test(codec, bytes_at_any_alignment) {
    const auto message = test::sample_datagrams().front();
    const message_bytes bytes = encode(message);
    for (std::size_t shift = 0; shift < 8; ++shift) {
        const std::string shifted = std::string(shift, 'x') + bytes;
        const auto decoded = decode_datagram(std::string_view(shifted).substr(shift));
        cr_assert(decoded.has_value());
        cr_assert(*decoded == message);
    }
}

ParameterizedTestParameters(codec, malformed_calls) {
    static std::size_t indexes[row_count];
    for (std::size_t index = 0; index < row_count; ++index) {
        indexes[index] = index;
    }
    return cr_make_param_array(std::size_t, indexes, row_count);
}

ParameterizedTest(std::size_t* index, codec, malformed_calls) {
    const row& expected = malformed_calls[*index];
    const auto decoded = decode_call(expected.bytes());
    cr_assert(decoded.has_error(), "%s", expected.what);
    cr_assert(decoded.error().code == error_code::malformed, "%s", expected.what);
}

Test(codec, every_truncation_is_an_error_or_a_message) {
    for (const message_bytes& bytes : all_encoded()) {
        for (std::size_t size = 0; size < bytes.size(); ++size) {
            decode_both(std::string(bytes.data(), size));
        }
        cr_assert(decode_datagram(bytes.substr(0, bytes.size() / 4)).has_error());
        cr_assert(decode_call(bytes.substr(0, bytes.size() / 4)).has_error());
    }
}

Test(codec, every_single_byte_corrupted) {
    for (const message_bytes& bytes : all_encoded()) {
        for (std::size_t place = 0; place < bytes.size(); ++place) {
            for (const unsigned char value : {0x00, 0x01, 0x7f, 0x80, 0xff}) {
                message_bytes corrupted = bytes;
                corrupted[place] = static_cast<char>(value);
                decode_both(corrupted);
            }
        }
    }
}

Test(codec, random_corruption) {
    const std::vector<message_bytes> samples = all_encoded();
    cr_assert(rc::check("corrupted bytes decode to a message or to malformed", [&] {
        base::seeded_random random(*rc::gen::arbitrary<std::uint64_t>());
        for (int round = 0; round < 50; ++round) {
            message_bytes bytes = samples[random.below(samples.size())];
            const std::uint64_t changes = 1 + random.below(16);
            for (std::uint64_t change = 0; change < changes; ++change) {
                bytes[random.below(bytes.size())] = static_cast<char>(random.below(256));
            }
            bytes.resize(random.below(4) == 0 ? random.below(bytes.size() + 1) : bytes.size());
            decode_both(bytes);
            const auto decoded = decode_call(bytes);
            RC_ASSERT(decoded.has_value() || decoded.error().code == error_code::malformed);
        }
    }));
}
