/// @file
/// Model of the platform as a state machine without I/O: time and randomness are passed in. The
/// HTTP server (`platform_server`) and the virtual-time simulator both run it.
///
/// A call has three steps: `decide` admits or refuses it and returns its delay; the caller waits
/// for that delay; the operation itself (`transact`, `read`, ...) takes effect.
#pragma once

#include "emulator/platform/machine_history.hpp"
#include "emulator/platform/rate_limiter.hpp"
#include "emulator/platform/table_model.hpp"
#include "ferryroad/base/random.hpp"
#include "ferryroad/base/time.hpp"
#include "ferryroad/platform/services.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace ferryroad::emulator {

/// Services with a rate limit of their own.
enum class platform_service { table, objects, weights, machines };

/// Limits and speeds of the emulated platform. Rates are calls per second; 0 means no limit.
struct platform_options {
    double table_rate = 200.0;
    double object_rate = 50.0;
    double weights_rate = 10.0;
    double machine_rate = 100.0;
    base::duration burst =
        std::chrono::milliseconds(100);  ///< Calls that the rate admits in it may come at once.
    base::duration call_time =
        std::chrono::milliseconds(2);  ///< Mean; uniform between 0.5 and 1.5 times this.
    base::duration machine_list_lag = std::chrono::seconds(2);
    std::uint64_t weights_bytes = std::uint64_t{1} << 30U;
    double weights_bytes_per_second = 1e9;  ///< Shared by all transfers.
};

/// Faults in force; a default-constructed value means no faults.
struct platform_faults {
    bool outage = false;
    base::duration delay{};          ///< Added to every call.
    std::uint32_t lost_answers = 0;  ///< Number of coming table commits whose answer is lost.
    std::optional<double> rate;      ///< Calls per second; replaces every service's own rate.
    std::optional<base::duration> machine_list_lag;
};

/// Whether a call is admitted, and its delay.
struct call_decision {
    enum class verdict { admitted, outage, rate_limited };

    verdict outcome = verdict::admitted;
    base::duration delay{};        ///< Until the call takes effect or the refusal is sent.
    base::duration retry_after{};  ///< Set if the call is rate-limited.
};

/// Result of `platform_model::transact`.
struct commit_result {
    std::vector<platform::transaction_outcome> outcomes;
    bool answer_lost = false;  ///< The transactions took effect, but no answer may be sent.
};

/// A download of weights that the model has queued.
struct weights_transfer {
    std::uint64_t bytes = 0;
    std::string checksum;
    base::monotonic_time done_at{};
};

/// `now` must not decrease from call to call. Not thread-safe.
class platform_model {
  public:
    explicit platform_model(platform_options options);

    /// Counts the call against its service's rate and draws its delay.
    call_decision decide(platform_service service, base::monotonic_time now,
                         base::random_source& random);

    commit_result transact(const std::vector<platform::transaction>& transactions);
    std::vector<platform::row> read(const std::vector<platform::row_key>& keys) const;
    std::vector<platform::row> scan(const std::string& prefix, const platform::row_key& after,
                                    std::uint32_t limit) const;

    void put_object(const std::string& name, std::string bytes);
    const std::string* get_object(const std::string& name) const;  ///< Null if absent.

    /// Queues a transfer behind the unfinished ones, since all share one link.
    weights_transfer fetch_weights(const std::string& model, const std::string& version,
                                   base::monotonic_time now);

    /// Changes the machine list; `machines` shows the change after the configured lag.
    void put_machine(const platform::machine& one, base::monotonic_time now);
    void remove_machine(const std::string& name, base::monotonic_time now);
    std::vector<platform::machine> machines(base::monotonic_time now) const;

    /// Replaces the faults in force.
    void set_faults(const platform_faults& faults);
    const platform_faults& faults() const { return faults_; }

  private:
    rate_limiter& limiter_of(platform_service service);
    void apply_rates();

    platform_options options_;
    platform_faults faults_;
    rate_limiter table_limiter_;
    rate_limiter object_limiter_;
    rate_limiter weights_limiter_;
    rate_limiter machine_limiter_;
    table_model table_;
    std::unordered_map<std::string, std::string> objects_;
    machine_history machines_;
    base::monotonic_time weights_busy_until_{};
};

}  // namespace ferryroad::emulator
