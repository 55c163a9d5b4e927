/// @file
/// This router's view of all back ends, merged from the machine list, the engines' own reports,
/// operators' drains and peers' gossip. Holds state only; `backend_service` does the I/O.
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

/// A load request to send to one engine.
struct poll_request {
    base::engine_name engine;
    base::endpoint address;
};

/// Directory of the engines known to this router. Not thread safe: used from the event loop's
/// thread only.
class backend_directory final : public engine_directory {
  public:
    /// @param clock must outlive the directory, as must `configuration`.
    /// @param configuration lists the drained engines of each pool.
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

    /// Applies a newly read machine list. Entries that aren't engines are ignored.
    void apply_machine_list(const std::vector<platform::machine>& machines);

    /// Starts the load requests that are due now, at most `limit` of them. Each counts as in
    /// flight until `record_poll` or `record_poll_failure` is called for its engine.
    /// @return the requests to send, most overdue first.
    std::vector<poll_request> begin_polls(std::size_t limit);
    /// Records the answer to a load request.
    void record_poll(const base::engine_name& engine, const poll_answer& answer);
    /// Records that a load request failed.
    void record_poll_failure(const base::engine_name& engine);
    /// @return when the next load request is due; nothing if no engine can be polled.
    std::optional<base::monotonic_time> next_poll() const;

    /// @return the live model engines; their cache events can be read.
    std::vector<base::engine_name> event_sources() const;
    /// @return how to reach the engine; nothing if it is not an event source now.
    std::optional<engine::engine_target> find_event_source(const base::engine_name& engine) const;

    /// @return the status of every back end, available or not, for operators.
    std::vector<engine_status> status() const;

    /// Called when an engine is first reported as leaving, by itself or by a peer, so that the
    /// report can be passed on to peers.
    using leaving_listener = std::function<void(const base::engine_name&, base::incarnation)>;
    void on_leaving(leaving_listener listener) { leaving_listener_ = std::move(listener); }
    /// Sets the callback for when an engine may have to be polled at once.
    void on_poll_due(std::function<void()> listener) { poll_due_listener_ = std::move(listener); }

  private:
    backend_record* find_record(const base::engine_name& engine);
    bool is_drained(const backend_record& record) const;
    bool is_available(const backend_record& record, base::monotonic_time now) const;
    bool is_event_source(const backend_record& record, base::monotonic_time now) const;
    void notify_leaving(const backend_record& record, bool is_first_report);
    void notify_poll_due();

    const base::clock& clock_;
    const configuration_view& configuration_;
    const tunables limits_;
    std::map<base::engine_name, backend_record> records_;
    leaving_listener leaving_listener_;
    std::function<void()> poll_due_listener_;
};

}  // namespace ferryroad::router::backends
