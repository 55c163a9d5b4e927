#include "ferryroad/operator/service/operator_service.hpp"

#include "ferryroad/operator/messages/catalog_codec.hpp"
#include "ferryroad/operator/service/status_codec.hpp"
#include "ferryroad/operator/service/watch_reactor.hpp"

#include <boost/asio/post.hpp>
#include <boost/leaf/handle_errors.hpp>

#include <algorithm>
#include <chrono>
#include <optional>
#include <string>
#include <utility>

namespace ferryroad::operators {

namespace {

namespace leaf = boost::leaf;

/// Runs `work` on the event loop and finishes the call with the status it returns. gRPC keeps
/// the request and the answer alive until then.
template <typename Work>
grpc::ServerUnaryReactor* run_on_loop(grpc::CallbackServerContext* context,
                                      const operator_ports& ports, Work work) {
    grpc::ServerUnaryReactor* reactor = context->DefaultReactor();
    boost::asio::post(ports.scheduler.executor(),
                      [reactor, work = std::move(work)] { reactor->Finish(work()); });
    return reactor;
}

grpc::Status invalid(const std::string& message) {
    return {grpc::StatusCode::INVALID_ARGUMENT, message};
}

grpc::Status not_found(const std::string& message) {
    return {grpc::StatusCode::NOT_FOUND, message};
}

/// @return the catalog, or INVALID_ARGUMENT with every fault, one a line.
runtime::result<catalog::catalog, grpc::Status> decode_desired(const v1::DesiredState& state) {
    using outcome = runtime::result<catalog::catalog, grpc::Status>;
    return leaf::try_handle_all(
        [&]() -> leaf::result<outcome> {
            BOOST_LEAF_AUTO(declared, decode_state(state));
            return outcome(std::move(declared));
        },
        [](const catalog::invalid_catalog& faults) { return outcome(invalid(faults.to_string())); },
        []() { return outcome(invalid("the desired state can't be read")); });
}

std::optional<grpc::Status> check_author(const std::string& author) {
    if (author.empty()) {
        return invalid("field \"author\": expected the name of whoever asks for this");
    }
    return std::nullopt;
}

std::optional<grpc::Status> check_operation(const std::string& operation,
                                            const std::string& author) {
    if (operation.empty()) {
        return invalid("field \"operation_id\": expected an id chosen by the operator's tool");
    }
    return check_author(author);
}

/// @return the time until the deadline of the call; nothing where the client set none.
std::optional<base::duration> time_left(const grpc::CallbackServerContext& context) {
    if (context.deadline() == std::chrono::system_clock::time_point::max()) {
        return std::nullopt;
    }
    return context.deadline() - std::chrono::system_clock::now();
}

/// Trailing metadata which tells the client that the failed call changed nothing.
constexpr const char* unchanged_key = "ferryroad-unchanged";

/// Finishes the call of a change that failed.
void finish_failed_change(grpc::CallbackServerContext* context, grpc::ServerUnaryReactor* reactor,
                          const router::configuration_error& failure) {
    if (failure.code != router::configuration_error_code::outcome_unknown) {
        context->AddTrailingMetadata(unchanged_key, "true");
    }
    reactor->Finish(to_status(failure));
}

runtime::task<void> run_apply(operator_ports ports, grpc::CallbackServerContext* context,
                              grpc::ServerUnaryReactor* reactor, const v1::ApplyRequest* request,
                              v1::ApplyAnswer* answer) {
    if (const auto refused = check_operation(request->operation_id(), request->author())) {
        reactor->Finish(*refused);
        co_return;
    }
    auto desired = decode_desired(request->desired());
    if (!desired) {
        reactor->Finish(desired.error());
        co_return;
    }
    router::apply_command command;
    command.desired = std::move(*desired);
    if (request->has_expected_revision()) {
        command.expected = base::revision(request->expected_revision());
    }
    command.operation = router::operation_id(request->operation_id());
    command.author = router::author_name(request->author());
    command.time_left = time_left(*context);
    auto outcome = co_await ports.control.apply(std::move(command));
    if (!outcome) {
        finish_failed_change(context, reactor, outcome.error());
        co_return;
    }
    answer->set_revision(outcome->revision.value);
    answer->set_repeated(outcome->repeated);
    encode_differences(outcome->differences, *answer->mutable_differences());
    reactor->Finish(grpc::Status::OK);
}

/// @return the pool that the engine belongs to, or is drained from; nothing for an unknown engine.
std::optional<base::pool_name> find_pool(const operator_ports& ports,
                                         const base::engine_name& engine) {
    for (const router::engine_status& status : ports.status.status().engines) {
        if (status.name == engine) {
            return status.pool;
        }
    }
    for (const auto& [name, pool] : ports.view.current()->pools) {
        if (std::find(pool.drained.begin(), pool.drained.end(), engine) != pool.drained.end()) {
            return name;
        }
    }
    return std::nullopt;
}

runtime::task<void> run_drain(operator_ports ports, grpc::CallbackServerContext* context,
                              grpc::ServerUnaryReactor* reactor, const v1::DrainRequest* request,
                              v1::DrainAnswer* answer) {
    if (const auto refused = check_operation(request->operation_id(), request->author())) {
        reactor->Finish(*refused);
        co_return;
    }
    const base::engine_name engine(request->engine());
    const std::optional<base::pool_name> pool = find_pool(ports, engine);
    if (!pool) {
        reactor->Finish(not_found("no engine is named \"" + engine.value + "\""));
        co_return;
    }
    router::drain_command command{*pool,
                                  engine,
                                  request->undo(),
                                  router::operation_id(request->operation_id()),
                                  router::author_name(request->author()),
                                  time_left(*context)};
    auto outcome = co_await ports.control.drain(std::move(command));
    if (!outcome) {
        finish_failed_change(context, reactor, outcome.error());
        co_return;
    }
    answer->set_revision(outcome->revision.value);
    answer->set_repeated(outcome->repeated);
    reactor->Finish(grpc::Status::OK);
}

runtime::task<void> run_confirm(operator_ports ports, grpc::ServerUnaryReactor* reactor,
                                const v1::ConfirmRequest* request, v1::ConfirmAnswer* answer) {
    if (const auto refused = check_author(request->author())) {
        reactor->Finish(*refused);
        co_return;
    }
    router::confirm_command command{base::revision(request->revision()),
                                    router::author_name(request->author())};
    auto outcome = co_await ports.control.confirm(std::move(command));
    if (!outcome) {
        reactor->Finish(to_status(outcome.error()));
        co_return;
    }
    answer->set_revision(outcome->revision.value);
    answer->set_by_table(outcome->by_table);
    reactor->Finish(grpc::Status::OK);
}

}  // namespace

grpc::ServerUnaryReactor* operator_service::Plan(grpc::CallbackServerContext* context,
                                                 const v1::PlanRequest* request,
                                                 v1::PlanAnswer* answer) {
    return run_on_loop(context, ports_, [this, request, answer]() -> grpc::Status {
        auto desired = decode_desired(request->desired());
        if (!desired) {
            return desired.error();
        }
        const auto planned = ports_.control.plan(*desired);
        if (!planned) {
            return to_status(planned.error());
        }
        answer->set_revision(planned->revision.value);
        encode_differences(planned->differences, *answer->mutable_differences());
        return grpc::Status::OK;
    });
}

grpc::ServerUnaryReactor* operator_service::Apply(grpc::CallbackServerContext* context,
                                                  const v1::ApplyRequest* request,
                                                  v1::ApplyAnswer* answer) {
    grpc::ServerUnaryReactor* reactor = context->DefaultReactor();
    boost::asio::post(ports_.scheduler.executor(), [this, context, reactor, request, answer] {
        ports_.scheduler.spawn("operator.apply",
                               run_apply(ports_, context, reactor, request, answer));
    });
    return reactor;
}

grpc::ServerUnaryReactor* operator_service::Get(grpc::CallbackServerContext* context,
                                                const v1::GetRequest* /*request*/,
                                                v1::GetAnswer* answer) {
    return run_on_loop(context, ports_, [this, answer]() -> grpc::Status {
        const auto current = ports_.view.current();
        answer->set_revision(current->revision.value);
        encode_state(*current, *answer->mutable_state());
        return grpc::Status::OK;
    });
}

grpc::ServerWriteReactor<v1::WatchEvent>* operator_service::Watch(
    grpc::CallbackServerContext* /*context*/, const v1::WatchRequest* request) {
    return new watch_reactor(ports_.control, ports_.scheduler,
                             base::revision(request->after_revision()));
}

grpc::ServerUnaryReactor* operator_service::Status(grpc::CallbackServerContext* context,
                                                   const v1::StatusRequest* /*request*/,
                                                   v1::StatusAnswer* answer) {
    return run_on_loop(context, ports_, [this, answer]() -> grpc::Status {
        answer->set_revision(ports_.view.current()->revision.value);
        encode_status(ports_.status.status(), *answer);
        return grpc::Status::OK;
    });
}

grpc::ServerUnaryReactor* operator_service::Drain(grpc::CallbackServerContext* context,
                                                  const v1::DrainRequest* request,
                                                  v1::DrainAnswer* answer) {
    grpc::ServerUnaryReactor* reactor = context->DefaultReactor();
    boost::asio::post(ports_.scheduler.executor(), [this, context, reactor, request, answer] {
        ports_.scheduler.spawn("operator.drain",
                               run_drain(ports_, context, reactor, request, answer));
    });
    return reactor;
}

grpc::ServerUnaryReactor* operator_service::Confirm(grpc::CallbackServerContext* context,
                                                    const v1::ConfirmRequest* request,
                                                    v1::ConfirmAnswer* answer) {
    grpc::ServerUnaryReactor* reactor = context->DefaultReactor();
    boost::asio::post(ports_.scheduler.executor(), [this, reactor, request, answer] {
        ports_.scheduler.spawn("operator.confirm", run_confirm(ports_, reactor, request, answer));
    });
    return reactor;
}

grpc::ServerUnaryReactor* operator_service::Explain(grpc::CallbackServerContext* context,
                                                    const v1::ExplainRequest* request,
                                                    v1::ExplainAnswer* answer) {
    return run_on_loop(context, ports_, [this, request, answer]() -> grpc::Status {
        const auto decision = ports_.selector.explain(base::request_id(request->request_id()));
        if (!decision) {
            return not_found("this router has no record of that request");
        }
        encode_decision(*decision, *answer);
        return grpc::Status::OK;
    });
}

}  // namespace ferryroad::operators
