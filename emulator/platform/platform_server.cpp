#include "emulator/platform/platform_server.hpp"

#include "emulator/platform/platform_answers.hpp"
#include "ferryroad/platform/json_codec.hpp"
#include "ferryroad/runtime/log.hpp"

#include <charconv>

namespace ferryroad::emulator {

namespace {

constexpr std::string_view log_component = "platform.server";
constexpr std::uint32_t default_scan_limit = 1000;
constexpr std::size_t object_limit_bytes = std::size_t{64} * 1024 * 1024;

/// @return the decoded rest of the path after `prefix`, or `nullopt` if the path has another
/// prefix.
std::optional<std::string> name_below(std::string_view path, std::string_view prefix) {
    if (!path.starts_with(prefix) || path.size() == prefix.size()) {
        return std::nullopt;
    }
    return http::decode_component(path.substr(prefix.size()));
}

std::uint32_t scan_limit(const http::request& message) {
    const std::string text = message.query("limit").value_or("");
    std::uint32_t limit = default_scan_limit;
    std::from_chars(text.data(), text.data() + text.size(), limit);
    return limit;
}

http::server_limits server_limits() {
    http::server_limits limits;
    limits.body_bytes = object_limit_bytes;
    return limits;
}

}  // namespace

platform_server::platform_server(runtime::scheduler& scheduler, platform_options options)
    : scheduler_(scheduler),
      model_(options),
      server_(scheduler, server_limits(),
              [this](http::request message, http::response_writer& writer) {
                  return handle(std::move(message), writer);
              }) {}

runtime::task<void> platform_server::handle(http::request message, http::response_writer& writer) {
    const std::string path(message.path());
    if (path.starts_with("/table/")) {
        co_await serve_table(std::move(message), writer);
        co_return;
    }
    http::response answer;
    if (path.starts_with("/emulator/")) {
        answer = serve_emulator(message);
    } else if (path.starts_with("/weights/")) {
        answer = co_await serve_weights(path);
    } else if (const auto name = name_below(path, "/objects/")) {
        auto refused = co_await admit(platform_service::objects);
        answer = refused ? std::move(*refused) : serve_object(message, *name);
    } else if (path == "/machines") {
        auto refused = co_await admit(platform_service::machines);
        answer = refused ? std::move(*refused) : serve_machines();
    } else {
        answer = not_found(path);
    }
    co_await writer.send(std::move(answer));
}

runtime::task<std::optional<http::response>> platform_server::admit(platform_service service) {
    const call_decision decision = model_.decide(service, scheduler_.now(), scheduler_.random());
    co_await scheduler_.sleep_for(decision.delay);
    if (decision.outcome != call_decision::verdict::admitted) {
        co_return refusal(decision);
    }
    co_return std::nullopt;
}

runtime::task<void> platform_server::serve_table(http::request message,
                                                 http::response_writer& writer) {
    auto refused = co_await admit(platform_service::table);
    http::response answer;
    if (refused) {
        answer = std::move(*refused);
    } else if (message.path() == "/table/transact") {
        const auto transactions = platform::decode_transactions(message.body);
        if (transactions) {
            const commit_result result = model_.transact(*transactions);
            if (result.answer_lost) {
                writer.abort();
                co_return;
            }
            answer = json_answer(platform::encode_outcomes(result.outcomes));
        } else {
            answer = bad_request(transactions.error());
        }
    } else if (message.path() == "/table/read") {
        const auto keys = platform::decode_keys(message.body);
        answer = keys ? json_answer(platform::encode_rows(model_.read(*keys)))
                      : bad_request(keys.error());
    } else if (message.path() == "/table/scan") {
        const platform::row_key after(message.query("after").value_or(""));
        const auto rows =
            model_.scan(message.query("prefix").value_or(""), after, scan_limit(message));
        answer = json_answer(platform::encode_rows(rows));
    } else {
        answer = not_found(message.path());
    }
    co_await writer.send(std::move(answer));
}

http::response platform_server::serve_object(const http::request& message,
                                             const std::string& name) {
    if (message.method == "PUT") {
        model_.put_object(name, message.body.to_string());
        return empty_answer();
    }
    if (message.method != "GET") {
        return wrong_method();
    }
    const std::string* bytes = model_.get_object(name);
    if (bytes == nullptr) {
        return not_found(name);
    }
    http::response answer;
    answer.headers.add("Content-Type", "application/octet-stream");
    answer.body = *bytes;
    return answer;
}

runtime::task<http::response> platform_server::serve_weights(std::string path) {
    const std::string rest = path.substr(std::string_view("/weights/").size());
    const auto slash = rest.rfind('/');
    if (slash == std::string::npos) {
        co_return not_found(path);
    }
    auto refused = co_await admit(platform_service::weights);
    if (refused) {
        co_return std::move(*refused);
    }
    const std::string model = http::decode_component(rest.substr(0, slash));
    const std::string version = http::decode_component(rest.substr(slash + 1));
    const weights_transfer transfer = model_.fetch_weights(model, version, scheduler_.now());
    co_await scheduler_.sleep_until(transfer.done_at);
    co_return weights_answer(transfer);
}

http::response platform_server::serve_machines() {
    return json_answer(platform::encode_machines(model_.machines(scheduler_.now())));
}

http::response platform_server::serve_emulator(const http::request& message) {
    if (const auto name = name_below(message.path(), "/emulator/machines/")) {
        return change_machine(message, *name);
    }
    if (message.path() != "/emulator/faults") {
        return not_found(message.path());
    }
    if (message.method != "POST") {
        return wrong_method();
    }
    const auto faults = decode_faults(message.body, model_.faults());
    if (!faults) {
        return bad_request(faults.error());
    }
    model_.set_faults(*faults);
    runtime::log(runtime::log_level::info, log_component, "faults set",
                 {{"faults", message.body.to_string()}});
    return empty_answer();
}

http::response platform_server::change_machine(const http::request& message,
                                               const std::string& name) {
    if (message.method == "DELETE") {
        model_.remove_machine(name, scheduler_.now());
        return empty_answer();
    }
    if (message.method != "PUT") {
        return wrong_method();
    }
    auto machine = platform::decode_machine(message.body);
    if (!machine) {
        return bad_request(machine.error());
    }
    machine->name = name;
    model_.put_machine(*machine, scheduler_.now());
    return empty_answer();
}

}  // namespace ferryroad::emulator
