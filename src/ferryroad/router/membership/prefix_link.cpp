#include "ferryroad/router/membership/prefix_link.hpp"

#include <utility>

namespace ferryroad::router::membership {

namespace {

selection::exchange_error to_exchange_error(const peer::error& failure) {
    using selection::exchange_failure;
    switch (failure.code) {
        case peer::error_code::timed_out:
            return {exchange_failure::timed_out};
        case peer::error_code::malformed:
        case peer::error_code::too_large:
            return {exchange_failure::malformed};
        case peer::error_code::unreachable:
        case peer::error_code::connection_lost:
        case peer::error_code::refused:
            break;
    }
    return {exchange_failure::unreachable};
}

}  // namespace

void prefix_link::serve(selection::shared_prefix_knowledge& knowledge) {
    dispatcher_.handle<peer::prefix_lookup>(
        [&knowledge](const peer::call_sender& sender, const peer::prefix_lookup& request) {
            return request.pieces.empty()
                       ? peer::prefix_answer{}
                       : knowledge.answer(sender.name, request.scope, request.pieces);
        });
    dispatcher_.handle<peer::prefix_reports>(
        [&knowledge](const peer::call_sender& sender, const peer::prefix_reports& message) {
            knowledge.accept(sender.name, message.reports);
            return peer::empty{};
        });
}

runtime::task<runtime::result<core::prefix::owner_answer, selection::exchange_error>>
prefix_link::lookup(selection::router_contact owner, core::prefix::cache_namespace scope,
                    core::prefix::piece_chain pieces, base::duration limit) {
    peer::call_body request = peer::prefix_lookup{std::move(scope), std::move(pieces)};
    peer::result<peer::prefix_answer> answer =
        co_await dispatcher_.call<peer::prefix_answer>(owner.address, std::move(request), limit);
    if (!answer) {
        co_return to_exchange_error(answer.error());
    }
    co_return std::move(*answer);
}

runtime::task<runtime::result<void, selection::exchange_error>> prefix_link::report(
    selection::router_contact owner, std::vector<core::prefix::prefix_report> reports,
    base::duration limit) {
    peer::call_body request = peer::prefix_reports{std::move(reports)};
    const peer::result<peer::empty> answer =
        co_await dispatcher_.call<peer::empty>(owner.address, std::move(request), limit);
    if (!answer) {
        co_return to_exchange_error(answer.error());
    }
    co_return runtime::result<void, selection::exchange_error>();
}

}  // namespace ferryroad::router::membership
