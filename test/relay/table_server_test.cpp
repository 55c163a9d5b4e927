/// Routers that wait for news of a table are told of large news at once, and to read them from the
/// owner: one behind another, each would be told only once the one above has it all.
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

/// Hands a test's calls to the server.
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
            take_copy();
        }
        server.offer(table_name, copy);
        server.start();
    }

    /// The copy comes a little later.
    runtime::task<void> take_first_copy() {
        co_await loop.scheduler.sleep_for(10ms);
        take_copy();
        server.news(table_name);
    }
    /// @param after what the asker knows. @return the answer, or nothing where it is still held.
    std::optional<peer::table_answer> ask(std::uint64_t after, bool may_redirect) {
        loop.context.restart();
        cr_assert(loop.run([&] { return keep_answer(after, may_redirect); }));
        return answer;
    }
    /// Asks, and lets the server tell of large news while the call is held.
    /// @param after what the asker knows; it reads packed rows.
    std::optional<peer::table_answer> ask_packed(std::uint64_t after) {
        peer::table_request request{base::router_name("r"), table_name, after, false, 100ms, true};
        request.may_pack = true;
        loop.context.restart();
        cr_assert(loop.run([&] { return keep_answer_to(request); }));
        return answer;
    }
    /// Asks for the whole table. @param hold how long the answer may wait.
    std::optional<peer::table_answer> ask_whole(base::duration hold) {
        peer::table_request request{base::router_name("r"), table_name, 0, true};
        request.hold = std::chrono::duration_cast<std::chrono::milliseconds>(hold);
        request.may_pack = true;
        loop.context.restart();
        cr_assert(loop.run([&] { return keep_answer_to(request); }));
        return answer;
    }
    std::optional<peer::table_answer> ask_before_large_news(std::uint64_t after) {
        loop.scheduler.spawn("news", tell_large_news());
        return ask(after, true);
    }

    ferryroad::test::loopback loop;
    direct_transport transport;
    table_mirror copy;
    table_server server{loop.scheduler, transport};
    std::optional<peer::table_answer> answer;

  private:
    void take_copy() {
        copy.change({"a", "1", known_version, false});
        copy.confirm({known_version, loop.scheduler.now(), 0ms});
    }
    runtime::task<void> keep_answer(std::uint64_t after, bool may_redirect) {
        return keep_answer_to(
            {base::router_name("r"), table_name, after, false, 100ms, may_redirect});
    }
    runtime::task<void> keep_answer_to(peer::table_request request) {
        peer::message_bytes bytes = peer::encode(request);
        const base::endpoint server_address;
        const auto told = co_await transport.call(server_address, std::move(bytes), 1s);
        const auto decoded = peer::decode_table_answer(*told);
        cr_assert(decoded.has_value());
        answer = *decoded;
    }
    runtime::task<void> tell_large_news() {
        co_await loop.scheduler.sleep_for(10ms);
        server.large_news_at_owner(table_name);
    }
};

}  // namespace

Test(table_server, a_call_that_waits_is_told_of_large_news) {
    fixture at;
    cr_assert(at.ask_before_large_news(known_version)->at_owner);
}

Test(table_server, whoever_knows_more_is_not_told) {
    fixture at;
    cr_assert_not(at.ask_before_large_news(known_version + 1)->at_owner);
}

Test(table_server, large_news_are_told_until_the_copy_has_them) {
    fixture at;
    at.server.large_news_at_owner(table_name);
    cr_assert(at.ask(known_version, true)->at_owner);
    at.copy.confirm({known_version + 1, at.loop.scheduler.now(), 0ms});
    at.server.news(table_name);
    cr_assert_not(at.ask(known_version + 1, true)->at_owner);
}

Test(table_server, large_rows_are_left_to_the_owner_unless_the_asker_needs_them) {
    fixture at;
    const std::string large(table_server_settings().relayed_bytes, 'x');
    at.copy.change({"b", large, known_version + 1, false});
    at.copy.confirm({known_version + 1, at.loop.scheduler.now(), 0ms});
    const auto redirected = at.ask(known_version, true);
    cr_assert(redirected->at_owner);
    cr_assert(redirected->rows.empty());
    const auto told = at.ask(known_version, false);
    cr_assert_not(told->at_owner);
    cr_assert_eq(told->rows.size(), 1);
}

Test(table_server, changed_rows_that_pack_well_are_passed_on) {
    fixture at;
    const std::string large(10 * table_server_settings().relayed_bytes, 'x');
    at.copy.change({"b", large, known_version + 1, false});
    at.copy.confirm({known_version + 1, at.loop.scheduler.now(), 0ms});
    const auto told = at.ask_packed(known_version);
    cr_assert_not(told->at_owner);
    cr_assert_eq(told->rows.size(), 1);
    cr_assert(told->rows.front().value == large);
}

Test(table_server, changed_rows_that_stay_large_once_packed_are_left_to_the_owner) {
    fixture at;
    base::seeded_random random(5);
    std::string large;
    while (large.size() < 2 * table_server_settings().relayed_bytes) {
        large.push_back(static_cast<char>(random.below(256)));
    }
    at.copy.change({"b", large, known_version + 1, false});
    at.copy.confirm({known_version + 1, at.loop.scheduler.now(), 0ms});
    cr_assert(at.ask_packed(known_version)->at_owner);
}

Test(table_server, a_whole_copy_is_given_whatever_its_size) {
    fixture at;
    const std::string large(10 * table_server_settings().relayed_bytes, 'x');
    at.copy.change({"b", large, known_version + 1, false});
    at.copy.confirm({known_version + 1, at.loop.scheduler.now(), 0ms});
    const auto told = at.ask_whole(0ms);
    cr_assert(told->whole);
    cr_assert_eq(told->rows.size(), 2);
    at.copy.change({"c", "new", known_version + 2, false});
    at.copy.confirm({known_version + 2, at.loop.scheduler.now(), 0ms});
    cr_assert_eq(at.ask_whole(0ms)->rows.size(), 3, "not what was packed before");
}

Test(table_server, whoever_starts_may_wait_for_a_router_that_starts) {
    fixture at(fixture::start::without_copy);
    at.loop.scheduler.spawn("first copy", at.take_first_copy());
    const auto told = at.ask_whole(1s);
    cr_assert(told->known);
    cr_assert_eq(told->rows.size(), 1);
}

Test(table_server, whoever_starts_and_may_not_wait_is_answered_at_once) {
    fixture at(fixture::start::without_copy);
    cr_assert_not(at.ask_whole(0ms)->known);
}

Test(table_server, what_is_passed_on_follows_the_link) {
    const auto narrow = static_cast<double>(relayed_bytes_for(10));
    cr_assert_float_eq(static_cast<double>(relayed_bytes_for(20)), 2 * narrow, 2);
    cr_assert_eq(relayed_bytes_for(0), relayed_bytes_for(10));
    // Sixteen times as much over such a link takes what a call has beyond its hold.
    const double seconds = 16 * narrow * 8 / 10e6;
    cr_assert_float_eq(seconds, 0.3, 0.01);
}
