#include "ferryroad/relay/quota_datagrams.hpp"

#include "ferryroad/peer/codec.hpp"
#include "ferryroad/quotas/pending_verdict.hpp"

#include <utility>

namespace ferryroad::relay {

namespace {

/// Answers that take longer are not measured; nobody waits as long.
constexpr base::duration longest_late_answer = std::chrono::seconds(2);
constexpr std::size_t max_abandoned = 1000;

}  // namespace

using coordination::quota::quota_ask;
using coordination::quota::quota_verdict;

/// A request that waits for its answer. It is registered with its owner as long as it lives.
class quota_datagrams::pending_ask {
  public:
    pending_ask(quota_datagrams& owner, base::router_name home)
        : m_owner(owner),
          m_home(std::move(home)),
          m_number(owner.m_next_number++),
          m_sent_at(owner.m_scheduler.now()),
          m_verdict(owner.m_scheduler.executor()) {
        m_owner.m_pending.emplace(m_number, this);
    }
    ~pending_ask() { m_owner.m_pending.erase(m_number); }
    pending_ask(const pending_ask&) = delete;
    pending_ask& operator=(const pending_ask&) = delete;

    quotas::pending_verdict& verdict() { return m_verdict; }
    std::uint64_t number() const { return m_number; }
    const base::router_name& home() const { return m_home; }
    base::monotonic_time sent_at() const { return m_sent_at; }
    /// @return whether this is the first answer, which tells how long one takes.
    bool is_first_answer() { return !std::exchange(m_answered, true); }

  private:
    quota_datagrams& m_owner;
    base::router_name m_home;
    std::uint64_t m_number;
    base::monotonic_time m_sent_at;
    bool m_answered = false;
    quotas::pending_verdict m_verdict;
};

quota_datagrams::quota_datagrams(runtime::scheduler& scheduler, peer::transport& transport,
                                 const peer_address& self, core::topology::zone_map zones,
                                 quotas::decide_as_home handler,
                                 coordination::quota::answer_time_tunables answer_times)
    : m_scheduler(scheduler),
      m_transport(transport),
      m_self(self.name),
      m_zone(self.zone),
      m_zones(std::move(zones)),
      m_decide(std::move(handler)),
      m_answer_times(answer_times),
      // A random first number tells this process's requests from those of an earlier process of the
      // same name, whose answers may still arrive.
      m_next_number(scheduler.random().next()) {}

void quota_datagrams::set_routers(const std::vector<peer_address>& present) {
    m_addresses.clear();
    std::vector<coordination::quota::asked_router> asked;
    for (const peer_address& one : present) {
        m_addresses.emplace(one.name, one.address);
        asked.push_back({one.name, !m_zones.same_region(m_zone, one.zone)});
    }
    m_answer_times.set_routers(asked);
}

runtime::task<std::optional<quota_verdict>> quota_datagrams::ask(base::router_name home,
                                                                 quota_ask question) {
    const auto address = m_addresses.find(home);
    if (address == m_addresses.end()) {
        co_return std::nullopt;
    }
    const base::duration wait = question.wait;
    const base::duration timeout = m_answer_times.timeout(home);
    pending_ask pending(*this, std::move(home));
    send(address->second, peer::quota_request{pending.number(), std::move(question)});
    const auto first = co_await pending.verdict().wait(timeout);
    if (!first) {
        abandon(pending.number(), pending.home(), pending.sent_at());
        co_return std::nullopt;
    }
    if (!first->queued) {
        co_return first;
    }
    const auto second = co_await pending.verdict().wait(wait + timeout);
    co_return second ? second : first;
}

void quota_datagrams::abandon(std::uint64_t number, const base::router_name& home,
                              base::monotonic_time sent_at) {
    const base::monotonic_time now = m_scheduler.now();
    std::erase_if(m_abandoned, [&](const auto& entry) {
        return now - entry.second.sent_at > longest_late_answer;
    });
    if (m_abandoned.size() < max_abandoned) {
        m_abandoned.emplace(number, abandoned_ask{home, sent_at});
    }
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
    handle_answer(message->sender, *grant);
}

void quota_datagrams::handle_answer(const base::router_name& sender,
                                    const peer::quota_grant& grant) {
    const base::monotonic_time now = m_scheduler.now();
    const auto pending = m_pending.find(grant.number);
    if (pending != m_pending.end()) {
        pending_ask& ask = *pending->second;
        if (ask.home() != sender) {
            return;
        }
        if (ask.is_first_answer()) {
            m_answer_times.record(sender, now - ask.sent_at());
        }
        ask.verdict().resolve(grant.verdict);
        return;
    }
    const auto abandoned = m_abandoned.find(grant.number);
    if (abandoned != m_abandoned.end() && abandoned->second.home == sender) {
        ++m_late_answers;
        m_answer_times.record(sender, now - abandoned->second.sent_at);
        m_abandoned.erase(abandoned);
    }
}

}  // namespace ferryroad::relay
