/// @file
/// The platform as a pure state machine: time and randomness are passed in. The HTTP shell
/// (`platform_server`) and the virtual-time simulator both run it.
///
/// A call goes through three steps: `decide` admits or refuses it and says how long it takes;
/// the shell lets that time pass; the call itself (`transact`, `read`, ...) takes effect.
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

/// Rates are calls per second, 0 for no limit.
struct platform_options {
    double table_rate = 200.0;
    double object_rate = 50.0;
    double weights_rate = 10.0;
    double machine_rate = 100.0;
    base::duration burst = std::chrono::milliseconds(100);    ///< This much time's calls at once.
    base::duration call_time = std::chrono::milliseconds(2);  ///< Typical; half to 1.5 times.
    base::duration machine_list_lag = std::chrono::seconds(2);
    std::uint64_t weights_bytes = std::uint64_t{1} << 30U;
    double weights_bytes_per_second = 1e9;  ///< Shared by all transfers.
};

/// Faults in force; a default one is none.
struct platform_faults {
    bool outage = false;
    base::duration delay{};          ///< Added to every call.
    std::uint32_t lost_answers = 0;  ///< So many table commits lose their answer.
    std::optional<double> rate;      ///< In place of every service's own.
    std::optional<base::duration> machine_list_lag;
};

/// What happens to a call before it takes effect.
struct call_decision {
    enum class verdict { admitted, outage, rate_limited };

    verdict outcome = verdict::admitted;
    base::duration delay{};        ///< Until it takes effect, or the refusal is told.
    base::duration retry_after{};  ///< Where rate-limited.
};

struct commit_result {
    std::vector<platform::transaction_outcome> outcomes;
    bool answer_lost = false;  ///< It took effect; the caller must not be told.
};

struct weights_transfer {
    std::uint64_t bytes = 0;
    std::string checksum;
    base::monotonic_time done_at{};
};

/// `now` never falls from call to call.
class platform_model {
  public:
    explicit platform_model(platform_options options);

    /// Counts the call against its service's rate.
    call_decision decide(platform_service service, base::monotonic_time now,
                         base::random_source& random);

    commit_result transact(const std::vector<platform::transaction>& transactions);
    std::vector<platform::row> read(const std::vector<platform::row_key>& keys) const;
    std::vector<platform::row> scan(const std::string& prefix, const platform::row_key& after,
                                    std::uint32_t limit) const;

    void put_object(const std::string& name, std::string bytes);
    const std::string* get_object(const std::string& name) const;  ///< Null where absent.

    /// Queues a transfer behind those under way.
    weights_transfer fetch_weights(const std::string& model, const std::string& version,
                                   base::monotonic_time now);

    /// What the provider knows at once, and `machines` tells later.
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
