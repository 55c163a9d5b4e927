#include "ferryroad/relay/quota_datagrams.hpp"

#include "ferryroad/peer/codec.hpp"
#include "ferryroad/quotas/pending_verdict.hpp"

#include <utility>

namespace ferryroad::relay {

using coordination::quota::quota_ask;
using coordination::quota::quota_verdict;

/// A request that waits for its answer. It is registered with its owner as long as it lives.
class quota_datagrams::pending_ask {
  public:
    pending_ask(quota_datagrams& owner, base::router_name home)
        : m_owner(owner),
          m_home(std::move(home)),
          m_number(owner.m_next_number++),
          m_verdict(owner.m_scheduler.executor()) {
        m_owner.m_pending.emplace(m_number, this);
    }
    ~pending_ask() { m_owner.m_pending.erase(m_number); }
    pending_ask(const pending_ask&) = delete;
    pending_ask& operator=(const pending_ask&) = delete;

    quotas::pending_verdict& verdict() { return m_verdict; }
    std::uint64_t number() const { return m_number; }
    const base::router_name& home() const { return m_home; }

  private:
    quota_datagrams& m_owner;
    base::router_name m_home;
    std::uint64_t m_number;
    quotas::pending_verdict m_verdict;
};

quota_datagrams::quota_datagrams(runtime::scheduler& scheduler, peer::transport& transport,
                                 base::router_name self, quotas::decide_as_home handler,
                                 base::duration answer_timeout)
    : m_scheduler(scheduler),
      m_transport(transport),
      m_self(std::move(self)),
      m_decide(std::move(handler)),
      m_answer_timeout(answer_timeout),
      // A random first number tells this process's requests from those of an earlier process of the
      // same name, whose answers may still arrive.
      m_next_number(scheduler.random().next()) {}

void quota_datagrams::set_routers(const std::vector<peer_address>& present) {
    m_addresses.clear();
    for (const peer_address& one : present) {
        m_addresses.emplace(one.name, one.address);
    }
}

runtime::task<std::optional<quota_verdict>> quota_datagrams::ask(base::router_name home,
                                                                 quota_ask question) {
    const auto address = m_addresses.find(home);
    if (address == m_addresses.end()) {
        co_return std::nullopt;
    }
    const base::duration wait = question.wait;
    pending_ask pending(*this, std::move(home));
    send(address->second, peer::quota_request{pending.number(), std::move(question)});
    const auto first = co_await pending.verdict().wait(m_answer_timeout);
    if (!first || !first->queued) {
        co_return first;
    }
    const auto second = co_await pending.verdict().wait(wait + m_answer_timeout);
    co_return second ? second : first;
}

void quota_datagrams::send(const base::endpoint& to, peer::call_body body) {
    m_transport.send(to, peer::encode(peer::call{m_self, base::incarnation(0), std::move(body)}));
}

void quota_datagrams::handle_datagram(const base::endpoint& from, std::string_view bytes) {
    const auto message = peer::decode_call(bytes);
    if (!message) {
        ++m_malformed;
        return;
    }
    if (const auto* request = std::get_if<peer::quota_request>(&message->body)) {
        const auto answer = [this, from, number = request->number](const quota_verdict& verdict) {
            send(from, peer::quota_grant{number, verdict});
        };
        answer(m_decide(message->sender, request->ask, answer));
        return;
    }
    const auto* grant = std::get_if<peer::quota_grant>(&message->body);
    if (grant == nullptr) {
        ++m_malformed;
        return;
    }
    const auto pending = m_pending.find(grant->number);
    if (pending == m_pending.end()) {
        ++m_late_answers;
    } else if (pending->second->home() == message->sender) {
        pending->second->verdict().resolve(grant->verdict);
    }
}

}  // namespace ferryroad::relay
