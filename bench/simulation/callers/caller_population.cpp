#include "bench/simulation/callers/caller_population.hpp"

#include "ferryroad/base/digest.hpp"

#include <utility>

namespace ferryroad::bench::simulation {

namespace {

using load::call_outcome;

}  // namespace

caller_population::caller_population(network& carrier, std::vector<simulated_router*> routers,
                                     std::vector<base::endpoint> machines, caller_habits habits)
    : carrier_(carrier),
      routers_(std::move(routers)),
      machines_(std::move(machines)),
      habits_(habits) {}

double caller_population::now() const {
    return base::to_seconds(carrier_.time().now().time_since_epoch());
}

void caller_population::send_all(workload::specification source, base::monotonic_time begin) {
    source_ = std::make_unique<workload::generator>(std::move(source));
    begin_ = begin;
    all_sent_ = false;
    send_next();
}

void caller_population::send_next() {
    std::optional<workload::workload_request> request = source_->next();
    if (!request) {
        all_sent_ = true;
        return;
    }
    carrier_.time().at(begin_ + request->at, [this, request = std::move(*request)] {
        begin(request, 0);
        send_next();
    });
}

load::call_record caller_population::begin_record(const workload::workload_request& request) const {
    load::call_record record;
    record.number = request.number;
    record.run = source_ ? source_->source().name : "probe";
    record.kind = request.kind;
    record.type = request.type;
    record.stream = request.stream;
    record.tenant = request.tenant;
    record.key = request.key;
    record.max_tokens = request.max_tokens;
    if (request.prompt) {
        const std::size_t piece_bytes =
            source_ ? source_->source().piece_bytes : core::prefix::default_piece_bytes;
        record.prompt_sha256 = base::sha256_hex(*request.prompt);
        record.pieces = core::prefix::hash_pieces({}, *request.prompt, piece_bytes);
    }
    record.sent_at = now();
    return record;
}

void caller_population::begin(workload::workload_request request, std::uint32_t repeated) {
    const auto call = std::make_shared<pending_call>();
    call->record = begin_record(request);
    call->request = std::move(request);
    call->repeated = repeated;
    ++under_way_;
    try_router(call);
}

void caller_population::try_router(const call_pointer& call) {
    const std::size_t place = call->request.number + call->turn + call->repeated;
    simulated_router* router = routers_[place % routers_.size()];
    const base::endpoint& machine = machines_[call->request.number % machines_.size()];
    if (carrier_.is_cut(machine, router->address())) {
        carrier_.time().after(habits_.connect_limit, [this, call] { try_next(call); });
        return;
    }
    const auto exchange = std::make_shared<caller_exchange>(
        carrier_, exchange_ends{machine, router->address()}, call->request, call->record,
        [this, call](const load::call_record& record) { finish(call, record); });
    if (call->request.stream && carrier_.time().random().unit() < habits_.leaving_share) {
        exchange->leave_after(1);
    }
    exchange->send_to_router([this, router, exchange, call] {
        if (router->accept(exchange)) {
            exchange->limit_to(habits_.patience);
        } else {
            try_next(call);
        }
    });
}

void caller_population::try_next(const call_pointer& call) {
    ++call->turn;
    if (call->turn < routers_.size()) {
        try_router(call);
        return;
    }
    load::call_record record = call->record;
    record.outcome = call_outcome::unreachable;
    record.error_code = "connect_failed";
    record.ended_at = now();
    finish(call, record);
}

void caller_population::finish(const call_pointer& call, const load::call_record& record) {
    --under_way_;
    records_.push_back(record);
    carrier_.time().record(record.request.value + record.error_code);
    const bool once_only = call->request.type == workload::request_type::application_write;
    if (once_only && record.outcome != call_outcome::complete && call->repeated < habits_.repeats) {
        carrier_.time().after(habits_.repeat_pause,
                              [this, call] { begin(call->request, call->repeated + 1); });
    }
}

void caller_population::send_one(const workload::workload_request& request,
                                 simulated_router& router, caller_exchange::finished done) {
    const base::endpoint& machine = machines_[request.number % machines_.size()];
    const auto shared_done = std::make_shared<caller_exchange::finished>(std::move(done));
    const load::call_record record = begin_record(request);
    const auto exchange = std::make_shared<caller_exchange>(
        carrier_, exchange_ends{machine, router.address()}, request, record,
        [this, shared_done](const load::call_record& ended) {
            records_.push_back(ended);
            (*shared_done)(ended);
        });
    exchange->send_to_router([this, &router, exchange] {
        if (router.accept(exchange)) {
            exchange->limit_to(habits_.patience);
        } else {
            exchange->break_off("connect_failed");
        }
    });
}

}  // namespace ferryroad::bench::simulation
