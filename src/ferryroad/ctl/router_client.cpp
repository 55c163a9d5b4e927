#include "ferryroad/ctl/router_client.hpp"

#include <grpcpp/grpcpp.h>

#include <algorithm>
#include <string>
#include <thread>
#include <utility>

namespace ferryroad::ctl {

namespace v1 = operators::v1;

namespace {

constexpr int largest_message = 16 * 1024 * 1024;
constexpr std::chrono::milliseconds shortest_attempt{1000};
constexpr std::chrono::milliseconds retry_pause{100};
/// Trailing metadata that a router sets when a failed call is certain to have changed nothing.
constexpr const char* unchanged_key = "ferryroad-unchanged";

/// Result of one attempt.
struct attempt {
    grpc::Status status;
    bool sent = true;                  ///< False: no connection could be established.
    bool confirmed_unchanged = false;  ///< The router stated that nothing changed.
};

bool is_retryable(const attempt& made) {
    const grpc::StatusCode code = made.status.error_code();
    return code == grpc::StatusCode::UNAVAILABLE || code == grpc::StatusCode::UNKNOWN ||
           code == grpc::StatusCode::DEADLINE_EXCEEDED || code == grpc::StatusCode::CANCELLED;
}

exit_code to_exit_code(grpc::StatusCode code) {
    switch (code) {
        case grpc::StatusCode::INVALID_ARGUMENT:
            return exit_code::invalid;
        case grpc::StatusCode::ABORTED:
            return exit_code::revision_conflict;
        case grpc::StatusCode::NOT_FOUND:
            return exit_code::not_found;
        default:
            return exit_code::failed;
    }
}

error no_answer(const std::string& address, const grpc::Status& status, bool may_have_changed) {
    const std::string cause = "router " + address + ": " + status.error_message();
    if (may_have_changed) {
        return {exit_code::outcome_unknown, "the change may have taken effect: " + cause};
    }
    return {exit_code::unreachable, "no router could answer: " + cause};
}

}  // namespace

struct router_client::connection {
    std::string address;
    std::shared_ptr<grpc::Channel> channel;
    std::unique_ptr<v1::Operator::Stub> stub;
};

router_client::router_client(const std::vector<base::endpoint>& routers,
                             std::chrono::milliseconds timeout)
    : timeout_(timeout) {
    grpc::ChannelArguments arguments;
    arguments.SetMaxReceiveMessageSize(largest_message);
    for (const base::endpoint& router : routers) {
        auto made = std::make_unique<connection>();
        made->address = router.to_string();
        made->channel =
            grpc::CreateCustomChannel(made->address, grpc::InsecureChannelCredentials(), arguments);
        made->stub = v1::Operator::NewStub(made->channel);
        connections_.push_back(std::move(made));
    }
}

router_client::~router_client() = default;

std::chrono::milliseconds router_client::attempt_limit() const {
    return std::max<std::chrono::milliseconds>(
        shortest_attempt, timeout_ / static_cast<std::int64_t>(2 * connections_.size()));
}

template <typename Answer, typename Call>
result<Answer> router_client::call_any(bool is_change, bool ask_all, Call call) {
    const clock::time_point deadline = clock::now() + timeout_;
    bool may_have_changed = false;
    std::size_t asked = 0;
    while (true) {
        connection& router = *connections_[next_ % connections_.size()];
        const clock::time_point until = std::min(deadline, clock::now() + attempt_limit());
        Answer answer;
        attempt made;
        made.sent = router.channel->WaitForConnected(until);
        if (made.sent) {
            grpc::ClientContext context;
            context.set_deadline(until);
            made.status = call(*router.stub, context, answer);
            made.confirmed_unchanged =
                context.GetServerTrailingMetadata().count(unchanged_key) != 0;
        } else {
            made.status = {grpc::StatusCode::UNAVAILABLE, "no connection"};
        }
        if (made.status.ok()) {
            return answer;
        }
        ++asked;
        const bool ask_next = ask_all && made.status.error_code() == grpc::StatusCode::NOT_FOUND &&
                              asked < connections_.size();
        if (!is_retryable(made) && !ask_next) {
            return error{to_exit_code(made.status.error_code()), made.status.error_message()};
        }
        may_have_changed =
            may_have_changed || (is_change && made.sent && !made.confirmed_unchanged);
        // An attempt shorter than this would time out and leave the outcome unknown.
        if (clock::now() + shortest_attempt >= deadline) {
            return no_answer(router.address, made.status, may_have_changed);
        }
        ++next_;
        if (next_ % connections_.size() == 0) {
            std::this_thread::sleep_for(retry_pause);
        }
    }
}

result<v1::PlanAnswer> router_client::plan(const v1::PlanRequest& request) {
    return call_any<v1::PlanAnswer>(false, false, [&](auto& stub, auto& context, auto& answer) {
        return stub.Plan(&context, request, &answer);
    });
}

result<v1::ApplyAnswer> router_client::apply(const v1::ApplyRequest& request) {
    return call_any<v1::ApplyAnswer>(true, false, [&](auto& stub, auto& context, auto& answer) {
        return stub.Apply(&context, request, &answer);
    });
}

result<v1::GetAnswer> router_client::get() {
    return call_any<v1::GetAnswer>(false, false, [&](auto& stub, auto& context, auto& answer) {
        return stub.Get(&context, v1::GetRequest(), &answer);
    });
}

result<v1::StatusAnswer> router_client::status() {
    return call_any<v1::StatusAnswer>(false, false, [&](auto& stub, auto& context, auto& answer) {
        return stub.Status(&context, v1::StatusRequest(), &answer);
    });
}

result<v1::DrainAnswer> router_client::drain(const v1::DrainRequest& request) {
    return call_any<v1::DrainAnswer>(true, false, [&](auto& stub, auto& context, auto& answer) {
        return stub.Drain(&context, request, &answer);
    });
}

result<v1::ConfirmAnswer> router_client::confirm(const v1::ConfirmRequest& request) {
    return call_any<v1::ConfirmAnswer>(false, false, [&](auto& stub, auto& context, auto& answer) {
        return stub.Confirm(&context, request, &answer);
    });
}

result<v1::ExplainAnswer> router_client::explain(const v1::ExplainRequest& request) {
    return call_any<v1::ExplainAnswer>(false, true, [&](auto& stub, auto& context, auto& answer) {
        return stub.Explain(&context, request, &answer);
    });
}

result<void> router_client::watch(std::uint64_t after,
                                  const std::function<bool(const v1::WatchEvent&)>& take) {
    clock::time_point deadline = clock::now() + timeout_;
    while (true) {
        connection& router = *connections_[next_++ % connections_.size()];
        grpc::Status status(grpc::StatusCode::UNAVAILABLE, "no connection");
        if (router.channel->WaitForConnected(std::min(deadline, clock::now() + attempt_limit()))) {
            grpc::ClientContext context;
            v1::WatchRequest request;
            request.set_after_revision(after);
            auto reader = router.stub->Watch(&context, request);
            v1::WatchEvent event;
            while (reader->Read(&event)) {
                after = std::max(after, event.revision());
                if (!take(event)) {
                    context.TryCancel();
                    return {};
                }
                deadline = clock::now() + timeout_;
            }
            status = reader->Finish();
        }
        if (clock::now() + retry_pause >= deadline) {
            return no_answer(router.address, status, false);
        }
        std::this_thread::sleep_for(retry_pause);
    }
}

}  // namespace ferryroad::ctl
