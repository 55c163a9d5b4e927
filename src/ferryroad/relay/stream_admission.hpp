/// @file
/// Whether a stream's request is sent or refused because its pool's engines are short, and what
/// its own answer says for the requests after it.
#pragma once

#include "ferryroad/core/admission/load_shedder.hpp"
#include "ferryroad/relay/relay_plan.hpp"
#include "ferryroad/runtime/scheduler.hpp"

#include <cstdint>
#include <optional>

namespace ferryroad::relay {

/// One request. Requests that aren't streams are never refused, and say nothing. Used from the
/// event loop's thread; what it is made with outlives it.
class stream_admission {
  public:
    stream_admission(core::admission::load_shedder& shedder, const runtime::scheduler& scheduler,
                     const relay_plan& plan);
    ~stream_admission() { ended(); }
    stream_admission(const stream_admission&) = delete;
    stream_admission& operator=(const stream_admission&) = delete;

    /// @return whether the request, not sent yet, is refused. Logs it.
    bool refuses();
    /// @return when to come back: spread over as long again as answers take now.
    base::duration retry_after() const;

    /// It was sent to an engine, again or for the first time, and no event has come yet.
    void sent();
    /// Its first event came.
    void answered();
    /// Its exchange ended.
    void ended();

  private:
    core::admission::load_shedder& m_shedder;
    const runtime::scheduler& m_scheduler;
    const relay_plan& m_plan;
    bool m_is_stream;
    double m_draw;  ///< From 0 to 1, by the id of the request.
    std::optional<std::uint64_t> m_number;
};

}  // namespace ferryroad::relay
