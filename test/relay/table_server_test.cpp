/// Held calls learn of a large change at once and are referred to the owner. If the change were
/// passed down the reading tree, each router would learn of it only after its parent has read all
/// of it.
#include "ferryroad/relay/table_server.hpp"

#include "ferryroad/base/random.hpp"
#include "ferryroad/relay/tunables.hpp"
#include "test/http/loopback.hpp"

#include <optional>
#include <string>

using namespace ferryroad;
using namespace ferryroad::relay;
using namespace std::chrono_literals;
using coordination::reading::table_mirror;

namespace {

const std::string table_name = "t";
constexpr std::uint64_t known_version = 5;

/// Passes a test's calls directly to the server.
class direct_transport final : public peer::transport {
  public:
    void on_datagram(datagram_handler) override {}
    void on_call(call_handler handler) override { m_handler = std::move(handler); }
    void send(const base::endpoint&, peer::message_bytes) override {}
    runtime::task<peer::result<peer::message_bytes>> call(const base::endpoint&,
                                                          peer::message_bytes request,
                                                          base::duration) override {
        co_return co_await m_handler(std::move(request));
    }
    const peer::transport_counters& counters() const override { return m_counters; }

  private:
    call_handler m_handler;
    peer::transport_counters m_counters;
};

struct fixture {
    enum class start { with_copy, without_copy };

    explicit fixture(start as = start::with_copy) {
        if (as == start::with_copy) {
            provide_copy();
        }
        server.offer(table_name, copy);
        server.start();
    }

    /// Provides the copy after 10 ms.
    runtime::task<void> provide_copy_later() {
        co_await loop.scheduler.sleep_for(10ms);
        provide_copy();
        server.news(table_name);
    }
    /// @param after the version that the caller knows.
    /// @return the answer, or nothing where the call is still held.
    std::optional<peer::table_answer> ask(std::uint64_t after, bool may_redirect) {
        loop.context.restart();
        cr_assert(loop.run([&] { return store_answer(after, may_redirect); }));
        return answer;
    }
    /// Asks as a caller that accepts packed rows.
    /// @param after the version that the caller knows.
    std::optional<peer::table_answer> ask_packed(std::uint64_t after) {
        peer::table_request request{base::router_name("r"), table_name, after, false, 100ms, true};
        request.may_pack = true;
        loop.context.restart();
        cr_assert(loop.run([&] { return store_answer_to(request); }));
        return answer;
    }
    /// Asks for the whole table.
    /// @param hold how long the call may be held.
    std::optional<peer::table_answer> ask_whole(base::duration hold) {
        peer::table_request request{base::router_name("r"), table_name, 0, true};
        request.hold = std::chrono::duration_cast<std::chrono::milliseconds>(hold);
        request.may_pack = true;
        loop.context.restart();
        cr_assert(loop.run([&] { return store_answer_to(request); }));
        return answer;
    }
    /// Asks; the server learns of a large change at the owner while the call is held.
    /// @param after the version that the caller knows.
    std::optional<peer::table_answer> ask_before_large_change(std::uint64_t after) {
        loop.scheduler.spawn("news", announce_large_change());
        return ask(after, true);
    }

    ferryroad::test::loopback loop;
    direct_transport transport;
    table_mirror copy;
    table_server server{loop.scheduler, transport};
    std::optional<peer::table_answer> answer;

  private:
    void provide_copy() {
        copy.change({"a", "1", known_version, false});
        copy.confirm({known_version, loop.scheduler.now(), 0ms});
    }
    runtime::task<void> store_answer(std::uint64_t after, bool may_redirect) {
        return store_answer_to(
            {base::router_name("r"), table_name, after, false, 100ms, may_redirect});
    }
    runtime::task<void> store_answer_to(peer::table_request request) {
        peer::message_bytes bytes = peer::encode(request);
        const base::endpoint server_address;
        const auto received = co_await transport.call(server_address, std::move(bytes), 1s);
        const auto decoded = peer::decode_table_answer(*received);
        cr_assert(decoded.has_value());
        answer = *decoded;
    }
    runtime::task<void> announce_large_change() {
        co_await loop.scheduler.sleep_for(10ms);
        server.notify_large_change(table_name);
    }
};

}  // namespace

