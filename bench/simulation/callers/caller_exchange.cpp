#include "bench/simulation/callers/caller_exchange.hpp"

#include "ferryroad/caller/refusal_answer.hpp"

#include <utility>

namespace ferryroad::bench::simulation {

namespace {

constexpr unsigned status_ok = 200;

using load::answer_state;
using load::call_outcome;

}  // namespace

caller_exchange::caller_exchange(network& carrier, const exchange_ends& ends,
                                 const workload::workload_request& request,
                                 load::call_record record, finished done)
    : carrier_(carrier),
      forth_(channel::open(carrier, ends.caller, ends.router)),
      back_(channel::open(carrier, ends.router, ends.caller)),
      request_(request),
      record_(std::move(record)),
      done_(std::move(done)) {
    record_.router = ends.router;
    if (request_.prompt) {
        check_.emplace(*request_.prompt);
    }
}

double caller_exchange::now() const {
    return base::to_seconds(carrier_.time().now().time_since_epoch());
}

void caller_exchange::limit_to(base::duration limit) {
    carrier_.time().after(limit, [self = shared_from_this()] { self->hang_up("timed_out"); });
}

void caller_exchange::name_request(const base::request_id& request) {
    send_back([request](caller_exchange& self) { self.record_.request = request; });
}

void caller_exchange::send_back(std::function<void(caller_exchange&)> effect) {
    if (closed_) {
        return;
    }
    back_->send([self = shared_from_this(), effect = std::move(effect)] {
        if (!self->finished_) {
            effect(*self);
        }
    });
}

void caller_exchange::send_token(const std::string& text) {
    if (request_.stream) {
        send_back([text](caller_exchange& self) { self.take_text(text); });
    } else {
        held_text_ += text;
    }
}

void caller_exchange::send_end(const router::generation_summary& summary) {
    send_back([summary, text = std::move(held_text_)](caller_exchange& self) {
        if (!text.empty()) {
            self.take_text(text);
        }
        self.take_end(summary);
    });
    closed_ = true;
}

void caller_exchange::send_reply(const router::application_reply& reply) {
    send_back([reply](caller_exchange& self) { self.take_reply(reply); });
    closed_ = true;
}

void caller_exchange::send_refusal(const router::refusal& refused) {
    send_back([refused](caller_exchange& self) { self.take_refusal(refused); });
    closed_ = true;
}

void caller_exchange::break_off(const std::string& why) {
    send_back([why](caller_exchange& self) { self.take_cut(why); });
    closed_ = true;
}

void caller_exchange::take_text(const std::string& text) {
    if (record_.first_token_at == 0) {
        record_.first_token_at = now();
    } else {
        record_.token_gaps.push_back(now() - record_.ended_at);
    }
    record_.ended_at = now();
    check_->accept(text);
    record_.tokens = check_->tokens();
    if (leaves_after_ && record_.tokens >= *leaves_after_) {
        hang_up("caller_left");
    }
}

void caller_exchange::take_end(const router::generation_summary& summary) {
    record_.status = status_ok;
    record_.outcome = call_outcome::complete;
    record_.execution = core::execution::execution_report::complete;
    const bool all =
        summary.reason != engine::finish_reason::length || record_.tokens == record_.max_tokens;
    const bool exact =
        check_->right_so_far() && check_->at_token_end() && all && summary.tokens == record_.tokens;
    record_.answer = exact ? answer_state::exact : answer_state::wrong;
    finish();
}

void caller_exchange::take_reply(const router::application_reply& reply) {
    record_.status = reply.status;
    record_.outcome = call_outcome::complete;
    record_.execution = core::execution::execution_report::complete;
    const bool own = reply.body.ends_with(" " + request_.body);
    record_.answer = own ? answer_state::exact : answer_state::wrong;
    finish();
}

void caller_exchange::judge_part() {
    if (!check_) {
        return;
    }
    const bool nothing = check_->tokens() == 0 && check_->at_token_end();
    const answer_state right = nothing ? answer_state::none : answer_state::prefix;
    record_.answer = check_->right_so_far() ? right : answer_state::wrong;
}

void caller_exchange::take_refusal(const router::refusal& refused) {
    const http::response answer = caller::refusal_answer(record_.request, refused);
    const bool begun = record_.first_token_at > 0;
    record_.outcome = begun ? call_outcome::failed : call_outcome::refused;
    record_.status = begun ? status_ok : answer.status;
    record_.error_code = caller::to_string(refused.code);
    record_.execution = refused.execution;
    record_.retry_after = answer.headers.find("Retry-After").has_value();
    judge_part();
    finish();
}

void caller_exchange::take_cut(const std::string& why) {
    record_.outcome = call_outcome::cut;
    record_.error_code = why;
    judge_part();
    finish();
}

void caller_exchange::hang_up(const std::string& why) {
    if (finished_) {
        return;
    }
    forth_->send([self = shared_from_this()] {
        if (!self->closed_ && self->on_gone_) {
            self->on_gone_();
        }
    });
    take_cut(why);
}

void caller_exchange::finish() {
    finished_ = true;
    record_.ended_at = now();
    const finished done = std::exchange(done_, nullptr);
    done(record_);
}

}  // namespace ferryroad::bench::simulation
