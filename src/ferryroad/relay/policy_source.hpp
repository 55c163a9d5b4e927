/// @file
/// This router's copy of the declared traffic policy and of the named weight versions, with the
/// time they were last confirmed to be current. The policy is owned by an external service; a copy
/// is only replaced by a newer version. Staleness is checked at use, not by timers.
#pragma once

#include "ferryroad/base/time.hpp"
#include "ferryroad/core/placement/engine_load_view.hpp"
#include "ferryroad/core/traffic/traffic_policy.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace ferryroad::relay {

/// A version of a model's weights that was named as the one to serve.
struct named_version {
    std::uint64_t version = 0;
    /// Lower bound of the time at which the policy's owner accepted the naming.
    base::monotonic_time accepted_after{};

    friend bool operator==(const named_version&, const named_version&) = default;
};

/// The named versions of one model. Not thread-safe.
class version_history {
  public:
    /// Adds a version; ignored unless it is newer than all others.
    /// @return whether it was added.
    bool add(named_version named);
    /// @return the newest version, 0 if none was named.
    std::uint64_t newest() const { return m_named.empty() ? 0 : m_named.back().version; }
    /// @return the earliest time at which weights of `version` may have become outdated, i.e. the
    /// `accepted_after` of the next newer version; nullopt if `version` is the newest.
    std::optional<base::monotonic_time> outdated_since(std::uint64_t version) const;
    /// Raises `accepted_after` to at least `moment` for each version in (`older_than`, `up_to`].
    void raise_accepted_after(std::uint64_t older_than, std::uint64_t up_to,
                              base::monotonic_time moment);
    /// Inserts a version that this process had not received. Ignored if it is known already, or
    /// older than the newest and the history is full.
    void insert(named_version named);
    const std::vector<named_version>& named() const { return m_named; }

  private:
    /// The oldest versions beyond this number are dropped. Weights outdated by a dropped version
    /// are also outdated by its successor, which takes over the earlier `accepted_after`.
    static constexpr std::size_t max_versions = 32;
    std::vector<named_version> m_named;  ///< Sorted by version, ascending.
};

/// A version of a model's weights that an engine has or is announced to load.
struct observed_version {
    std::uint64_t version = 0;
    base::monotonic_time at{};

    friend bool operator==(const observed_version&, const observed_version&) = default;
};

/// How stale the policy may be for a decision.
struct policy_staleness_limits {
    /// API keys are accepted only if the policy was confirmed within this time; nullopt if keys are
    /// accepted without a confirmation.
    std::optional<base::duration> key_confirmation;
    /// A refusal that depends on the newest policy requires a confirmation within this time.
    base::duration refusal_confirmation = std::chrono::milliseconds(1800);
};

/// @param keys_need_confirmation whether keys are rejected when the policy's owner cannot confirm
/// them.
/// @param revocation maximum time for which a revoked key may still be accepted.
policy_staleness_limits policy_staleness_limits_for(bool keys_need_confirmation,
                                                    base::duration revocation);

/// @param allowed how long requests may begin with older weights after newer ones were named.
/// @return the shorter limit that this process applies, as the requests and cancellations it sends
/// take time to arrive.
base::duration outdated_limit_for(base::duration allowed);

/// Must be used on the event loop's thread.
class policy_source {
  public:
    explicit policy_source(policy_staleness_limits bounds) : m_bounds(bounds) {}

    void change_bounds(policy_staleness_limits bounds) { m_bounds = bounds; }

    /// Puts a policy in force if it is newer than the current one.
    /// @return whether it was.
    bool offer(core::traffic::declaration declared);
    /// Adds a newly named version of a model's weights.
    /// @return whether it is newer than all versions known.
    bool add_named_version(const std::string& model, std::uint64_t version);
    /// Records that an engine has a version of a model's weights, or is announced to load it. Such
    /// a version was named, even if this copy does not contain it yet.
    /// @return whether it is newer than all versions known.
    bool record_observed_version(const std::string& model, std::uint64_t version,
                                 base::monotonic_time now);
    /// Adds what the naming record says about a version.
    /// @param moment lower bound of the time at which the version was named.
    void add_recorded_naming(const std::string& model, std::uint64_t version,
                             base::monotonic_time moment);
    /// For each model, raises the naming times of versions newer than the recorded one.
    /// @param recorded newest version in the naming record, by model.
    /// @param moment when the naming record was last confirmed: newer versions were named later.
    void raise_unrecorded_namings(const std::map<std::string, std::uint64_t>& recorded,
                                  base::monotonic_time moment);
    /// The naming record is not available yet. Until `finish_record_read`, no version counts as
    /// named before this process started. This is safe because the record is stored in the same
    /// table as the rollout lease: while the table is unreachable, no rollout can bring engines to
    /// newer weights.
    void await_record(base::monotonic_time started) { m_awaiting_record_since = started; }
    /// The naming record has been read and its contents added.
    void finish_record_read() { m_awaiting_record_since.reset(); }
    /// Records that everything accepted by the owner before `asked_at` has been passed to this
    /// object.
    void confirm(base::monotonic_time asked_at);

    /// @return the policy in force; null if none is known.
    std::shared_ptr<const core::traffic::traffic_policy> current() const { return m_current; }
    /// @return the named versions of a model; an empty history if there are none.
    const version_history& versions_of(const std::string& model) const;
    const std::map<std::string, version_history>& versions() const { return m_versions; }
    /// @return the earliest time at which weights of `version` may have become outdated; nullopt if
    /// they are the newest.
    std::optional<base::monotonic_time> outdated_since(const std::string& model,
                                                       std::uint64_t version) const;

    /// @return whether, as far as known, no version newer than `version` was named. An observed one
    /// counts until this copy is confirmed as of a later time: if it is still not in the copy then,
    /// it was never named.
    bool is_newest(const std::string& model, std::uint64_t version) const;

    /// @return for each model the newest version that was named or, as far as known, observed.
    std::vector<core::placement::known_weights> newest_weights() const;

    /// @return the time before which everything accepted by the owner is known; nullopt if the
    /// policy was never confirmed.
    std::optional<base::monotonic_time> confirmed_at() const { return m_confirmed_at; }
    /// @return time since the policy was last confirmed; the maximum duration if it never was.
    base::duration age(base::monotonic_time now) const;
    /// @return whether the policy is fresh enough to accept its API keys.
    bool keys_valid(base::monotonic_time now) const;
    /// @return whether the policy is fresh enough to refuse requests by it.
    bool refusals_valid(base::monotonic_time now) const;

  private:
    policy_staleness_limits m_bounds;
    std::shared_ptr<const core::traffic::traffic_policy> m_current;
    std::map<std::string, version_history> m_versions;
    std::map<std::string, observed_version> m_observed;  ///< The newest of each model.
    std::optional<base::monotonic_time> m_confirmed_at;
    std::optional<base::monotonic_time> m_awaiting_record_since;
};

}  // namespace ferryroad::relay
