/// Routers read tables from the owner or from each other, and know how current their copies are.
#include "ferryroad/relay/shared_feed.hpp"

#include "ferryroad/base/random.hpp"
#include "ferryroad/relay/table_server.hpp"
#include "test/http/loopback.hpp"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

using namespace ferryroad;
using namespace ferryroad::relay;
using namespace std::chrono_literals;

namespace {

const std::string table_name = "t";

/// The owner's table.
struct owner {
    coordination::reading::table_mirror rows;
    std::uint64_t version = 0;

    void put(const std::string& key, const std::string& value) {
        rows.change({key, value, ++version, false});
    }
};

/// The owner as one router reaches it; calls can be made to fail.
struct owner_feed {
    using answer = runtime::result<record_batch, feed_fault>;
    runtime::scheduler& scheduler;
    owner& source;
    bool refuses_calls = false;
    bool loses_held_answers = false;
    int calls = 0;
    int whole_calls = 0;  ///< Calls among them that read the whole table.
    std::vector<base::duration> waits;

    runtime::task<answer> read_all(std::string, base::duration) {
        ++whole_calls;
        return read([this] { return source.rows.rows(); });
    }
    runtime::task<answer> read_changes(std::string, std::uint64_t after, base::duration wait,
                                       base::duration) {
        waits.push_back(wait);
        if (wait > 0ms && loses_held_answers) {
            return lose(wait);
        }
        return read([this, after] { return *source.rows.changes_after(after); });
    }
    runtime::task<answer> lose(base::duration wait) {
        co_await scheduler.sleep_for(wait);
        co_return feed_fault::unavailable;
    }
    runtime::task<answer> read(std::function<std::vector<record>()> rows) {
        ++calls;
        co_await scheduler.sleep_for(1ms);
        if (refuses_calls) {
            co_return feed_fault::unavailable;
        }
        record_batch batch;
        batch.records = rows();
        batch.version = source.version;
        batch.owner_time = 1000ms;
        co_return batch;
    }
};

/// Network that carries calls between the routers of a test and may alter answers.
struct network {
    std::map<base::endpoint, peer::transport::call_handler> handlers;
    std::map<base::endpoint, std::function<peer::message_bytes(peer::message_bytes)>> tampered;
};

class fake_transport final : public peer::transport {
  public:
    fake_transport(runtime::scheduler& scheduler, network& net, base::endpoint self)
        : m_scheduler(scheduler), m_network(net), m_self(std::move(self)) {}
    void on_datagram(datagram_handler) override {}
    void on_call(call_handler handler) override { m_network.handlers[m_self] = std::move(handler); }
    void send(const base::endpoint&, peer::message_bytes) override {}
    runtime::task<peer::result<peer::message_bytes>> call(const base::endpoint& to,
                                                          peer::message_bytes request,
                                                          base::duration) override {
        return carry(to, std::move(request));
    }
    const peer::transport_counters& counters() const override { return m_counters; }

  private:
    runtime::task<peer::result<peer::message_bytes>> carry(base::endpoint to,
                                                           peer::message_bytes request) {
        co_await m_scheduler.sleep_for(1ms);
        const auto found = m_network.handlers.find(to);
        if (found == m_network.handlers.end()) {
            co_return peer::error{peer::error_code::unreachable, "nobody there"};
        }
        auto answer = co_await found->second(std::move(request));
        if (m_network.tampered.contains(to)) {
            answer = m_network.tampered[to](std::move(answer));
        }
        co_return answer;
    }

