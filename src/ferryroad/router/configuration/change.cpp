/// Changes by operators: the part of the configuration service that turns commands into committed
/// revisions.
#include "ferryroad/router/configuration/catalog_builder.hpp"
#include "ferryroad/router/configuration/configuration_service.hpp"

#include <boost/leaf/handle_errors.hpp>

#include <algorithm>
#include <optional>
#include <utility>

namespace ferryroad::router {

namespace {

namespace configuration = coordination::configuration;
namespace leaf = boost::leaf;

configuration_error conflict(base::revision head) {
    return {configuration_error_code::revision_conflict,
            "another change was committed first: revision " + std::to_string(head.value) +
                " is in force",
            {},
            head};
}

/// @param may_have_changed whether the change may have been committed.
configuration_error commit_error(const platform::error& failure, bool may_have_changed) {
    const auto code = may_have_changed ? configuration_error_code::outcome_unknown
                                       : configuration_error_code::unavailable;
    return {code, "the platform's table failed: " + failure.message, {}, {}};
}

/// Adds an engine to a pool's drained list or removes it.
void set_drained(catalog::pool& pool, const base::engine_name& engine, bool drained) {
    const auto found = std::find(pool.drained.begin(), pool.drained.end(), engine);
    if (drained && found == pool.drained.end()) {
        pool.drained.push_back(engine);
    } else if (!drained && found != pool.drained.end()) {
        pool.drained.erase(found);
    }
}

/// @return the change of the pool's resource; empty if the pool doesn't exist or can't be decoded.
std::vector<configuration::resource_change> drain_change(const configuration::resources& content,
                                                         const drain_command& command) {
    const catalog::resource_key key =
        catalog::make_key(catalog::resource_kind::pool, command.pool.value);
    const configuration::resource_key stored_key(key.value);
    const auto stored = content.find(stored_key);
    if (stored == content.end()) {
        return {};
    }
    return leaf::try_handle_all(
        [&]() -> leaf::result<std::vector<configuration::resource_change>> {
            catalog::catalog decoded;
            BOOST_LEAF_CHECK(catalog::put_resource(decoded, key, stored->second));
            catalog::pool& pool = decoded.pools.at(command.pool);
            set_drained(pool, command.engine, !command.undo);
            return std::vector<configuration::resource_change>{{stored_key, catalog::encode(pool)}};
        },
        []() { return std::vector<configuration::resource_change>(); });
}

bool is_final(const configuration::commit_step& step) {
    return std::holds_alternative<configuration::committed>(step) ||
           std::holds_alternative<configuration::already_committed>(step) ||
           std::holds_alternative<configuration::unchanged>(step) ||
           std::holds_alternative<configuration::revision_conflict>(step);
}

}  // namespace

runtime::task<configuration_result<change_outcome>> configuration_service::apply(
    apply_command command) {
    auto planned = plan(command.desired);
    if (!planned) {
        co_return planned.error();
    }
    configuration::commit_request request{command.operation, command.author, command.expected};
    auto desired = std::make_shared<const catalog::catalog>(std::move(command.desired));
    configuration::change_function make_change =
        [desired](const configuration::resources& content) {
            return changes_between(content, *desired);
        };
    co_return co_await change(std::move(request), std::move(make_change), command.time_left);
}

runtime::task<configuration_result<change_outcome>> configuration_service::drain(
    drain_command command) {
    if (!current_->pools.contains(command.pool)) {
        co_return configuration_error{
            configuration_error_code::not_found, "no pool is named " + command.pool.value, {}, {}};
    }
    configuration::commit_request request{command.operation, command.author, std::nullopt};
    configuration::change_function make_change =
        [command](const configuration::resources& content) {
            return drain_change(content, command);
        };
    co_return co_await change(std::move(request), std::move(make_change), command.time_left);
}

base::monotonic_time configuration_service::commit_deadline(
    std::optional<base::duration> time_left) const {
    base::duration limit = tunables_.commit_limit;
    if (time_left) {
        const base::duration response_time = std::min(tunables_.max_response_time, *time_left / 4);
        limit = std::min(limit, *time_left - response_time);
    }
    return ports_.scheduler.now() + limit;
}

runtime::task<configuration_result<change_outcome>> configuration_service::change(
    configuration::commit_request request, configuration::change_function make_change,
    std::optional<base::duration> time_left) {
    const base::monotonic_time deadline = commit_deadline(time_left);
    configuration::commit_process process(std::move(request), std::move(make_change),
                                          tunables_.log);
    configuration::commit_step step = process.start();
    platform::error last_failure{platform::error_code::unavailable,
                                 "other changes were committed first", std::nullopt};
    bool answer_lost = false;
    while (!is_final(step)) {
        if (ports_.scheduler.now() >= deadline) {
            co_return commit_error(last_failure, answer_lost);
        }
        const configuration::commit_step current = step;
        auto next = co_await perform_step(process, current);
        if (next) {
            step = std::move(*next);
            continue;
        }
        last_failure = next.error();
        answer_lost = answer_lost || last_failure.code == platform::error_code::answer_lost;
        const base::duration delay =
            last_failure.retry_after.value_or(tunables_.commit_retry_pause);
        const base::duration pause = jittered(delay);
        if (ports_.scheduler.now() + pause >= deadline) {
            co_return commit_error(last_failure, answer_lost);
        }
        co_await ports_.scheduler.sleep_for(pause);
        step = process.on_answer_lost();
    }
    if (const auto* done = std::get_if<configuration::committed>(&step)) {
        co_return finish_committed(done->added);
    }
    if (const auto* earlier = std::get_if<configuration::already_committed>(&step)) {
        const base::revision revision = earlier->revision;
        co_return co_await finish_repeated(revision);
    }
    if (const auto* same = std::get_if<configuration::unchanged>(&step)) {
        co_return change_outcome{same->revision, {}, false};
    }
    co_return conflict(std::get<configuration::revision_conflict>(step).head);
}

runtime::task<platform::result<configuration::commit_step>> configuration_service::perform_step(
    configuration::commit_process& process, configuration::commit_step step) {
    if (std::holds_alternative<configuration::read_head>(step)) {
        auto head = co_await journal_.read_head();
        if (!head) {
            co_return head.error();
        }
        co_return process.on_head(*head, replica_.held());
    }
    if (std::holds_alternative<configuration::catch_up>(step)) {
        auto pulled = co_await pull_from_table();
        if (!pulled) {
            co_return pulled.error();
        }
        co_return process.on_caught_up(replica_.held());
    }
    configuration::commit_transaction transaction =
        std::move(std::get<configuration::submit>(step).transaction);
    co_return co_await perform_submit(process, std::move(transaction));
}

runtime::task<platform::result<configuration::commit_step>> configuration_service::perform_submit(
    configuration::commit_process& process, configuration::commit_transaction transaction) {
    auto outcome = co_await journal_.write(std::move(transaction));
    if (!outcome) {
        co_return outcome.error();
    }
    if (const auto* rejection = std::get_if<write_conflict>(&*outcome)) {
        co_return process.on_conflict(rejection->head, replica_.held());
    }
    co_return process.on_committed();
}

change_outcome configuration_service::finish_committed(const configuration::change& added) {
    apply_steps(replica_.on_change(added));
    ports_.peers.push(added);
    if (!writing_objects_) {
        writing_objects_ = true;
        ports_.scheduler.spawn("configuration.objects", write_objects());
    }
    return {added.revision, differences_at(added.revision), false};
}

std::vector<catalog::difference> configuration_service::differences_at(
    base::revision revision) const {
    const auto steps = replica_.steps_after(base::revision(revision.value - 1));
    if (!steps || steps->empty()) {
        return {};
    }
    return to_catalog_differences(steps->front().differences);
}

runtime::task<configuration_result<change_outcome>> configuration_service::finish_repeated(
    base::revision revision) {
    if (replica_.revision() < revision) {
        auto pulled = co_await pull_from_table();
        if (!pulled) {
            observe_revision(revision);
        }
    }
    co_return change_outcome{revision, differences_at(revision), true};
}

}  // namespace ferryroad::router
