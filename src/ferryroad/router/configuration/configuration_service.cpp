#include "ferryroad/router/configuration/configuration_service.hpp"

#include "ferryroad/catalog/validation.hpp"
#include "ferryroad/router/configuration/catalog_builder.hpp"
#include "ferryroad/runtime/log.hpp"

#include <string>
#include <utility>

namespace ferryroad::router {

namespace {

namespace configuration = coordination::configuration;

revision_event to_event(const configuration::applied_change& step) {
    return {step.revision, step.operation, step.author, to_catalog_differences(step.differences),
            false};
}

}  // namespace

configuration_service::configuration_service(configuration_ports ports,
                                             configuration_tunables tunables)
    : ports_(ports),
      tunables_(tunables),
      journal_(ports.table),
      replica_(tunables.log),
      confirmation_(tunables.confirmation_limit),
      current_(std::make_shared<const catalog::catalog>()) {}

void configuration_service::start() {
    ports_.scheduler.spawn("configuration.peers", follow_peers());
    ports_.scheduler.spawn("configuration.table", follow_table());
    ports_.scheduler.spawn("configuration.object", load_object());
}

bool configuration_service::confirmed() const {
    return confirmation_.confirmed(ports_.scheduler.now());
}

configuration_result<change_plan> configuration_service::plan(
    const catalog::catalog& desired) const {
    std::vector<catalog::error> errors = catalog::find_faults(desired);
    if (!errors.empty()) {
        return configuration_error{configuration_error_code::invalid,
                                   catalog::invalid_catalog{errors}.to_string(), std::move(errors),
                                   replica_.revision()};
    }
    return change_plan{replica_.revision(), catalog::find_differences(*current_, desired)};
}

runtime::task<configuration_result<confirm_outcome>> configuration_service::confirm(
    confirm_command command) {
    const base::monotonic_time requested_at = ports_.scheduler.now();
    const auto pulled = co_await pull_from_table();
    const base::revision held = replica_.revision();
    if (held != command.revision || replica_.needs_pull()) {
        const base::revision newest = replica_.newest_known();
        co_return configuration_error{configuration_error_code::revision_conflict,
                                      "revision " + std::to_string(held.value) +
                                          " is held here, and revision " +
                                          std::to_string(newest.value) + " is the newest known",
                                      {},
                                      newest};
    }
    if (!pulled) {
        runtime::log(runtime::log_level::warning, "router.configuration",
                     "an operator confirmed the held revision, as the table can't be reached",
                     {{"revision", std::to_string(held.value)}, {"author", command.author.value}});
        record_head(held, requested_at);
    }
    co_return confirm_outcome{held, pulled.has_value()};
}

std::unique_ptr<watch_subscription> configuration_service::watch(base::revision after,
                                                                 revision_watcher watcher) {
    if (const auto steps = replica_.steps_after(after)) {
        for (const configuration::applied_change& step : *steps) {
            watcher(to_event(step));
        }
    } else {
        watcher({replica_.revision(), {}, {}, {}, true});
    }
    return watchers_.add(std::move(watcher));
}

void configuration_service::observe_revision(base::revision revision) {
    replica_.on_revision_announced(revision);
    pull_if_behind();
}

configuration::pull_answer configuration_service::answer_pull(base::revision from) const {
    const bool is_current = confirmed() && !replica_.needs_pull();
    return replica_.answer_pull(from, is_current);
}

void configuration_service::accept_push(configuration::change added) {
    apply_steps(replica_.on_change(std::move(added)));
    pull_if_behind();
}

void configuration_service::apply_steps(const std::vector<configuration::applied_change>& steps) {
    for (const configuration::applied_change& step : steps) {
        current_ = apply_step(*current_, step);
        runtime::log(runtime::log_level::info, "router.configuration", "new revision in force",
                     {{"revision", std::to_string(step.revision.value)},
                      {"operation", step.operation.value},
                      {"author", step.author.value},
                      {"resources", std::to_string(step.differences.size())}});
        watchers_.notify(to_event(step));
    }
    confirmation_.on_advanced(replica_.revision());
}

void configuration_service::record_head(base::revision head, base::monotonic_time requested_at) {
    replica_.on_revision_announced(head);
    confirmation_.on_head_known(replica_.newest_known(), requested_at, replica_.revision());
}

void configuration_service::pull_if_behind() {
    if (catching_up_ || stopped_ || !replica_.needs_pull()) {
        return;
    }
    catching_up_ = true;
    ports_.scheduler.spawn("configuration.catch_up", catch_up());
}

base::duration configuration_service::jittered(base::duration period) {
    const double factor = 1.0 + tunables_.jitter * (2.0 * ports_.scheduler.random().unit() - 1.0);
    return base::from_seconds(base::to_seconds(period) * factor);
}

}  // namespace ferryroad::router
