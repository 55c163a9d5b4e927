#include "ferryroad/core/prefix/report_outbox.hpp"

#include <algorithm>
#include <utility>

namespace ferryroad::core::prefix {

namespace {

prefix_index_settings index_settings_for(const report_outbox_settings& settings) {
    prefix_index_settings index_settings;
    index_settings.entries = settings.remembered_entries;
    index_settings.lifetime =
        std::max(settings.repeat_answer_after, settings.repeat_dispatch_after);
    return index_settings;
}

}  // namespace

report_outbox::report_outbox(report_outbox_settings settings)
    : settings_(settings), reported_(index_settings_for(settings)) {}

void report_outbox::add(const std::vector<base::router_name>& owners, prefix_report report,
                        base::monotonic_time now) {
    if (owners.empty()) {
        return;
    }
    remove_reported(report, now);
    if (report.pieces.empty() && report.change != prefix_change::events_lost) {
        return;
    }
    for (const base::router_name& owner : owners) {
        std::vector<prefix_report>& reports = queued_[owner];
        if (reports.size() >= settings_.max_queued_per_owner) {
            reports.erase(reports.begin());
            ++counters_.reports_dropped;
        }
        reports.push_back(report);
    }
}

void report_outbox::remove_reported(prefix_report& report, base::monotonic_time now) {
    const std::size_t before = report.pieces.size();
    if (report.change == prefix_change::held) {
        const base::duration within = report.why == evidence::answer
                                          ? settings_.repeat_answer_after
                                          : settings_.repeat_dispatch_after;
        std::erase_if(report.pieces, [&](base::piece_hash piece) {
            return reported_.holds(report.scope, piece, report.process, now, within);
        });
    }
    apply(reported_, report, now);
    counters_.pieces_deduplicated += before - report.pieces.size();
    counters_.pieces_queued += report.pieces.size();
}

std::vector<report_batch> report_outbox::take() {
    std::vector<report_batch> batches;
    batches.reserve(queued_.size());
    for (auto& [owner, reports] : queued_) {
        batches.push_back({owner, std::move(reports)});
    }
    queued_.clear();
    return batches;
}

void report_outbox::record_lost(const report_batch& batch) {
    for (const prefix_report& report : batch.reports) {
        for (const base::piece_hash piece : report.pieces) {
            reported_.record_evicted(report.scope, piece, report.process);
        }
    }
}

void report_outbox::reconcile(const cache_namespace& scope, const piece_chain& pieces,
                              const std::vector<holder>& known_to_owner, base::monotonic_time now) {
    for (const holder& reported : reported_.lookup(scope, pieces, now)) {
        const auto known = std::find_if(
            known_to_owner.begin(), known_to_owner.end(),
            [&reported](const holder& each) { return each.process == reported.process; });
        const std::uint32_t depth = known == known_to_owner.end() ? 0 : known->pieces;
        for (std::uint32_t unknown = depth; unknown < reported.pieces; ++unknown) {
            reported_.record_evicted(scope, pieces[unknown], reported.process);
        }
    }
}

}  // namespace ferryroad::core::prefix
