#include "ferryroad/core/prefix/report.hpp"

namespace ferryroad::core::prefix {

void apply(prefix_index& index, const prefix_report& report, base::monotonic_time now) {
    switch (report.change) {
        case prefix_change::held:
            index.record(report.scope, report.pieces, report.process, report.why, now);
            return;
        case prefix_change::evicted:
            for (const base::piece_hash piece : report.pieces) {
                index.record_evicted(report.scope, piece, report.process);
            }
            return;
        case prefix_change::events_lost:
            index.record_gap(report.process);
            return;
    }
}

}  // namespace ferryroad::core::prefix
