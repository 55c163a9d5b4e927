#include "bench/simulation/cluster/operators.hpp"

#include <stdexcept>
#include <utility>

namespace ferryroad::bench::simulation {

namespace {

constexpr base::duration answer_limit = std::chrono::seconds(10);
constexpr base::duration retry_pause = std::chrono::seconds(1);
constexpr std::uint32_t most_tries = 40;

}  // namespace

operators::operators(virtual_time& time, std::vector<simulated_router*> routers)
    : time_(time), routers_(std::move(routers)) {}

operators::order_pointer operators::make_order(catalog::catalog desired, std::string author,
                                               std::size_t router) {
    auto wanted = std::make_shared<order>();
    wanted->command.desired = std::move(desired);
    wanted->command.author = router::author_name(std::move(author));
    wanted->command.operation = router::operation_id("op-" + std::to_string(next_operation_++));
    wanted->router = router;
    return wanted;
}

void operators::apply_all(catalog::catalog desired, std::string author) {
    submit(make_order(std::move(desired), std::move(author), 0));
}

void operators::edit(std::size_t router, const std::string& author, const catalog_edit& change,
                     on_conflict conflict, const edit_accepted& accepted) {
    simulated_router* at = routers_[router % routers_.size()];
    const auto again = [this, router, author, change, conflict, accepted] {
        edit(router + 1, author, change, conflict, accepted);
    };
    if (!at->ready()) {
        // Operators ask another router; where none is ready, they wait.
        time_.after(retry_pause, again);
        return;
    }
    at->run([this, at, router, author, change, conflict, accepted, again] {
        catalog::catalog desired = *at->node().configuration().current();
        const base::revision read = desired.revision;
        change(desired);
        const order_pointer wanted = make_order(std::move(desired), author, router);
        wanted->command.expected = read;
        wanted->accepted = accepted;
        if (conflict == on_conflict::edit_again) {
            wanted->conflicting = [this, again] { time_.after(retry_pause, again); };
        }
        submit(wanted);
    });
}

void operators::submit(const order_pointer& wanted) {
    ++wanted->tries;
    simulated_router* router = routers_[wanted->router % routers_.size()];
    const std::uint32_t this_try = wanted->tries;
    router->run([this, wanted, router, this_try] {
        router->scheduler().spawn("simulation.operator", carry_out(wanted, router, this_try));
    });
    time_.after(answer_limit, [this, wanted, this_try] {
        if (!wanted->ended && wanted->tries == this_try) {
            try_later(wanted);
        }
    });
}

runtime::task<void> operators::carry_out(order_pointer wanted, simulated_router* router,
                                         std::uint32_t this_try) {
    router::apply_command command = wanted->command;
    const auto outcome = co_await router->node().control().apply(std::move(command));
    if (!wanted->ended && wanted->tries == this_try) {
        take(wanted, outcome);
    }
}

void operators::take(const order_pointer& wanted,
                     const router::configuration_result<router::change_outcome>& outcome) {
    if (outcome.has_value()) {
        wanted->ended = true;
        accepted_.push_back({wanted->command.operation.value, outcome->revision, time_.now()});
        if (wanted->accepted) {
            wanted->accepted(outcome->revision);
        }
        return;
    }
    const router::configuration_error_code code = outcome.error().code;
    if (code == router::configuration_error_code::revision_conflict) {
        wanted->ended = true;
        ++conflicts_;
        if (wanted->conflicting) {
            wanted->conflicting();
        }
    } else if (code == router::configuration_error_code::invalid) {
        wanted->ended = true;
        throw std::logic_error("the simulated configuration is invalid: " +
                               outcome.error().message);
    } else {
        try_later(wanted);
    }
}

void operators::try_later(const order_pointer& wanted) {
    if (wanted->tries >= most_tries) {
        wanted->ended = true;
        ++unanswered_;
        return;
    }
    ++wanted->router;
    time_.after(retry_pause, [this, wanted] {
        if (!wanted->ended) {
            submit(wanted);
        }
    });
}

}  // namespace ferryroad::bench::simulation
