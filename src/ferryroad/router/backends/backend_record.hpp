/// @file
/// State of one back end as known to this router. Does no I/O; the caller passes the time in.
#pragma once

#include "ferryroad/engine/errors.hpp"
#include "ferryroad/engine/types.hpp"
#include "ferryroad/platform/services.hpp"
#include "ferryroad/router/backends/tunables.hpp"
#include "ferryroad/router/engine_directory.hpp"

#include <cstdint>
#include <deque>
#include <optional>

namespace ferryroad::router::backends {

/// Health of a back end as this router judges it.
enum class backend_health {
    live,
    unconfirmed,  ///< The process at the engine's address has not been confirmed by a poll yet.
    suspected,    ///< The engine does not answer.
    leaving,      ///< The engine is shutting down and takes no new work.
    missing       ///< The machine list has lacked the engine for `missing_timeout`.
};

/// The answer to a load request.
struct poll_answer {
    base::endpoint address;           ///< Where the request was sent.
    base::monotonic_time asked_at{};  ///< When the request was sent.
    engine::load_report load;
};

/// State of one engine name across restarts of its process. Reports about an older process
/// never override those about a newer one; "leaving" applies only to the process that it was
/// reported for.
class backend_record {
  public:
    /// @param limits must outlive the record.
    backend_record(const tunables& limits, base::engine_name name);

    /// Records that the machine list contains the engine.
    void record_listed(const platform::machine& machine, base::monotonic_time now);
    /// Records that the machine list lacks the engine.
    void record_unlisted(base::monotonic_time now);
    /// Records a load report that came with another answer.
    /// @return whether the report says for the first time that the process is leaving.
    bool record_load(const engine::load_report& load, base::monotonic_time now);
    /// Records the answer to a load request.
    /// @return whether the answer says for the first time that the process is leaving.
    bool record_poll(const poll_answer& answer, base::monotonic_time now);
    /// Records that a load request failed.
    void record_poll_failure(base::monotonic_time now);
    /// Records a failed exchange with the engine. Depending on the code the engine becomes
    /// suspected, unconfirmed or leaving, and is polled at once.
    void record_failure(engine::error_code code, base::monotonic_time now);
    /// Records a report, from the engine or a peer, that `process` is leaving.
    /// @return whether it is the first such report for that process.
    bool record_leaving(base::incarnation process, base::monotonic_time now);
    /// Records an attempt that this router sent to the engine.
    void record_dispatch(std::uint64_t prefill_tokens, base::monotonic_time now);
    /// Records that an attempt of this router ended before a load report covered it.
    void record_end();

    backend_health health(base::monotonic_time now) const;
    /// @return whether the engine has been missing for long enough to remove its record.
    bool can_be_removed(base::monotonic_time now) const;
    /// @return when the next load request is due; nothing while one is in flight.
    std::optional<base::monotonic_time> next_poll() const;
    /// Marks a load request as in flight until `record_poll` or `record_poll_failure`.
    void begin_poll();

    engine_view view() const;
    const platform::machine& machine() const { return machine_; }
    const base::engine_name& name() const { return name_; }
    engine::engine_kind kind() const { return load_.kind; }
    base::incarnation process() const { return process_; }

  private:
    struct dispatch {
        base::monotonic_time at{};
        std::uint64_t prefill_tokens = 0;
    };

    bool accept_report(const engine::load_report& load, base::monotonic_time now);
    void begin_process(base::incarnation process);
    void count_failure(base::monotonic_time now);
    void end_poll(base::monotonic_time now);
    void mark_suspected(base::monotonic_time now);
    void require_confirmation(base::monotonic_time now);
    bool is_list_leaving(base::monotonic_time now) const;

    const tunables* limits_;
    base::engine_name name_;
    platform::machine machine_;
    std::optional<base::monotonic_time> missing_since_;

    base::incarnation process_;  ///< Newest known process; 0 before the first report.
    /// The newest process that the engine or a peer reported as leaving; 0 for none.
    base::incarnation leaving_process_;
    base::monotonic_time leaving_since_{};  ///< Time of the latest such report.
    /// The process that was known when the machine list began to show the engine as leaving.
    base::incarnation list_leaving_process_;
    /// When a machine list last showed the engine as leaving.
    base::monotonic_time listed_leaving_at_{};
    bool was_listed_leaving_ = false;

    /// If set, the engine is unconfirmed until it answers a poll sent at or after this time.
    std::optional<base::monotonic_time> unconfirmed_since_;
    bool suspected_ = false;
    std::uint32_t failures_ = 0;
    std::uint32_t failed_polls_ = 0;
    bool polling_ = false;
    bool poll_at_once_ = false;
    base::monotonic_time last_poll_at_{};

    engine::load_report load_;
    base::monotonic_time reported_at_{};
    std::deque<dispatch> unreported_;  ///< Own dispatches newer than the last load report.
    std::uint32_t outstanding_ = 0;    ///< Own dispatches that have not ended.
};

}  // namespace ferryroad::router::backends
