/// Checks the contract of schema/operator.proto over gRPC: which calls are refused, and with which
/// status.
#include "test/operator/running_router.hpp"

#include <criterion/criterion.h>
#include <criterion/parameterized.h>
#include <google/protobuf/text_format.h>
#include <grpcpp/grpcpp.h>

using ferryroad::operators::testing::running_router;
namespace v1 = ferryroad::operators::v1;

namespace {

constexpr const char* valid_state =
    "models { name: 'm' version: 'v1' } pools { name: 'model-pool' model: 'm' } "
    "routes { name: 'r' path_prefix: '/v1/' pool: 'model-pool' repeatable: true }";

struct row {
    const char* request;  ///< An ApplyRequest in text format; %s stands for a valid state.
    grpc::StatusCode code;
    const char* message;  ///< Contained in the status.
};

const row rows[] = {
    {"author: 'a' operation_id: 'o' desired { %s }", grpc::StatusCode::OK, ""},
    {"author: 'a' operation_id: 'o' expected_revision: 0 desired { %s }", grpc::StatusCode::OK, ""},
    {"author: 'a' operation_id: 'o' expected_revision: 3 desired { %s }", grpc::StatusCode::ABORTED,
     "revision 0 is in force"},
    {"author: 'a' desired { %s }", grpc::StatusCode::INVALID_ARGUMENT, "operation_id"},
    {"operation_id: 'o' desired { %s }", grpc::StatusCode::INVALID_ARGUMENT, "author"},
    {"author: 'a' operation_id: 'o' desired { pools { name: 'p' model: 'none' } }",
     grpc::StatusCode::INVALID_ARGUMENT, "pool/p: field \"model\": value \"none\""},
    {"author: 'a' operation_id: 'o' desired { models { name: 'm' version: 'v' } "
     "models { name: 'm' version: 'w' } }",
     grpc::StatusCode::INVALID_ARGUMENT, "model/m: field \"name\""},
    {"author: 'a' operation_id: 'o' desired { tenants { name: 't' key_sha256: 'x' } }",
     grpc::StatusCode::INVALID_ARGUMENT, "64 lower-case hex digits"},
};
constexpr std::size_t row_count = sizeof(rows) / sizeof(rows[0]);

std::unique_ptr<v1::Operator::Stub> connect(const running_router& router) {
    return v1::Operator::NewStub(
        grpc::CreateChannel(router.address().to_string(), grpc::InsecureChannelCredentials()));
}

v1::ApplyRequest make_request(std::string text) {
    const std::size_t place = text.find("%s");
    if (place != std::string::npos) {
        text.replace(place, 2, valid_state);
    }
    v1::ApplyRequest request;
    cr_assert(google::protobuf::TextFormat::ParseFromString(text, &request), "%s", text.c_str());
    return request;
}

grpc::Status apply(v1::Operator::Stub& stub, const std::string& text, v1::ApplyAnswer& answer) {
    grpc::ClientContext context;
    return stub.Apply(&context, make_request(text), &answer);
}

}  // namespace

ParameterizedTestParameters(operator_service, apply_table) {
    static std::size_t indexes[row_count];
    for (std::size_t index = 0; index < row_count; ++index) {
        indexes[index] = index;
    }
    return cr_make_param_array(std::size_t, indexes, row_count);
}

ParameterizedTest(std::size_t* index, operator_service, apply_table) {
    const row& expected = rows[*index];
    running_router router;
    const auto stub = connect(router);
    v1::ApplyAnswer answer;
    const grpc::Status status = apply(*stub, expected.request, answer);
    cr_assert_eq(status.error_code(), expected.code, "%s", status.error_message().c_str());
    cr_assert_neq(status.error_message().find(expected.message), std::string::npos, "%s",
                  status.error_message().c_str());
    cr_assert_eq(answer.revision(), status.ok() ? 1 : 0);
}

Test(operator_service, zero_stands_for_the_default) {
    running_router router;
    const auto stub = connect(router);
    v1::ApplyAnswer applied;
    cr_assert(apply(*stub, rows[0].request, applied).ok());
    grpc::ClientContext context;
    v1::GetAnswer answer;
    cr_assert(stub->Get(&context, {}, &answer).ok());
    cr_assert_eq(answer.revision(), 1);
    cr_assert_eq(answer.state().models(0).piece_bytes(), 4096);
    cr_assert_eq(answer.state().routes(0).deadline_milliseconds(), 60000);
}

Test(operator_service, a_repeated_operation_is_the_same_change) {
    running_router router;
    const auto stub = connect(router);
    v1::ApplyAnswer first;
    v1::ApplyAnswer second;
    cr_assert(apply(*stub, rows[1].request, first).ok());
    cr_assert(apply(*stub, rows[1].request, second).ok());
    cr_assert(!first.repeated() && second.repeated());
    cr_assert_eq(second.revision(), 1);
    cr_assert_eq(second.differences_size(), first.differences_size());
}

Test(operator_service, a_failed_change_says_when_nothing_changed) {
    running_router router(std::chrono::milliseconds(50));
    const auto stub = connect(router);
    ferryroad::emulator::platform_faults faults;
    faults.outage = true;
    router.set_faults(faults);
    grpc::ClientContext context;
    v1::ApplyAnswer answer;
    const auto status = stub->Apply(&context, make_request(rows[0].request), &answer);
    cr_assert_eq(status.error_code(), grpc::StatusCode::UNAVAILABLE);
    cr_assert_eq(context.GetServerTrailingMetadata().count("ferryroad-unchanged"), 1);
}

Test(operator_service, a_planned_stop_ends_watches) {
    running_router router;
    const auto stub = connect(router);
    v1::ApplyAnswer answer;
    cr_assert(apply(*stub, rows[0].request, answer).ok());
    grpc::ClientContext context;
    const auto reader = stub->Watch(&context, {});
    v1::WatchEvent event;
    cr_assert(reader->Read(&event));
    cr_assert_eq(event.revision(), 1);
    cr_assert_str_eq(event.author().c_str(), "a");
    cr_assert_eq(event.differences_size(), 3);
    router.stop();
    cr_assert(!reader->Read(&event));
    cr_assert(!reader->Finish().ok());
}

Test(operator_service, a_watch_that_the_operator_ends_leaves_the_router_whole) {
    running_router router;
    const auto stub = connect(router);
    for (int round = 0; round < 3; ++round) {
        grpc::ClientContext context;
        const auto reader = stub->Watch(&context, {});
        context.TryCancel();
        v1::WatchEvent event;
        cr_assert(!reader->Read(&event));
    }
    v1::ApplyAnswer answer;
    cr_assert(apply(*stub, rows[0].request, answer).ok());
}
