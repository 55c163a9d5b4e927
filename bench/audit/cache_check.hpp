/// @file
/// Which cached pieces an engine may have used. Pure.
#pragma once

#include "bench/audit/auditor.hpp"

namespace ferryroad::bench::audit {

/// Adds each use of cached pieces that nobody entitled had computed to `found`, and counts.
void check_cache_uses(const evidence& seen, verdict& found);

}  // namespace ferryroad::bench::audit
