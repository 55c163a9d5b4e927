#include "ferryroad/coordination/configuration/replica.hpp"

#include "ferryroad/coordination/configuration/commit.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace ferryroad::coordination::configuration {

namespace {

base::revision after(base::revision revision) {
    return base::revision(revision.value + 1);
}

std::vector<resource_difference> differences_of(const resources& content, const change& next) {
    std::vector<resource_difference> differences;
    for (const resource_change& resource : next.resources) {
        const auto found = content.find(resource.key);
        std::optional<std::string> before;
        if (found != content.end()) {
            before = found->second;
        }
        differences.push_back({resource.key, std::move(before), resource.value});
    }
    return differences;
}

template <typename Entries>
void drop_oldest(Entries& entries, std::size_t most) {
    while (entries.size() > most) {
        entries.pop_front();
    }
}

}  // namespace

replica::replica(log_limits limits) : limits_(limits) {}

void replica::on_revision_announced(base::revision revision) {
    newest_known_ = std::max(newest_known_, revision);
}

std::vector<applied_change> replica::on_change(change received) {
    on_revision_announced(received.revision);
    if (received.revision <= held_.revision) {
        return {};
    }
    const base::revision revision = received.revision;
    buffered_.emplace(revision, std::move(received));
    std::vector<applied_change> steps = apply_buffered();
    // Drop the changes that are furthest ahead: they are the cheapest to pull again.
    while (buffered_.size() > limits_.buffered_changes) {
        buffered_.erase(std::prev(buffered_.end()));
    }
    return steps;
}

std::vector<applied_change> replica::on_snapshot(snapshot received) {
    on_revision_announced(received.revision);
    if (received.revision <= held_.revision) {
        return {};
    }
    applied_change step{held_.revision,
                        received.revision,
                        {},
                        {},
                        find_differences(held_.content, received.content)};
    held_ = std::move(received);
    changes_.clear();
    steps_.push_back(step);
    drop_oldest(steps_, limits_.replica_changes);
    std::vector<applied_change> steps{std::move(step)};
    std::vector<applied_change> more = apply_buffered();
    std::move(more.begin(), more.end(), std::back_inserter(steps));
    return steps;
}

std::vector<applied_change> replica::on_pull_answer(pull_answer received) {
    on_revision_announced(received.head);
    std::vector<applied_change> steps;
    if (received.base) {
        steps = on_snapshot(std::move(*received.base));
    }
    for (change& next : received.changes) {
        std::vector<applied_change> more = on_change(std::move(next));
        std::move(more.begin(), more.end(), std::back_inserter(steps));
    }
    return steps;
}

pull_answer replica::answer_pull(base::revision from, bool confirmed) const {
    pull_answer answer{held_.revision, std::nullopt, {}, confirmed};
    if (from >= held_.revision) {
        return answer;
    }
    if (changes_.empty() || changes_.front().revision > after(from)) {
        answer.base = held_;
        return answer;
    }
    const auto skipped =
        static_cast<std::ptrdiff_t>(from.value + 1 - changes_.front().revision.value);
    answer.changes.assign(changes_.begin() + skipped, changes_.end());
    return answer;
}

std::optional<std::vector<applied_change>> replica::steps_after(base::revision revision) const {
    if (revision >= held_.revision) {
        return std::vector<applied_change>();
    }
    const auto first = std::find_if(steps_.begin(), steps_.end(), [&](const applied_change& step) {
        return step.previous >= revision;
    });
    if (first == steps_.end() || first->previous != revision) {
        return std::nullopt;
    }
    return std::vector<applied_change>(first, steps_.end());
}

applied_change replica::apply_next(change next) {
    applied_change step{held_.revision, next.revision, next.operation, next.author,
                        differences_of(held_.content, next)};
    apply_changes(held_.content, next.resources);
    held_.revision = next.revision;
    changes_.push_back(std::move(next));
    drop_oldest(changes_, limits_.replica_changes);
    steps_.push_back(step);
    drop_oldest(steps_, limits_.replica_changes);
    return step;
}

std::vector<applied_change> replica::apply_buffered() {
    buffered_.erase(buffered_.begin(), buffered_.upper_bound(held_.revision));
    std::vector<applied_change> steps;
    while (!buffered_.empty() && buffered_.begin()->first == after(held_.revision)) {
        auto next = buffered_.extract(buffered_.begin());
        steps.push_back(apply_next(std::move(next.mapped())));
    }
    return steps;
}

}  // namespace ferryroad::coordination::configuration