    runtime::scheduler& m_scheduler;
    network& m_network;
    base::endpoint m_self;
    peer::transport_counters m_counters;
};

shared_feed_settings quick() {
    shared_feed_settings settings;
    settings.max_hold = 20ms;
    settings.min_hold = 5ms;
    settings.call_margin = 20ms;
    settings.retry_pause = 1ms;
    settings.routers_timeout = 300ms;
    settings.routers_settle_time = 5ms;
    settings.poll_interval = 1ms;
    settings.contacts_settle_time = 20ms;
    settings.old_copy_pause = 2ms;
    settings.sources.max_copy_age = 100ms;
    settings.sources.old_copy_pause = 20ms;
    settings.reach.first_owner_pause = 10ms;
    settings.reach.longest_reader_pause = 20ms;
    settings.reach.longest_owner_pause = 50ms;
    return settings;
}

follower_settings follow_table() {
    follower_settings settings;
    settings.table = table_name;
    settings.pace = 5ms;
    settings.first_backoff = 1ms;
    settings.max_backoff = 4ms;
    settings.same_meaning = [](const record& before, const record& after) {
        return before.value.substr(0, 1) == after.value.substr(0, 1);
    };
    return settings;
}

struct router {
    router(ferryroad::test::loopback& loop, network& net, owner& source, std::uint16_t port)
        : self{base::router_name("r" + std::to_string(port)),
               base::zone_name("z"),
               {"10.0.0.1", port}},
          transport(loop.scheduler, net, self.address),
          direct{loop.scheduler, source},
          feed(loop.scheduler, direct, transport, self, quick()),
          server(loop.scheduler, transport),
          follower(loop.scheduler, feed, follow_table(), events()) {
        server.offer(table_name, follower.copy());
        server.start();
    }
    follower_events events() {
        return {[this](const std::vector<record>& rows) {
                    copy.clear();
                    for (const record& one : rows) {
                        copy[one.key] = one.value;
                    }
                },
                [this](const record& one) {
                    ++changes;
                    copy[one.key] = one.value;
                },
                [this](const confirmation& told) {
                    last = told;
                    server.news(table_name);
                }};
    }

    peer_address self;
    fake_transport transport;
    owner_feed direct;
    shared_feed<owner_feed> feed;
    table_server server;
    std::map<std::string, std::string> copy;
    int changes = 0;
    std::optional<confirmation> last;
    table_follower<shared_feed<owner_feed>> follower;
};

struct fleet {
    ferryroad::test::loopback loop;
    network net;
    owner source;
    std::vector<std::unique_ptr<router>> routers;

    explicit fleet(std::uint16_t size) {
        std::vector<peer_address> addresses;
        for (std::uint16_t port = 1; port <= size; ++port) {
            routers.push_back(std::make_unique<router>(loop, net, source, port));
            addresses.push_back(routers.back()->self);
        }
        for (const auto& one : routers) {
            one->feed.set_routers(addresses);
        }
    }
    void start() {
        source.put("a", "1");
        for (const auto& one : routers) {
            one->follower.start();
        }
    }
    bool run_until(std::function<bool()> condition) {
        loop.context.restart();
        return loop.run([&]() { return loop.until(condition); });
    }
    bool all_have(const std::string& key, const std::string& value) {
        for (const auto& one : routers) {
            if (one->copy[key] != value) {
                return false;
            }
        }
        return true;
    }
    router& reader() { return of_kind(true); }
    router& other() { return of_kind(false); }

  private:
    router& of_kind(bool reads) {
        for (const auto& one : routers) {
            if (one->feed.reads_owner() == reads) {
                return *one;
            }
        }
        cr_assert_fail("no such router");
        return *routers.front();
    }
};

const std::size_t max_relayed_bytes = table_server_settings().max_relayed_bytes;

/// @return text that packing does not shorten. It begins with 2, as rows with the same first
/// character count as equivalent in these tests.
std::string unpackable(std::size_t size) {
    base::seeded_random random(3);
    std::string text = "2";
    while (text.size() < size) {
        text.push_back(static_cast<char>(random.below(256)));
    }
    return text;
}

/// Runs until all routers have a copy and exactly two of them read the owner.
bool settle(fleet& all) {
    return all.run_until([&] {
        std::size_t readers = 0;
        bool everyone = true;
        for (const auto& one : all.routers) {
            readers += one->feed.reads_owner() ? 1 : 0;
            everyone = everyone && one->last.has_value();
        }
        return everyone && readers == 2;
    });
}

/// Reads changes twice. The owner does not hold the first call, as there is no copy yet.
runtime::task<void> ask_twice(router& one, bool& answered) {
    co_await one.feed.read_changes(table_name, 0, 5ms, 50ms);
    const auto batch = co_await one.feed.read_changes(table_name, 0, 5ms, 50ms);
    answered = batch.has_value();
}

}  // namespace

Test(shared_feed, a_change_reaches_all_routers_and_few_read_the_owner) {
    fleet all(6);
    all.start();
    cr_assert(settle(all));
    const int before = all.other().direct.calls;
    router& other = all.other();
    all.source.put("b", "2");
    cr_assert(all.run_until([&] { return all.all_have("b", "2"); }));
    cr_assert_eq(other.direct.calls, before);
}

