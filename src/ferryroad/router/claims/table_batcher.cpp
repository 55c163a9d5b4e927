#include "ferryroad/router/claims/table_batcher.hpp"

#include <boost/asio/experimental/channel.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <deque>
#include <iterator>
#include <map>
#include <utility>
#include <vector>

namespace ferryroad::router {

namespace {

using boost::asio::experimental::channel;

template <typename Question, typename Answer>
struct waiting_question {
    using answer = platform::result<Answer>;
    using answer_channel = channel<void(boost::system::error_code, answer)>;

    Question question;
    std::shared_ptr<answer_channel> reply;
};

using waiting_transaction = waiting_question<platform::transaction, platform::transaction_outcome>;
using waiting_read = waiting_question<platform::row_key, platform::row>;

platform::error queue_full() {
    return {platform::error_code::unavailable, "too many claims wait for the table", std::nullopt};
}

platform::error wrong_answer() {
    return {platform::error_code::answer_lost, "the table answered for other rows", std::nullopt};
}

/// Nobody may listen any more: a cancelled caller's answer is dropped.
template <typename Waiting>
void answer(const Waiting& one, typename Waiting::answer result) {
    one.reply->try_send(boost::system::error_code(), std::move(result));
}

template <typename Waiting>
std::vector<Waiting> take(std::deque<Waiting>& queue, std::size_t most) {
    const auto count = static_cast<std::ptrdiff_t>(std::min(queue.size(), most));
    std::vector<Waiting> taken(std::make_move_iterator(queue.begin()),
                               std::make_move_iterator(queue.begin() + count));
    queue.erase(queue.begin(), queue.begin() + count);
    return taken;
}

}  // namespace

struct table_batcher::state : std::enable_shared_from_this<state> {
    state(runtime::scheduler& scheduler_in, platform::table& table_in, claim_tunables limits_in)
        : scheduler(scheduler_in), table(table_in), limits(limits_in) {}

    template <typename Waiting, typename Question>
    runtime::task<typename Waiting::answer> ask(std::deque<Waiting>& queue, Question question);
    void send_waiting();
    static runtime::task<void> send_transactions(std::shared_ptr<state> self,
                                                 std::vector<waiting_transaction> batch);
    static runtime::task<void> send_reads(std::shared_ptr<state> self,
                                          std::vector<waiting_read> batch);

    runtime::scheduler& scheduler;
    platform::table& table;
    claim_tunables limits;
    std::deque<waiting_transaction> transactions;
    std::deque<waiting_read> reads;
    std::size_t in_flight = 0;
    std::uint64_t calls = 0;
};

template <typename Waiting, typename Question>
runtime::task<typename Waiting::answer> table_batcher::state::ask(std::deque<Waiting>& queue,
                                                                  Question question) {
    if (queue.size() >= limits.waiting) {
        co_return queue_full();
    }
    auto reply =
        std::make_shared<typename Waiting::answer_channel>(scheduler.executor(), std::size_t{1});
    queue.push_back(Waiting{std::move(question), reply});
    send_waiting();
    auto result = co_await reply->async_receive(boost::asio::use_awaitable);
    co_return result;
}

void table_batcher::state::send_waiting() {
    while (in_flight < limits.calls_in_flight && !transactions.empty()) {
        ++in_flight;
        auto batch = take(transactions, limits.rows_per_call);
        scheduler.spawn("router.claims", send_transactions(shared_from_this(), std::move(batch)));
    }
    while (in_flight < limits.calls_in_flight && !reads.empty()) {
        ++in_flight;
        auto batch = take(reads, limits.rows_per_call);
        scheduler.spawn("router.claims", send_reads(shared_from_this(), std::move(batch)));
    }
}

runtime::task<void> table_batcher::state::send_transactions(
    std::shared_ptr<state> self, std::vector<waiting_transaction> batch) {
    std::vector<platform::transaction> questions;
    questions.reserve(batch.size());
    for (waiting_transaction& one : batch) {
        questions.push_back(std::move(one.question));
    }
    ++self->calls;
    const auto answered = co_await self->table.transact(std::move(questions));
    for (std::size_t index = 0; index < batch.size(); ++index) {
        if (answered.has_error()) {
            answer(batch[index], answered.error());
        } else if (answered->size() != batch.size()) {
            answer(batch[index], wrong_answer());
        } else {
            answer(batch[index], (*answered)[index]);
        }
    }
    --self->in_flight;
    self->send_waiting();
}

runtime::task<void> table_batcher::state::send_reads(std::shared_ptr<state> self,
                                                     std::vector<waiting_read> batch) {
    std::vector<platform::row_key> keys;
    for (const waiting_read& one : batch) {
        if (std::find(keys.begin(), keys.end(), one.question) == keys.end()) {
            keys.push_back(one.question);
        }
    }
    ++self->calls;
    const auto answered = co_await self->table.read(std::move(keys));
    for (const waiting_read& one : batch) {
        if (answered.has_error()) {
            answer(one, answered.error());
            continue;
        }
        const auto found =
            std::find_if(answered->begin(), answered->end(),
                         [&](const platform::row& row) { return row.key == one.question; });
        answer(one, found == answered->end() ? platform::row{one.question, {}, {}} : *found);
    }
    --self->in_flight;
    self->send_waiting();
}

table_batcher::table_batcher(runtime::scheduler& scheduler, platform::table& table,
                             claim_tunables limits)
    : state_(std::make_shared<state>(scheduler, table, limits)) {}

table_batcher::~table_batcher() = default;

runtime::task<platform::result<platform::transaction_outcome>> table_batcher::transact(
    platform::transaction wanted) {
    return state_->ask(state_->transactions, std::move(wanted));
}

runtime::task<platform::result<platform::row>> table_batcher::read(platform::row_key key) {
    return state_->ask(state_->reads, std::move(key));
}

std::uint64_t table_batcher::calls() const {
    return state_->calls;
}

}  // namespace ferryroad::router
