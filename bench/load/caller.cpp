#include "bench/load/caller.hpp"

#include "bench/load/rendered_prompt.hpp"
#include "ferryroad/base/digest.hpp"
#include "ferryroad/base/hash.hpp"
#include "ferryroad/core/prefix/pieces.hpp"
#include "ferryroad/http/json.hpp"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>

#include <algorithm>
#include <utility>

namespace ferryroad::bench::load {

namespace {

constexpr const char* completions_path = "/v1/completions";
constexpr std::string_view model_prefix = "/v1/";
constexpr unsigned first_error_status = 400;

http::client_limits fresh_limits() {
    http::client_limits limits;
    limits.idle_connections_per_address = 0;
    return limits;
}

std::optional<core::execution::execution_report> parse_execution(std::string_view text) {
    using core::execution::execution_report;
    for (const auto report :
         {execution_report::complete, execution_report::not_run, execution_report::unknown}) {
        if (text == core::execution::to_string(report)) {
            return report;
        }
    }
    return std::nullopt;
}

std::string generation_body(const workload::workload_request& request, const std::string& path,
                            const std::string& model) {
    boost::json::object body{
        {"model", model}, {"max_tokens", request.max_tokens}, {"stream", request.stream}};
    if (is_chat_path(path)) {
        const boost::json::object message{{"role", "user"}, {"content", *request.prompt}};
        body["messages"] = boost::json::array{message};
    } else {
        body["prompt"] = *request.prompt;
    }
    return http::to_text(body);
}

bool is_generation(const workload::workload_request& request) {
    return request.type == workload::request_type::generation;
}

std::string error_name(http::error_code code) {
    switch (code) {
        case http::error_code::connect_failed:
            return "connect_failed";
        case http::error_code::withheld:
            return "withheld";
        case http::error_code::connection_lost:
            return "connection_lost";
        case http::error_code::timed_out:
            return "timed_out";
        case http::error_code::malformed:
            return "malformed";
        case http::error_code::too_large:
            break;
    }
    return "too_large";
}

void take_headers(const http::response_stream& stream, call_record& record) {
    record.status = stream.status();
    const http::header_list& headers = stream.headers();
    record.request.value = std::string(headers.find("Ferryroad-Request-Id").value_or(""));
    record.execution = parse_execution(headers.find("Ferryroad-Execution").value_or(""));
    record.retry_after = headers.find("Retry-After").has_value();
}

void take_failure(const stated_error& failure, call_outcome outcome, call_record& record) {
    record.outcome = outcome;
    record.error_code = failure.code;
    if (const auto stated = parse_execution(failure.execution)) {
        record.execution = stated;
    }
}

void take_cut(const http::error& failure, call_record& record) {
    record.outcome = call_outcome::cut;
    record.error_code = error_name(failure.code);
}

void mark_malformed(call_record& record) {
    record.outcome = call_outcome::complete;
    record.answer = answer_state::wrong;
    record.error_code = "malformed";
}

/// A complete answer must be whole: `length` means all tokens that were asked for.
void judge_generation(const answer_check& check, const std::optional<std::string>& reason,
                      call_record& record) {
    record.tokens = check.tokens();
    if (!check.right_so_far()) {
        record.answer = answer_state::wrong;
        return;
    }
    if (record.outcome != call_outcome::complete) {
        const bool nothing = check.tokens() == 0 && check.at_token_end();
        record.answer = nothing ? answer_state::none : answer_state::prefix;
        return;
    }
    const bool all = reason == "length" ? check.tokens() == record.max_tokens
                                        : check.tokens() <= record.max_tokens;
    const bool whole = check.at_token_end() && reason.has_value() && all;
    record.answer = whole ? answer_state::exact : answer_state::wrong;
}

/// An application's answer echoes the body: a write's own record must stand in it.
answer_state judge_application(const workload::workload_request& request, const std::string& body) {
    if (!http::parse_json(body)) {
        return answer_state::wrong;
    }
    const bool echoed = !request.key || body.find(request.key->value) != std::string::npos;
    return echoed ? answer_state::exact : answer_state::wrong;
}

}  // namespace

caller::caller(runtime::scheduler& scheduler, const endpoints& system, caller_options options)
    : scheduler_(scheduler),
      system_(system),
      options_(std::move(options)),
      start_(scheduler.now()),
      pooled_(scheduler, http::client_limits{}),
      fresh_(scheduler, fresh_limits()) {}

double caller::now() const {
    return base::to_seconds(scheduler_.now() - start_);
}

const tenant_entry& caller::tenant_of(const workload::workload_request& request) const {
    const auto named = std::find_if(
        system_.tenants.begin(), system_.tenants.end(),
        [&request](const tenant_entry& entry) { return entry.name == request.tenant; });
    if (named != system_.tenants.end()) {
        return *named;
    }
    // A workload of more tenants than the system knows: each stands in for some.
    const std::uint64_t place = base::hash_bytes(request.tenant.value) % system_.tenants.size();
    return system_.tenants[place];
}

std::string caller::path_of(const workload::workload_request& request) const {
    if (request.path) {
        return *request.path;
    }
    if (is_generation(request)) {
        return completions_path;
    }
    const bool repeatable = request.type == workload::request_type::application_read;
    for (const route_entry& route : system_.routes) {
        if (route.repeatable == repeatable && !route.path.starts_with(model_prefix)) {
            return route.path;
        }
    }
    return "/";
}

call_record caller::begin_record(const workload::workload_request& request) const {
    call_record record;
    record.number = request.number;
    record.run = options_.run;
    record.kind = request.kind;
    record.type = request.type;
    record.stream = request.stream;
    record.tenant = tenant_of(request).name;
    record.key = request.key;
    record.max_tokens = request.max_tokens;
    if (request.prompt) {
        const std::string prompt = rendered_prompt(request);
        record.prompt_sha256 = base::sha256_hex(prompt);
        record.pieces = core::prefix::hash_pieces({}, prompt, options_.piece_bytes);
    }
    record.sent_at = now();
    return record;
}

http::request caller::make_message(const workload::workload_request& request) const {
    http::request message;
    message.target = path_of(request);
    message.headers.add("Authorization", "Bearer " + tenant_of(request).key);
    if (request.key) {
        message.headers.add("Idempotency-Key", request.key->value);
    }
    if (request.type == workload::request_type::application_read) {
        message.method = "GET";
        message.target += "?number=" + std::to_string(request.number);
        return message;
    }
    message.method = "POST";
    message.headers.add("Content-Type", "application/json");
    if (is_generation(request)) {
        std::string model = request.model.value;
        if (model.empty() && !system_.models.empty()) {
            model = system_.models.front().value;
        }
        message.body = generation_body(request, message.target, model);
    } else {
        message.body = request.body;
    }
    return message;
}

runtime::task<caller::opened> caller::open(const workload::workload_request& request,
                                           call_record& record) {
    const bool keep =
        !options_.fresh_connections && request.type != workload::request_type::application_write;
    http::client& client = keep ? pooled_ : fresh_;
    const http::resend again = keep ? http::resend::allowed : http::resend::forbidden;
    const http::request message = make_message(request);
    opened answer = http::error{http::error_code::connect_failed, "no router"};
    for (std::size_t turn = 0; turn < system_.routers.size(); ++turn) {
        record.router = system_.routers[(request.number + turn) % system_.routers.size()];
        http::request copy = message;
        answer = co_await client.open(record.router, std::move(copy), options_.limit, again);
        if (answer || answer.error().code != http::error_code::connect_failed) {
            break;
        }
    }
    co_return answer;
}

runtime::task<call_record> caller::call(workload::workload_request request) {
    call_record record = begin_record(request);
    opened answer = co_await open(request, record);
    if (!answer) {
        take_cut(answer.error(), record);
        if (answer.error().code == http::error_code::connect_failed) {
            record.outcome = call_outcome::unreachable;
        }
        record.ended_at = now();
        co_return record;
    }
    http::response_stream& stream = **answer;
    take_headers(stream, record);
    const bool streams = is_generation(request) && request.stream;
    if (streams && record.status < first_error_status) {
        std::string prompt = rendered_prompt(request);
        co_await read_stream(stream, record, std::move(prompt));
    } else {
        co_await read_body(stream, record, std::move(request));
    }
    record.ended_at = now();
    co_return record;
}

void caller::accept_part(const answer_part& part, answer_check& check, call_record& record) const {
    if (part.text.empty()) {
        return;
    }
    const double arrived = now();
    if (record.first_token_at == 0) {
        record.first_token_at = arrived;
    } else {
        record.token_gaps.push_back(arrived - record.ended_at);
    }
    record.ended_at = arrived;
    check.accept(part.text);
}

runtime::task<void> caller::read_stream(http::response_stream& stream, call_record& record,
                                        std::string prompt) {
    answer_check check(prompt);
    std::optional<std::string> reason;
    // Until the proper mark of the end, a stream is cut.
    take_cut({http::error_code::connection_lost, {}}, record);
    while (true) {
        auto line = co_await stream.next_line(options_.limit);
        if (!line) {
            if (record.outcome == call_outcome::cut) {
                take_cut(line.error(), record);
            }
            break;
        }
        if (!line->has_value()) {
            break;
        }
        const auto part = parse_stream_line(**line);
        if (!part) {
            mark_malformed(record);
            co_return;
        }
        if (!part->has_value()) {
            continue;
        }
        accept_part(**part, check, record);
        if (const auto stated = parse_execution((*part)->execution)) {
            record.execution = stated;
        }
        if ((*part)->finish_reason) {
            reason = (*part)->finish_reason;
        }
        if ((*part)->failure) {
            take_failure(*(*part)->failure, call_outcome::failed, record);
        }
        if ((*part)->done) {
            record.outcome = call_outcome::complete;
            record.error_code.clear();
        }
    }
    judge_generation(check, reason, record);
}

runtime::task<void> caller::read_body(http::response_stream& stream, call_record& record,
                                      workload::workload_request request) {
    const auto body = co_await stream.read_rest(options_.limit);
    if (!body) {
        take_cut(body.error(), record);
        co_return;
    }
    if (record.status >= first_error_status) {
        const auto refused = parse_whole_answer(*body);
        const bool stated = refused && refused->failure;
        take_failure(stated ? *refused->failure
                            : stated_error{"status_" + std::to_string(record.status), {}, {}},
                     call_outcome::refused, record);
        co_return;
    }
    record.outcome = call_outcome::complete;
    if (!is_generation(request)) {
        record.answer = judge_application(request, *body);
        co_return;
    }
    const auto part = parse_whole_answer(*body);
    if (!part) {
        mark_malformed(record);
        co_return;
    }
    answer_check check(rendered_prompt(request));
    check.accept(part->text);
    judge_generation(check, part->finish_reason, record);
}

}  // namespace ferryroad::bench::load