Test(shared_feed, equivalent_rows_are_not_passed_on) {
    fleet all(4);
    all.start();
    cr_assert(settle(all));
    router& other = all.other();
    const int before = other.changes;
    const auto confirmed = other.last->as_of;
    all.source.put("a", "1 again");
    cr_assert(all.run_until([&] { return other.last->as_of > confirmed + 30ms; }));
    cr_assert_eq(other.changes, before);
}

Test(shared_feed, a_router_whose_source_ended_turns_to_another) {
    fleet all(5);
    all.start();
    cr_assert(settle(all));
    router& reader = all.reader();
    reader.follower.stop();
    all.net.handlers.erase(reader.self.address);
    all.source.put("b", "2");
    cr_assert(all.run_until([&] {
        for (const auto& one : all.routers) {
            if (one.get() != &reader && one->copy["b"] != "2") {
                return false;
            }
        }
        return true;
    }));
}

Test(shared_feed, a_router_that_the_owner_refuses_stays_current) {
    fleet all(5);
    all.start();
    cr_assert(settle(all));
    router& reader = all.reader();
    reader.direct.refuses_calls = true;
    all.source.put("b", "2");
    cr_assert(all.run_until([&] { return reader.copy["b"] == "2"; }));
    cr_assert(all.run_until([&] { return all.all_have("b", "2"); }));
}

Test(shared_feed, a_copy_is_never_considered_younger_than_its_source) {
    fleet all(4);
    all.start();
    cr_assert(settle(all));
    for (const auto& one : all.routers) {
        one->direct.refuses_calls = true;
    }
    const base::monotonic_time refusing_since = all.loop.scheduler.now();
    router& other = all.other();
    const std::uint64_t before = other.feed.peer_calls();
    cr_assert(all.run_until([&] { return other.feed.peer_calls() > before + 20; }));
    for (const auto& one : all.routers) {
        cr_assert(one->last->as_of <= refusing_since);
    }
}

Test(shared_feed, confirmations_from_the_future_are_not_trusted) {
    fleet all(4);
    all.start();
    cr_assert(settle(all));
    for (const auto& one : all.routers) {
        all.net.tampered[one->self.address] = [](peer::message_bytes bytes) {
            auto answer = peer::decode_table_answer(bytes);
            answer->confirmed_after = 1h;
            return peer::encode(*answer);
        };
    }
    router& other = all.other();
    const std::uint64_t before = other.feed.peer_calls();
    cr_assert(all.run_until([&] { return other.feed.peer_calls() > before + 5; }));
    cr_assert(other.last->as_of <= all.loop.scheduler.now());
}

Test(shared_feed, a_source_with_malformed_answers_is_replaced) {
    fleet all(4);
    all.start();
    cr_assert(settle(all));
    for (const auto& one : all.routers) {
        all.net.tampered[one->self.address] = [](const peer::message_bytes&) {
            return peer::message_bytes("nonsense");
        };
    }
    all.source.put("b", "2");
    cr_assert(all.run_until([&] { return all.all_have("b", "2"); }));
}

Test(shared_feed, a_stopping_router_redirects_its_readers) {
    fleet all(4);
    all.start();
    cr_assert(settle(all));
    router& reader = all.reader();
    reader.server.stop();
    reader.follower.stop();
    all.source.put("b", "2");
    cr_assert(all.run_until([&] {
        for (const auto& one : all.routers) {
            if (one.get() != &reader && one->copy["b"] != "2") {
                return false;
            }
        }
        return true;
    }));
}

Test(shared_feed, a_lost_answer_to_a_held_call_is_requested_again_at_once) {
    ferryroad::test::loopback loop;
    network net;
    owner source;
    source.put("a", "1");
    router alone(loop, net, source, 1);
    alone.direct.loses_held_answers = true;
    bool answered = false;
    cr_assert(loop.run([&] { return ask_twice(alone, answered); }));
    cr_assert(answered);
    cr_assert(alone.direct.waits == (std::vector<base::duration>{0ms, 5ms, 0ms}));
}

