#include "ferryroad/core/prefix/prefix_owner.hpp"

namespace ferryroad::core::prefix {

prefix_owner::prefix_owner(prefix_index_settings index, heat_settings heat)
    : index_(index), heat_(heat) {}

void prefix_owner::record(const prefix_report& report, const base::router_name& reporter,
                          base::monotonic_time now) {
    apply(index_, report, now);
    if (report.prefill_tokens > 0) {
        dispatches_.record(report.process, report.prefill_tokens, reporter, now);
    }
}

owner_answer prefix_owner::lookup(const cache_namespace& scope,
                                  std::span<const base::piece_hash> pieces,
                                  const base::router_name& asker, base::monotonic_time now) {
    heat_.record(pieces.front(), now);
    return {index_.lookup(scope, pieces, now), heat_.rate(pieces.front(), now),
            dispatches_.by_others(asker, now)};
}

}  // namespace ferryroad::core::prefix
