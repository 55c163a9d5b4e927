/// @file
/// The declared policy in force and how fresh it is confirmed to be. The declaration's owner is
/// outside; here versions only rise, and ages are checked at use, never by timers.
#pragma once

#include "ferryroad/base/time.hpp"
#include "ferryroad/core/traffic/traffic_policy.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace ferryroad::relay {

/// Weights of a model, as they were named.
struct named_version {
    std::uint64_t version = 0;
    /// The owner may have accepted it as early as this.
    base::monotonic_time accepted_after{};

    friend bool operator==(const named_version&, const named_version&) = default;
};

/// The versions named of one model. Not thread-safe.
class version_history {
  public:
    /// @return whether the version is newer than any known.
    bool add(named_version named);
    /// @return the newest version, 0 where none was named.
    std::uint64_t newest() const { return m_named.empty() ? 0 : m_named.back().version; }
    /// @return when weights of `version` may have become outdated: the moment after which the
    /// first newer ones were named; nothing where they are the newest.
    std::optional<base::monotonic_time> outdated_since(std::uint64_t version) const;
    /// Every version after `older_than`, up to `up_to`, was named after `moment`: what was not
    /// known before is known better now.
    void learn(std::uint64_t older_than, std::uint64_t up_to, base::monotonic_time moment);
    /// A version older than the newest was named, too, which this process hadn't been told.
    void insert(named_version named);
    const std::vector<named_version>& named() const { return m_named; }

  private:
    /// Older ones are forgotten: what is outdated by them is so by the next one, too, and the
    /// earliest moment is kept.
    static constexpr std::size_t most_kept = 32;
    std::vector<named_version> m_named;  ///< Rising.
};

struct policy_bounds {
    /// A key may be relied on while the policy was confirmed no longer ago than this; nothing
    /// where keys stay good without a confirmation.
    std::optional<base::duration> key_confirmation;
    /// A refusal that only the newest policy justifies needs a confirmation this fresh.
    base::duration refusal_confirmation = std::chrono::milliseconds(1800);
};

/// @param keys_need_confirmation whether keys stop to hold without the owner.
/// @param revocation a key that was taken away may hold no longer than this.
policy_bounds policy_bounds_for(bool keys_need_confirmation, base::duration revocation);

/// @param allowed after newer weights are named, how long requests may begin on older ones.
/// @return the same as this process keeps to: what it sends or withdraws takes a while to arrive.
base::duration outdated_limit_for(base::duration allowed);

/// Used from the event loop's thread.
class policy_source {
  public:
    explicit policy_source(policy_bounds bounds) : m_bounds(bounds) {}

    void change_bounds(policy_bounds bounds) { m_bounds = bounds; }

    /// @return whether the policy was taken: it is newer than the one in force.
    bool offer(core::traffic::declaration declared);
    /// A model's weights were named. @return whether the version is newer than any known.
    bool name_version(const std::string& model, std::uint64_t version);
    /// A version was named after `moment`, as was recorded while this process wasn't there.
    void learn_naming(const std::string& model, std::uint64_t version, base::monotonic_time moment);
    /// The same of every version, of any model, that is newer than the one given for the model.
    void learn_newer(const std::map<std::string, std::uint64_t>& known,
                     base::monotonic_time moment);
    /// The record of namings can't be read yet. Until `take_record`, weights count as named no
    /// earlier than this process's start: the record is kept where the rollout's lease is, and
    /// while that can't be reached, engines can't be brought to newer weights.
    void await_record(base::monotonic_time started) { m_awaiting_since = started; }
    /// The record has been read, and what it says has been learnt.
    void take_record() { m_awaiting_since.reset(); }
    /// Everything accepted by the owner before `asked_at` has been offered.
    void confirm(base::monotonic_time asked_at);

    /// @return the policy in force, or null while none is known.
    std::shared_ptr<const core::traffic::traffic_policy> current() const { return m_current; }
    /// @return the versions named of a model; an empty history where none were.
    const version_history& versions_of(const std::string& model) const;
    const std::map<std::string, version_history>& versions() const { return m_versions; }
    /// @return since when weights of `version` may have been outdated; nothing where they are
    /// the newest.
    std::optional<base::monotonic_time> outdated_since(const std::string& model,
                                                       std::uint64_t version) const;

    /// @return the moment before which everything accepted is known here.
    std::optional<base::monotonic_time> confirmed_at() const { return m_confirmed_at; }
    /// @return time since the policy was last confirmed; the greatest while it never was.
    base::duration age(base::monotonic_time now) const;
    bool keys_hold(base::monotonic_time now) const;
    bool refusals_hold(base::monotonic_time now) const;

  private:
    policy_bounds m_bounds;
    std::shared_ptr<const core::traffic::traffic_policy> m_current;
    std::map<std::string, version_history> m_versions;
    std::optional<base::monotonic_time> m_confirmed_at;
    std::optional<base::monotonic_time> m_awaiting_since;
};

}  // namespace ferryroad::relay
