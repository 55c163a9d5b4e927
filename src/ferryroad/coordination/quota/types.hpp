/// @file
/// Messages between routers about a rate limit that holds for all routers together.
#pragma once

#include "ferryroad/base/ids.hpp"
#include "ferryroad/base/time.hpp"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>

namespace ferryroad::coordination::quota {

enum class subject_kind : std::uint8_t {
    tenant,  ///< The requests that a tenant sends, in units that its operator chooses.
    engine   ///< The requests that an engine gets; each counts 1.
};

/// What a limit applies to.
struct quota_subject {
    subject_kind kind = subject_kind::tenant;
    std::string name;

    quota_subject() = default;
    quota_subject(base::tenant_name tenant) : name(std::move(tenant.value)) {}
    quota_subject(base::engine_name engine)
        : kind(subject_kind::engine), name(std::move(engine.value)) {}

    friend auto operator<=>(const quota_subject&, const quota_subject&) = default;
};

/// Hash of a subject, for unordered containers.
struct quota_subject_hash {
    std::size_t operator()(const quota_subject& subject) const {
        return std::hash<std::string>{}(subject.name) + static_cast<std::size_t>(subject.kind);
    }
};

/// Rate limit of a subject over all routers.
struct rate_limit {
    /// Configuration revision that declares the limit; the highest is in force. Of limits with
    /// equal revisions, such as those of engines, the one that was learned last is in force.
    base::revision revision;
    double per_second = 0;  ///< Units per second; above 0.
    double burst = 0;  ///< Units allowed at once beyond the rate; 0 stands for a small fraction of
                       ///< a second at the rate.

    friend bool operator==(const rate_limit&, const rate_limit&) = default;
};

/// Asks the home router of a subject to count one request.
struct quota_ask {
    quota_subject subject;
    double amount = 0;  ///< Cost of the request.
    rate_limit limit;   ///< Limit as known to the asking router.
    /// Number of routers that ask for the subject, as last reported by a ledger; 0 if not known.
    std::uint32_t known_askers = 0;
    /// Cost of the asking router's recent requests that no ledger has counted. It is counted
    /// whether or not this request is granted.
    double uncounted = 0;
    base::duration limit_age{};  ///< Time since the asking router learned the limit.

    friend bool operator==(const quota_ask&, const quota_ask&) = default;
};

/// Answer to an ask.
struct quota_verdict {
    bool granted = false;
    base::duration retry_after{};  ///< Time to wait before a retry; 0 if granted.
    /// Number of routers that recently asked this ledger for the subject.
    std::uint32_t askers = 0;

    friend bool operator==(const quota_verdict&, const quota_verdict&) = default;
};

}  // namespace ferryroad::coordination::quota
