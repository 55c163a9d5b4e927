/// Streams of server-sent events that complete, are refused, fail part-way or are abandoned by the
/// caller; and the health, readiness and metrics paths.
#include "test/caller/front_fixture.hpp"

#include <criterion/criterion.h>

using namespace ferryroad;
using test::authorized;
using test::completion_text;
using test::request_text;

namespace {

/// @return the data of each event, in order, without the chunk sizes of the transfer encoding.
std::vector<std::string> events_of(const std::string& answer) {
    std::vector<std::string> events;
    std::size_t at = answer.find("data: ");
    while (at != std::string::npos) {
        const std::size_t begin = at + 6;
        const std::size_t end = answer.find("\n\n", begin);
        if (end == std::string::npos) {
            break;
        }
        events.push_back(answer.substr(begin, end - begin));
        at = answer.find("data: ", end);
    }
    return events;
}

bool is_properly_ended(const std::string& answer) {
    return answer.ends_with("\r\n0\r\n\r\n");
}

std::string text_of(const std::vector<std::string>& events, bool chat) {
    std::string text;
    for (const std::string& event : events) {
        const auto parsed = http::parse_json(event);
        if (!parsed.has_value() || !parsed->as_object().contains("choices")) {
            continue;
        }
        const auto& choice = parsed->at("choices").at(0).as_object();
        if (!chat) {
            text += choice.at("text").as_string().c_str();
        } else if (choice.at("delta").as_object().contains("content")) {
            text += choice.at("delta").at("content").as_string().c_str();
        }
    }
    return text;
}

void expect_whole(const std::string& answer, bool chat) {
    const auto events = events_of(answer);
    cr_assert(answer.find("Content-Type: text/event-stream\r\n") != std::string::npos);
    cr_assert_eq(events.size(), 7U, "%s", answer.c_str());
    cr_assert(text_of(events, chat) == "t0 t1 t2 t3 t4 ");
    const auto last = http::parse_json(events[5]);
    cr_assert(last->at("choices").at(0).at("finish_reason").as_string() == "length");
    cr_assert(last->at("ferryroad").at("execution").as_string() == "complete");
    cr_assert_eq(last->at("usage").at("completion_tokens").as_int64(), 5);
    cr_assert_eq(last->at("usage").at("prompt_tokens").as_int64(), chat ? 13 : 8);
    cr_assert_eq(last->at("usage").at("prompt_tokens_details").at("cached_tokens").as_int64(), 4);
    cr_assert_str_eq(events[6].c_str(), "[DONE]");
    cr_assert(is_properly_ended(answer));
}

/// Reads two tokens of a stream, closes the connection, and waits until the router has ended the
/// request.
runtime::task<void> leave_after_two_tokens(test::caller_fixture& fixture) {
    const std::string request = completion_text(R"(,"stream":true)");
    const std::string second_token = "t1 ";
    const std::function<bool()> is_over = [&fixture] {
        return !fixture.router.engines.cancelled.empty() && fixture.server.active_requests() == 0;
    };
    test::raw_socket socket(fixture.loop.context);
    socket.connect(fixture.address);
    co_await socket.write(request);
    co_await socket.read_until(second_token);
    socket.close();
    co_await fixture.loop.until(is_over);
}

}  // namespace

Test(caller_stream, completion_is_whole) {
    test::caller_fixture fixture;
    expect_whole(fixture.exchange(completion_text(R"(,"stream":true)")), false);
}

Test(caller_stream, chat_is_whole) {
    test::caller_fixture fixture;
    // The prompt is <|user|>\nhow are you now?\n<|assistant|>\n with 52 bytes.
    expect_whole(
        fixture.exchange(request_text(
            "POST /v1/chat/completions", authorized,
            R"({"model":"m1","stream":true,"messages":[{"role":"user","content":)"
            R"([{"type":"text","text":"how are "},{"type":"text","text":"you now, my dear?"}]}]})")),
        true);
}

