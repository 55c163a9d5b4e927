#include "ferryroad/quotas/home_client.hpp"

#include "ferryroad/quotas/pending_verdict.hpp"

#include <algorithm>
#include <memory>
#include <utility>

namespace ferryroad::quotas {

home_client::home_client(runtime::scheduler& scheduler, base::router_name self, ask_router ask,
                         decide_as_home decide)
    : m_scheduler(scheduler),
      m_self(std::move(self)),
      m_ask(std::move(ask)),
      m_decide(std::move(decide)) {
    m_homes.declare({m_self});
}

void home_client::set_routers(std::vector<base::router_name> present) {
    if (std::find(present.begin(), present.end(), m_self) == present.end()) {
        present.push_back(m_self);
    }
    m_homes.declare(std::move(present));
}

runtime::task<std::optional<quota_verdict>> home_client::ask(base::router_name home,
                                                             quota_ask question) {
    if (home == m_self) {
        co_return co_await ask_here(std::move(question));
    }
    ++m_counters.asks_sent;
    base::router_name target = home;
    const auto verdict = co_await m_ask(std::move(target), std::move(question));
    if (verdict) {
        m_homes.answered(home);
    } else {
        ++m_counters.asks_unanswered;
        m_homes.silent(home, m_scheduler.now());
    }
    co_return verdict;
}

runtime::task<quota_verdict> home_client::ask_here(quota_ask question) {
    const auto pending = std::make_shared<pending_verdict>(m_scheduler.executor());
    const quota_verdict first = m_decide(
        m_self, question, [pending](const quota_verdict& later) { pending->resolve(later); });
    if (!first.queued) {
        co_return first;
    }
    const auto later = co_await pending->wait(question.wait);
    co_return later.value_or(first);
}

}  // namespace ferryroad::quotas
