#include "ferryroad/router/selection/peer_prefix_exchange.hpp"

#include "ferryroad/peer/codec.hpp"

#include <algorithm>
#include <utility>

namespace ferryroad::router::selection {

namespace {

exchange_error to_exchange_error(const peer::error& error) {
    switch (error.code) {
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

peer::prefix_report to_wire(const core::prefix::prefix_report& report) {
    peer::prefix_report sent;
    sent.scope = report.scope;
    sent.pieces = report.pieces;
    sent.engine = report.process.engine;
    sent.incarnation = report.process.incarnation;
    sent.evicted = report.change == core::prefix::prefix_change::evicted;
    sent.depth = static_cast<std::uint32_t>(report.pieces.size());
    sent.answered = report.why == core::prefix::evidence::answer;
    sent.events_lost = report.change == core::prefix::prefix_change::events_lost;
    return sent;
}

core::prefix::prefix_change change_of(const peer::prefix_report& report) {
    if (report.events_lost) {
        return core::prefix::prefix_change::events_lost;
    }
    return report.evicted ? core::prefix::prefix_change::evicted
                          : core::prefix::prefix_change::held;
}

core::prefix::prefix_report from_wire(const peer::prefix_report& report) {
    const auto why =
        report.answered ? core::prefix::evidence::answer : core::prefix::evidence::dispatch;
    return {
        report.scope, report.pieces, {report.engine, report.incarnation}, change_of(report), why};
}

peer::prefix_answer to_wire(const core::prefix::owner_answer& answer) {
    peer::prefix_answer sent;
    sent.holders.reserve(answer.holders.size());
    for (const core::prefix::holder& each : answer.holders) {
        sent.holders.push_back(
            {each.process.engine, each.process.incarnation, each.pieces, each.age});
    }
    sent.request_rate = static_cast<float>(answer.request_rate);
    return sent;
}

/// @param asked number of pieces asked about: a holder of more is none of ours.
core::prefix::owner_answer from_wire(const peer::prefix_answer& answer, std::size_t asked) {
    core::prefix::owner_answer received;
    received.request_rate = answer.request_rate;
    for (const peer::prefix_holder& each : answer.holders) {
        if (each.depth >= 1 && each.depth <= asked) {
            received.holders.push_back({{each.engine, each.incarnation}, each.depth, each.age});
        }
    }
    std::stable_sort(received.holders.begin(), received.holders.end(),
                     [](const core::prefix::holder& left, const core::prefix::holder& right) {
                         return left.pieces > right.pieces;
                     });
    return received;
}

}  // namespace

peer_prefix_exchange::peer_prefix_exchange(peer::transport& transport, router_contact self)
    : transport_(transport), self_(std::move(self)) {}

runtime::task<runtime::result<core::prefix::owner_answer, exchange_error>>
peer_prefix_exchange::lookup(router_contact owner, core::prefix::cache_namespace scope,
                             core::prefix::piece_chain pieces, base::duration limit) {
    const std::size_t asked = pieces.size();
    peer::call_body body = peer::prefix_lookup{std::move(scope), std::move(pieces)};
    const auto answered = co_await exchange(owner.address, std::move(body), limit);
    if (answered.has_error()) {
        co_return answered.error();
    }
    const auto* answer = std::get_if<peer::prefix_answer>(&*answered);
    if (answer == nullptr) {
        co_return exchange_error{exchange_failure::malformed};
    }
    co_return from_wire(*answer, asked);
}

runtime::task<runtime::result<void, exchange_error>> peer_prefix_exchange::report(
    router_contact owner, std::vector<core::prefix::prefix_report> reports, base::duration limit) {
    peer::prefix_reports sent;
    sent.reports.reserve(reports.size());
    for (const core::prefix::prefix_report& each : reports) {
        sent.reports.push_back(to_wire(each));
    }
    peer::call_body body = std::move(sent);
    const auto answered = co_await exchange(owner.address, std::move(body), limit);
    if (answered.has_error()) {
        co_return answered.error();
    }
    if (!std::holds_alternative<peer::empty>(*answered)) {
        co_return exchange_error{exchange_failure::malformed};
    }
    co_return runtime::result<void, exchange_error>();
}

runtime::task<runtime::result<peer::call_body, exchange_error>> peer_prefix_exchange::exchange(
    base::endpoint to, peer::call_body body, base::duration limit) {
    const peer::call sent{self_.name, self_.incarnation, std::move(body)};
    peer::message_bytes bytes = peer::encode(sent);
    const auto received = co_await transport_.call(to, std::move(bytes), limit);
    if (received.has_error()) {
        co_return to_exchange_error(received.error());
    }
    auto answer = peer::decode_call(*received);
    if (answer.has_error()) {
        co_return to_exchange_error(answer.error());
    }
    co_return std::move(answer->body);
}

std::optional<peer::call_body> answer_prefix_call(shared_prefix_knowledge& knowledge,
                                                  const peer::call_body& body) {
    if (const auto* asked = std::get_if<peer::prefix_lookup>(&body)) {
        if (asked->pieces.empty()) {
            return peer::call_body(peer::prefix_answer{});
        }
        return peer::call_body(to_wire(knowledge.answer(asked->scope, asked->pieces)));
    }
    if (const auto* told = std::get_if<peer::prefix_reports>(&body)) {
        std::vector<core::prefix::prefix_report> reports;
        reports.reserve(told->reports.size());
        for (const peer::prefix_report& each : told->reports) {
            reports.push_back(from_wire(each));
        }
        knowledge.accept(reports);
        return peer::call_body(peer::empty{});
    }
    return std::nullopt;
}

}  // namespace ferryroad::router::selection