Test(shared_feed, changes_are_read_once_the_other_routers_are_known) {
    ferryroad::test::loopback loop;
    network net;
    owner source;
    source.put("a", "1");
    router one(loop, net, source, 1);
    router two(loop, net, source, 2);
    router late(loop, net, source, 3);
    const std::vector<peer_address> all{one.self, two.self, late.self};
    one.feed.set_routers({one.self});
    two.feed.set_routers({two.self});
    one.follower.start();
    two.follower.start();
    late.follower.start();
    cr_assert(loop.run([&] { return loop.until([&] { return late.last.has_value(); }); }));
    loop.context.restart();
    cr_assert(loop.run([&] { return loop.until([&] { return one.direct.calls > 6; }); }));
    // The whole table, without waiting for the list of routers.
    cr_assert_eq(late.direct.calls, 1);
    late.feed.set_routers(all);
    source.put("b", "2");
    loop.context.restart();
    cr_assert(loop.run([&] { return loop.until([&] { return late.copy["b"] == "2"; }); }));
}

Test(shared_feed, changes_come_from_the_owner_without_a_list_of_routers) {
    ferryroad::test::loopback loop;
    network net;
    owner source;
    source.put("a", "1");
    router alone(loop, net, source, 1);
    alone.follower.start();
    cr_assert(loop.run([&] { return loop.until([&] { return alone.copy["a"] == "1"; }); }));
    source.put("b", "2");
    loop.context.restart();
    cr_assert(loop.run([&] { return loop.until([&] { return alone.copy["b"] == "2"; }); }));
}

Test(shared_feed, large_changes_are_read_from_the_owner_and_not_passed_on) {
    fleet all(6);
    all.start();
    cr_assert(settle(all));
    std::size_t largest = 0;
    for (const auto& one : all.routers) {
        all.net.tampered[one->self.address] = [&largest](peer::message_bytes bytes) {
            largest = std::max(largest, bytes.size());
            return bytes;
        };
    }
    router& other = all.other();
    const int before = other.direct.calls;
    const std::string large = unpackable(max_relayed_bytes + 1);
    all.source.put("b", large);
    cr_assert(all.run_until([&] { return all.all_have("b", large); }));
    cr_assert_gt(other.direct.calls, before);
    cr_assert_lt(largest, max_relayed_bytes);
}

Test(shared_feed, large_changes_are_passed_on_to_a_router_that_the_owner_refuses) {
    fleet all(5);
    all.start();
    cr_assert(settle(all));
    router& other = all.other();
    other.direct.refuses_calls = true;
    const std::string large = unpackable(2 * max_relayed_bytes);
    all.source.put("b", large);
    cr_assert(all.run_until([&] { return all.all_have("b", large); }));
}

namespace {

/// Finds contacts as the routers' table would give them: the first `count` existing routers.
contact_search contacts_among(std::vector<std::unique_ptr<router>>& routers, std::size_t self,
                              std::size_t count) {
    return [&routers, self, count]() -> runtime::task<start_contacts> {
        start_contacts found;
        for (std::size_t index = 0; index < std::min(count, routers.size()); ++index) {
            if (index != self) {
                auto& list = index < self ? found.awaited : found.others;
                list.push_back(routers[index]->self);
            }
        }
        co_return found;
    };
}

/// @return how often routers that all start together read the whole table from the owner.
int whole_reads_of_a_joint_start(std::uint16_t size) {
    ferryroad::test::loopback loop;
    network net;
    owner source;
    std::vector<std::unique_ptr<router>> routers;
    for (std::uint16_t port = 1; port <= size; ++port) {
        routers.push_back(std::make_unique<router>(loop, net, source, port));
    }
    for (std::size_t index = 0; index < routers.size(); ++index) {
        routers[index]->feed.set_contact_search(contacts_among(routers, index, 4));
    }
    source.put("a", "1");
    int whole_reads = 0;
    for (const auto& one : routers) {
        one->follower.start();
    }
    const auto all_have_it = [&] {
        return std::all_of(routers.begin(), routers.end(),
                           [](const auto& one) { return one->last.has_value(); });
    };
    cr_assert(loop.run([&] { return loop.until(all_have_it); }));
    for (const auto& one : routers) {
        whole_reads += one->direct.whole_calls;
    }
    return whole_reads;
}

}  // namespace

Test(shared_feed, routers_that_start_together_share_one_first_copy) {
    const int few = whole_reads_of_a_joint_start(20);
    const int many = whole_reads_of_a_joint_start(60);
    cr_assert_leq(few, 2);
    cr_assert_leq(many, 2);
}
