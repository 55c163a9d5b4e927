/// @file
/// Messages between routers about a rate limit that holds for all routers together.
#pragma once

#include "ferryroad/base/ids.hpp"
#include "ferryroad/base/time.hpp"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <utility>
#include <vector>

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

/// Slots of an engine that one router uses, as that router counts them. All but `rejected` is
/// absolute, so that lost messages do no lasting harm.
struct slot_use {
    /// Start of the engine's process in Unix milliseconds; 0 if not known.
    std::uint64_t process_start_ms = 0;
    std::uint32_t listed = 0;   ///< Slots that the engine's row lists.
    std::uint32_t running = 0;  ///< Requests of the router at the engine.
    /// Requests of the router that the engine rejected for lack of room since the last ask that was
    /// answered.
    std::uint32_t rejected = 0;
    std::uint32_t rejection_limit = 0;  ///< Rejections a second that the engine bears.
    std::uint64_t asker_process = 0;    ///< Identifies the process of the asking router.
    std::uint64_t number = 0;           ///< Of this message; grows with each one of the process.
    /// Numbers of earlier asks for slots of the engine that still wait for an answer. All others
    /// have been given up, or their requests are running or have ended.
    std::vector<std::uint64_t> pending;

    friend bool operator==(const slot_use&, const slot_use&) = default;
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
    /// Set if the ask is for a slot of an engine and not for its rate; `limit` is not used then. An
    /// amount of 0 only reports the slots in use.
    std::optional<slot_use> slots;
    base::duration wait{};  ///< How long the request waits for a slot if none is free.

    friend bool operator==(const quota_ask&, const quota_ask&) = default;
};

/// Answer to an ask.
struct quota_verdict {
    bool granted = false;
    base::duration retry_after{};  ///< Time to wait before a retry; 0 if granted.
    /// Number of routers that recently asked this ledger for the subject.
    std::uint32_t askers = 0;
    /// Whether the ledger knew enough to decide. If not, the asking router decides by its own
    /// share.
    bool decided = true;
    /// Whether the request waits for a slot; a second verdict follows if it gets one in time.
    bool queued = false;
    std::uint32_t room = 0;  ///< Slots that the engine is taken to have; 0 if not asked for one.

    friend bool operator==(const quota_verdict&, const quota_verdict&) = default;
};

}  // namespace ferryroad::coordination::quota