Test(table_server, a_held_call_is_redirected_on_a_large_change) {
    fixture at;
    cr_assert(at.ask_before_large_change(known_version)->at_owner);
}

Test(table_server, a_caller_that_knows_more_is_not_redirected) {
    fixture at;
    cr_assert_not(at.ask_before_large_change(known_version + 1)->at_owner);
}

Test(table_server, calls_are_redirected_until_the_copy_has_the_large_change) {
    fixture at;
    at.server.notify_large_change(table_name);
    cr_assert(at.ask(known_version, true)->at_owner);
    at.copy.confirm({known_version + 1, at.loop.scheduler.now(), 0ms});
    at.server.news(table_name);
    cr_assert_not(at.ask(known_version + 1, true)->at_owner);
}

Test(table_server, large_rows_are_redirected_unless_the_caller_forbids_it) {
    fixture at;
    const std::string large(table_server_settings().max_relayed_bytes, 'x');
    at.copy.change({"b", large, known_version + 1, false});
    at.copy.confirm({known_version + 1, at.loop.scheduler.now(), 0ms});
    const auto redirected = at.ask(known_version, true);
    cr_assert(redirected->at_owner);
    cr_assert(redirected->rows.empty());
    const auto received = at.ask(known_version, false);
    cr_assert_not(received->at_owner);
    cr_assert_eq(received->rows.size(), 1);
}

Test(table_server, changed_rows_that_are_small_once_packed_are_passed_on) {
    fixture at;
    const std::string large(10 * table_server_settings().max_relayed_bytes, 'x');
    at.copy.change({"b", large, known_version + 1, false});
    at.copy.confirm({known_version + 1, at.loop.scheduler.now(), 0ms});
    const auto received = at.ask_packed(known_version);
    cr_assert_not(received->at_owner);
    cr_assert_eq(received->rows.size(), 1);
    cr_assert(received->rows.front().value == large);
}

Test(table_server, changed_rows_that_are_large_once_packed_are_redirected) {
    fixture at;
    base::seeded_random random(5);
    std::string large;
    while (large.size() < 2 * table_server_settings().max_relayed_bytes) {
        large.push_back(static_cast<char>(random.below(256)));
    }
    at.copy.change({"b", large, known_version + 1, false});
    at.copy.confirm({known_version + 1, at.loop.scheduler.now(), 0ms});
    cr_assert(at.ask_packed(known_version)->at_owner);
}

Test(table_server, a_whole_copy_is_given_whatever_its_size) {
    fixture at;
    const std::string large(10 * table_server_settings().max_relayed_bytes, 'x');
    at.copy.change({"b", large, known_version + 1, false});
    at.copy.confirm({known_version + 1, at.loop.scheduler.now(), 0ms});
    const auto received = at.ask_whole(0ms);
    cr_assert(received->whole);
    cr_assert_eq(received->rows.size(), 2);
    at.copy.change({"c", "new", known_version + 2, false});
    at.copy.confirm({known_version + 2, at.loop.scheduler.now(), 0ms});
    cr_assert_eq(at.ask_whole(0ms)->rows.size(), 3,
                 "the answer must not reuse rows packed for an older copy");
}

Test(table_server, a_starting_router_may_wait_for_another_starting_router) {
    fixture at(fixture::start::without_copy);
    at.loop.scheduler.spawn("first copy", at.provide_copy_later());
    const auto received = at.ask_whole(1s);
    cr_assert(received->known);
    cr_assert_eq(received->rows.size(), 1);
}

Test(table_server, a_starting_router_that_may_not_wait_is_answered_at_once) {
    fixture at(fixture::start::without_copy);
    cr_assert_not(at.ask_whole(0ms)->known);
}

Test(table_server, the_relay_limit_is_proportional_to_the_link) {
    const auto narrow = static_cast<double>(relayed_bytes_for(10));
    cr_assert_float_eq(static_cast<double>(relayed_bytes_for(20)), 2 * narrow, 2);
    cr_assert_eq(relayed_bytes_for(0), relayed_bytes_for(10));
    // Over such a link, 16 times the limit takes as long as the margin of a call beyond its hold.
    const double seconds = 16 * narrow * 8 / 10e6;
    cr_assert_float_eq(seconds, 0.3, 0.01);
}