Test(caller_stream, a_resumed_stream_is_whole) {
    test::caller_fixture fixture;
    fixture.router.engines.scripts.push_back({{}, 3, {}});
    expect_whole(fixture.exchange(completion_text(R"(,"stream":true)")), false);
    const std::string counted = fixture.registry.to_text();
    cr_assert(counted.find("ferryroad_resumes_total 1") != std::string::npos);
    cr_assert(counted.find("execution=\"complete\",route=\"generate\"} 1") != std::string::npos,
              "%s", counted.c_str());
}

Test(caller_stream, a_refusal_before_any_token_has_its_status) {
    test::caller_fixture fixture;
    fixture.router.directory.engines.clear();
    const std::string answer = fixture.exchange(completion_text(R"(,"stream":true)"));
    cr_assert(answer.starts_with("HTTP/1.1 503"));
    cr_assert(answer.find("Ferryroad-Execution: not-run\r\n") != std::string::npos);
}

Test(caller_stream, a_broken_stream_ends_with_an_error) {
    test::caller_fixture fixture;
    fixture.router.directory.engines = {base::engine_name("e1")};
    fixture.router.engines.scripts.push_back({{}, 2, {}, engine::error_code::failed});
    const std::string answer = fixture.exchange(completion_text(R"(,"stream":true)"));
    const auto events = events_of(answer);
    cr_assert_eq(events.size(), 3U, "%s", answer.c_str());
    const auto last = http::parse_json(events[2]);
    cr_assert(last->at("error").at("code").as_string() == "engine_failed");
    cr_assert(last->at("error").at("execution").as_string() == "unknown");
    cr_assert(last->at("ferryroad").at("execution").as_string() == "unknown");
    cr_assert(answer.find("[DONE]") == std::string::npos);
    cr_assert_not(is_properly_ended(answer), "the body is left broken");
}

Test(caller_stream, a_caller_gone_cancels_the_engines_attempt) {
    test::caller_fixture fixture;
    fixture.router.engines.scripts.push_back({{}, {}, 2});
    auto& cancelled = fixture.router.engines.cancelled;
    cr_assert(fixture.loop.run([&] { return leave_after_two_tokens(fixture); }));
    cr_assert(cancelled.front() == fixture.router.engines.calls.front().attempt);
    const std::string counted = fixture.registry.to_text();
    cr_assert(counted.find("outcome=\"abandoned\"} 1") != std::string::npos, "%s", counted.c_str());
}

Test(caller_stream, whole_answer_carries_usage) {
    test::caller_fixture fixture;
    const std::string answer = fixture.exchange(completion_text(R"(,"max_tokens":2)"));
    const auto body = http::parse_json(answer.substr(answer.find("\r\n\r\n") + 4));
    cr_assert(body->at("choices").at(0).at("text").as_string() == "t0 t1 ");
    cr_assert_eq(body->at("usage").at("total_tokens").as_int64(), 10);
    cr_assert(body->at("object").as_string() == "text_completion");
}

Test(caller_probes, health_readiness_and_metrics) {
    test::caller_fixture fixture;
    const auto get = [&](const std::string& path) {
        return fixture.exchange(request_text("GET " + path, "", ""));
    };
    cr_assert(get("/healthz").starts_with("HTTP/1.1 200"));
    cr_assert(get("/readyz").starts_with("HTTP/1.1 200"));
    fixture.ready = false;
    cr_assert(get("/readyz").starts_with("HTTP/1.1 503"));
    cr_assert(get("/healthz").starts_with("HTTP/1.1 200"));
    fixture.exchange(completion_text(""));
    const std::string counted = get("/metrics");
    const std::string row = "ferryroad_requests_total{api=\"completions\",outcome=\"complete\"} 1";
    cr_assert(counted.find(row) != std::string::npos, "%s", counted.c_str());
    cr_assert(counted.find("ferryroad_first_token_seconds_count 1") != std::string::npos);
}
