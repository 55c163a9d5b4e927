/// @file
/// Makes the requests of a workload. Pure: no clock, no I/O; the load client and the
/// virtual-time simulator read the same stream.
#pragma once

#include "bench/workload/prefix_tree.hpp"
#include "bench/workload/request.hpp"
#include "bench/workload/specification.hpp"
#include "ferryroad/base/random.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace ferryroad::bench::workload {

/// The same specification gives the same requests; another arrival rate changes only `at`.
class generator {
  public:
    /// @param source as checked by `read_specification`.
    explicit generator(specification source);

    /// @return the next request in order of arrival; nothing after the last.
    std::optional<workload_request> next();

    const specification& source() const { return source_; }

  private:
    base::duration next_arrival();
    std::uint64_t shift_of(std::uint64_t number) const;
    workload_request draw();
    void fill_generation(const request_kind& kind, workload_request& drawn);
    void fill_write(const request_kind& kind, workload_request& drawn);

    specification source_;
    base::seeded_random arrival_random_;
    base::seeded_random content_random_;
    weighted_choice tenant_choice_;
    weighted_choice kind_choice_;
    std::map<std::string, prefix_tree> trees_;
    std::optional<workload_request> pending_repeat_;
    std::uint64_t next_number_ = 0;
    base::duration clock_{};
};

}  // namespace ferryroad::bench::workload
