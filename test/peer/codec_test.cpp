/// Round trips of all messages; malformed, truncated or corrupted bytes must give an error and
/// never crash.
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

/// @return the encoded samples, datagrams first.
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

/// Decodes the bytes as a datagram and as a call, ignoring the results.
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

call_body quota_of(double amount) {
    return quota_request{1, {base::tenant_name("t"), amount, {base::revision(1), 1, 1}, 0}};
}

message_bytes report_with(int change, int evidence) {
    buffer_builder builder;
    const auto scope = wire::CreateNamespaceDirect(builder, "tenant", "model");
    const auto report = wire::CreatePrefixReportDirect(builder, scope, nullptr, "engine-1", 1,
                                                       static_cast<wire::PrefixChange>(change),
                                                       static_cast<wire::PrefixEvidence>(evidence));
    const std::vector<offset<wire::PrefixReport>> reports{report};
    const auto body = wire::CreatePrefixReportsDirect(builder, &reports).Union();
    const auto sender = builder.CreateString("router-1");
    return finish(builder,
                  wire::CreateCall(builder, sender, 1, wire::CallBody::PrefixReports, body));
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
    {"root offset out of bounds", [] { return message_bytes(64, '\xff'); }},
    {"zeros", [] { return message_bytes(64, '\0'); }},
    {"unknown body", unknown_union},
    {"body type without body", body_without_table},
    {"unknown member state", state_out_of_range},
    {"host name instead of an IP address", [] { return member_at("localhost"); }},
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
    {"negative quota", [] { return encode(with_body(quota_of(-1.0))); }},
    {"quota not a number",
     [] { return encode(with_body(quota_of(std::numeric_limits<double>::quiet_NaN()))); }},
    {"infinite quota",
     [] { return encode(with_body(quota_of(std::numeric_limits<double>::infinity()))); }},
    {"quota without a rate",
     [] {
         return encode(with_body(quota_request{1, {base::tenant_name("t"), 1, {}, 0}}));
     }},
    {"quota without a tenant",
     [] {
         return encode(with_body(quota_request{1, {{}, 1, {base::revision(1), 1, 1}, 0}}));
     }},
    {"quota of an engine without a name",
     [] {
         const coordination::quota::quota_subject nameless{base::engine_name()};
         return encode(with_body(quota_request{1, {nameless, 1, {base::revision(), 1, 1}, 0}}));
     }},
    {"negative count of uncounted requests",
     [] {
         const coordination::quota::quota_subject engine{base::engine_name("e")};
         return encode(with_body(quota_request{1, {engine, 1, {base::revision(), 1, 1}, 0, -1}}));
     }},
    {"unknown prefix change", [] { return report_with(3, 0); }},
    {"unknown evidence", [] { return report_with(0, -1); }},
    {"resource without key",
     [] {
         return encode(with_body(configuration_push{{base::revision(1), {}, {}, {{}}}}));
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
        const message_bytes bytes = encode(message);
        const auto decoded = decode_call(bytes);
        cr_assert(decoded.has_value(), "body %zu", message.body.index());
        cr_assert_eq(decoded->body.index(), message.body.index());
        cr_assert(decoded->sender == message.sender);
        cr_assert(encode(*decoded) == bytes, "body %zu", message.body.index());
    }
}

Test(codec, prefix_reports_and_configuration_answers_keep_every_field) {
    const auto calls = test::sample_calls();
    for (const call& message : calls) {
        const auto decoded = decode_call(encode(message));
        if (const auto* sent = std::get_if<prefix_reports>(&message.body)) {
            const auto& read = std::get<prefix_reports>(decoded->body).reports;
            cr_assert_eq(read.size(), sent->reports.size());
            cr_assert(read[0].scope == sent->reports[0].scope);
            cr_assert(read[0].pieces == sent->reports[0].pieces);
            cr_assert(read[0].process == sent->reports[0].process);
            cr_assert(read[0].change == sent->reports[0].change);
            cr_assert(read[0].why == sent->reports[0].why);
        }
        if (const auto* sent = std::get_if<configuration_answer>(&message.body)) {
            const auto& read = std::get<configuration_answer>(decoded->body);
            cr_assert(read.head == sent->head);
            cr_assert(read.base == sent->base);
            cr_assert(read.changes == sent->changes);
            cr_assert_eq(read.confirmed, sent->confirmed);
        }
    }
}

Test(codec, bytes_of_any_alignment) {
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
