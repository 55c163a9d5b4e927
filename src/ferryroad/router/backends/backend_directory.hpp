/// @file
/// All back ends as this router knows them: machine list, engines' own reports, operators'
/// drains and peers' gossip merged. State only; `backend_service` feeds it.
#pragma once

#include "ferryroad/base/time.hpp"
#include "ferryroad/router/backends/backend_record.hpp"
#include "ferryroad/router/configuration_view.hpp"
#include "ferryroad/router/engine_directory.hpp"
#include "ferryroad/router/status_source.hpp"

#include <functional>
#include <map>
#include <vector>

namespace ferryroad::router::backends {

/// One load request to send.
struct poll_order {
    base::engine_name engine;
    base::endpoint address;
};

/// Used from the event loop's thread.
class backend_directory final : public engine_directory {
  public:
    /// @param clock and `configuration` (for drains) outlive the directory.
    backend_directory(const base::clock& clock, const configuration_view& configuration,
                      tunables limits = {});

    std::vector<engine_view> available(const base::pool_name& pool) const override;
    std::optional<engine_view> find(const base::engine_name& engine) const override;
    bool suspected(const base::engine_name& engine) const override;
    void record_dispatch(const base::engine_name& engine, std::uint64_t prefill_tokens) override;
    void record_end(const base::engine_name& engine) override;
    void record_load(const base::engine_name& engine, const engine::load_report& load) override;
    void record_failure(const base::engine_name& engine, engine::error_code code) override;
    void record_leaving(const base::engine_name& engine, base::incarnation process) override;

    /// Takes a reading of the machine list; routers in it are passed over.
    void apply_list(const std::vector<platform::machine>& machines);

    /// @return up to `most` load requests that are due now, most overdue first; each is under
    /// way from here on and ends with one of the next two.
    std::vector<poll_order> begin_polls(std::size_t most);
    void record_poll(const base::engine_name& engine, const poll_answer& answer);
    void record_poll_failure(const base::engine_name& engine);
    /// @return when the next load request is due.
    std::optional<base::monotonic_time> next_poll() const;

    /// @return live model engines whose cache events can be read.
    std::vector<base::engine_name> event_sources() const;
    /// @return how to reach the engine where it is such a source now.
    std::optional<engine::engine_target> find_event_source(const base::engine_name& engine) const;

    /// @return all back ends, available or not, for operators.
    std::vector<engine_status> status() const;

    /// Called where the word "leaving" of an engine or a peer is news, to pass it on to peers.
    using leaving_listener = std::function<void(const base::engine_name&, base::incarnation)>;
    void on_leaving(leaving_listener listener) { leaving_listener_ = std::move(listener); }
    /// Called where an engine should be polled at once.
    void on_urgent(std::function<void()> listener) { urgent_listener_ = std::move(listener); }

  private:
    backend_record* find_record(const base::engine_name& engine);
    bool is_drained(const backend_record& record) const;
    bool is_available(const backend_record& record, base::monotonic_time now) const;
    bool is_event_source(const backend_record& record, base::monotonic_time now) const;
    void tell_leaving(const backend_record& record, bool news);
    void tell_urgent();

    const base::clock& clock_;
    const configuration_view& configuration_;
    const tunables limits_;
    std::map<base::engine_name, backend_record> records_;
    leaving_listener leaving_listener_;
    std::function<void()> urgent_listener_;
};

}  // namespace ferryroad::router::backends
