#include "ferryroad/quotas/home_client.hpp"

#include "ferryroad/quotas/pending_verdict.hpp"
#include "ferryroad/runtime/log.hpp"

#include <algorithm>
#include <memory>
#include <string>
#include <string_view>
#include <utility>

namespace ferryroad::quotas {

namespace {

constexpr std::string_view component = "quotas.homes";

}  // namespace

home_client::home_client(runtime::scheduler& scheduler, base::router_name self, ask_router ask,
                         decide_as_home decide)
    : m_scheduler(scheduler),
      m_self(std::move(self)),
      m_ask(std::move(ask)),
      m_decide(std::move(decide)) {
    m_homes.declare({m_self});
}

void home_client::set_routers(std::vector<base::router_name> present,
                              coordination::quota::router_regions regions) {
    if (std::find(present.begin(), present.end(), m_self) == present.end()) {
        present.push_back(m_self);
    }
    m_homes.declare(std::move(present), std::move(regions));
}

runtime::task<std::optional<quota_verdict>> home_client::ask(base::router_name home,
                                                             quota_ask question) {
    if (home == m_self) {
        co_return co_await ask_here(std::move(question));
    }
    ++m_counters.asks_sent;
    const std::string subject = question.subject.name;
    base::router_name target = home;
    const auto verdict = co_await m_ask(std::move(target), std::move(question));
    if (verdict) {
        record_answer(home);
    } else {
        record_silence(home, subject);
    }
    co_return verdict;
}

void home_client::record_answer(const base::router_name& home) {
    if (m_homes.answered(home)) {
        runtime::log(runtime::log_level::info, component, "home answers again",
                     {{"home", home.value}});
    }
}

void home_client::record_silence(const base::router_name& home, const std::string& subject) {
    ++m_counters.asks_unanswered;
    if (const auto excluded = m_homes.silent(home, m_scheduler.now())) {
        runtime::log(runtime::log_level::warning, component, "home does not answer",
                     {{"home", home.value},
                      {"subject", subject},
                      {"excluded_ms", std::to_string(base::to_milliseconds(*excluded))}});
    }
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
