/// @file
/// One caller's request to one router over the simulated network, and what the caller sees.
#pragma once

#include "bench/load/answer_check.hpp"
#include "bench/load/record.hpp"
#include "bench/simulation/network/network.hpp"
#include "bench/workload/request.hpp"
#include "ferryroad/router/request_types.hpp"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace ferryroad::bench::simulation {

/// Addresses of the two ends.
struct exchange_ends {
    base::endpoint caller;
    base::endpoint router;
};

/// Lives as long as either end speaks of it. The router's calls come from inside its process,
/// the caller's end runs outside any process.
class caller_exchange final : public std::enable_shared_from_this<caller_exchange> {
  public:
    using finished = std::function<void(const load::call_record&)>;

    /// @param record as begun by the caller. @param done called once, with the whole record.
    caller_exchange(network& carrier, const exchange_ends& ends,
                    const workload::workload_request& request, load::call_record record,
                    finished done);

    const workload::workload_request& request() const { return request_; }

    // The caller's end.
    /// Calls `arrive` at the router's address.
    void send_to_router(std::function<void()> arrive) { forth_->send(std::move(arrive)); }
    /// Gives up after `limit` without an end.
    void limit_to(base::duration limit);
    /// Hangs up once so many tokens have come.
    void leave_after(std::uint32_t tokens) { leaves_after_ = tokens; }

    // The router's end.
    void name_request(const base::request_id& request);
    void send_token(const std::string& text);
    void send_end(const router::generation_summary& summary);
    void send_reply(const router::application_reply& reply);
    void send_refusal(const router::refusal& refused);
    /// The router's end closes: a killed process, or one that takes no requests.
    void break_off(const std::string& why);
    /// @param handler called at the router once the caller has hung up.
    void on_caller_gone(std::function<void()> handler) { on_gone_ = std::move(handler); }
    bool closed() const { return closed_; }

  private:
    void send_back(std::function<void(caller_exchange&)> effect);
    void take_text(const std::string& text);
    void take_end(const router::generation_summary& summary);
    void take_reply(const router::application_reply& reply);
    void take_refusal(const router::refusal& refused);
    void take_cut(const std::string& why);
    void hang_up(const std::string& why);
    void judge_part();
    void finish();
    double now() const;

    network& carrier_;
    std::shared_ptr<channel> forth_;
    std::shared_ptr<channel> back_;
    workload::workload_request request_;
    load::call_record record_;
    finished done_;
    std::optional<load::answer_check> check_;
    std::optional<std::uint32_t> leaves_after_;
    std::function<void()> on_gone_;
    std::string held_text_;  ///< Of an answer that isn't streamed.
    bool closed_ = false;    ///< The router's end.
    bool finished_ = false;  ///< The caller's end.
};

}  // namespace ferryroad::bench::simulation
