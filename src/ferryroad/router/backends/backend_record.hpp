/// @file
/// What a router knows of one back end. Pure: time is passed in.
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

enum class backend_health {
    live,
    unconfirmed,  ///< No word yet of the process that answers there now.
    suspected,    ///< Doesn't answer.
    leaving,
    missing  ///< Gone from the machine list.
};

/// An answered or failed load request, as far as the record is concerned.
struct poll_answer {
    base::endpoint address;           ///< That was asked.
    base::monotonic_time asked_at{};  ///< When the request left.
    engine::load_report load;
};

/// One engine name over all its processes. Word of an older process never undoes word of a
/// newer one; "leaving" sticks to the process it was said of.
class backend_record {
  public:
    /// @param limits outlive the record.
    backend_record(const tunables& limits, base::engine_name name);

    /// The machine list has it.
    void record_listed(const platform::machine& machine, base::monotonic_time now);
    /// The machine list lacks it.
    void record_unlisted(base::monotonic_time now);
    /// A load report came with an answer. @return whether it says that the engine is leaving
    /// and this is news.
    bool record_load(const engine::load_report& load, base::monotonic_time now);
    /// A load request was answered. @return as above.
    bool record_poll(const poll_answer& answer, base::monotonic_time now);
    void record_poll_failure(base::monotonic_time now);
    /// Doubts or suspects the engine, as the failure says, and wants a poll at once.
    void record_failure(engine::error_code code, base::monotonic_time now);
    /// @return whether it is news.
    bool record_leaving(base::incarnation process, base::monotonic_time now);
    void record_dispatch(std::uint64_t prefill_tokens, base::monotonic_time now);
    void record_end();

    backend_health health(base::monotonic_time now) const;
    /// @return whether it has been missing so long that it may be forgotten.
    bool is_forgettable(base::monotonic_time now) const;
    /// @return when it should next be asked for its load; nothing while a poll is under way.
    std::optional<base::monotonic_time> next_poll() const;
    /// A poll is under way until `record_poll` or `record_poll_failure`.
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
    void suspect(base::monotonic_time now);
    void doubt(base::monotonic_time now);
    bool is_list_leaving(base::monotonic_time now) const;

    const tunables* limits_;
    base::engine_name name_;
    platform::machine machine_;
    std::optional<base::monotonic_time> missing_since_;

    base::incarnation process_;  ///< Newest known; 0 before the first report.
    /// The highest process that the engine or a peer called leaving; 0 for none.
    base::incarnation leaving_process_;
    base::monotonic_time leaving_since_{};
    /// The process that was known when the list began to say "leaving".
    base::incarnation list_leaving_process_;
    base::monotonic_time listed_leaving_at_{};  ///< Last time that the list said so.
    bool was_listed_leaving_ = false;

    /// Set while a poll sent after that time must confirm who answers there.
    std::optional<base::monotonic_time> doubted_since_;
    bool suspected_ = false;
    std::uint32_t failures_ = 0;
    std::uint32_t failed_polls_ = 0;
    bool polling_ = false;
    bool poll_at_once_ = false;
    base::monotonic_time last_poll_at_{};

    engine::load_report load_;
    base::monotonic_time reported_at_{};
    std::deque<dispatch> unreported_;  ///< Own dispatches that no report can show yet.
    std::uint32_t outstanding_ = 0;    ///< Own dispatches that have not ended.
};

}  // namespace ferryroad::router::backends
