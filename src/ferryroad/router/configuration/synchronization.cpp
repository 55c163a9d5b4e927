/// The part of the configuration service that loads the configuration and keeps it up to date.
#include "ferryroad/router/configuration/configuration_service.hpp"
#include "ferryroad/router/configuration/row_codec.hpp"
#include "ferryroad/runtime/log.hpp"

#include <boost/leaf/handle_errors.hpp>

#include <algorithm>
#include <optional>
#include <utility>

namespace ferryroad::router {

namespace {

namespace configuration = coordination::configuration;
namespace leaf = boost::leaf;

constexpr const char* snapshot_object = "configuration-snapshot";

/// @return nothing if the text can't be decoded.
std::optional<configuration::snapshot> read_snapshot(std::string_view text) {
    using outcome = std::optional<configuration::snapshot>;
    return leaf::try_handle_all(
        [&]() -> leaf::result<outcome> {
            BOOST_LEAF_AUTO(decoded, decode_snapshot(text));
            return outcome(std::move(decoded));
        },
        []() { return outcome(); });
}

void log_platform(std::string_view message, const platform::error& failure) {
    runtime::log(runtime::log_level::warning, "router.configuration", message,
                 {{"error", failure.message}});
}

}  // namespace

runtime::task<void> configuration_service::follow_peers() {
    unsigned unconfirmed_pulls = 0;
    while (!stopped_) {
        peer_confirmed_last_ = co_await pull_from_peer();
        unconfirmed_pulls = confirmed() ? 0 : unconfirmed_pulls + 1;
        const bool fast = unconfirmed_pulls > 0 && unconfirmed_pulls <= tunables_.fast_peer_pulls;
        const base::duration pause =
            jittered(fast ? tunables_.fast_peer_pull_period : tunables_.peer_pull_period);
        co_await ports_.scheduler.sleep_for(pause);
    }
}

runtime::task<bool> configuration_service::pull_from_peer() {
    const base::monotonic_time requested_at = ports_.scheduler.now();
    const base::revision from = replica_.revision();
    auto answer = co_await ports_.peers.pull(from);
    if (!answer) {
        co_return false;
    }
    const bool peer_confirmed = answer->confirmed;
    const base::revision head = answer->head;
    apply_steps(replica_.on_pull_answer(std::move(*answer)));
    if (peer_confirmed) {
        record_head(head, requested_at);
    }
    co_return peer_confirmed;
}

runtime::task<platform::result<void>> configuration_service::pull_from_table() {
    const base::monotonic_time requested_at = ports_.scheduler.now();
    auto head = co_await journal_.read_head();
    if (!head) {
        co_return head.error();
    }
    record_head(head->head.revision, requested_at);
    const auto plan = configuration::plan_read(replica_.revision(), head->head, tunables_.log);
    if (plan) {
        auto answer = co_await journal_.read(*plan);
        if (!answer) {
            co_return answer.error();
        }
        apply_steps(replica_.on_pull_answer(std::move(*answer)));
    }
    co_return platform::result<void>();
}

runtime::task<void> configuration_service::follow_table() {
    const double first_fraction = ports_.scheduler.random().unit();
    const base::duration first_pause =
        base::from_seconds(first_fraction * base::to_seconds(tunables_.first_table_read));
    co_await ports_.scheduler.sleep_for(first_pause);
    base::monotonic_time due = ports_.scheduler.now() + jittered(tunables_.table_poll_period);
    base::duration backoff = tunables_.first_table_read;
    while (!stopped_) {
        base::duration pause = tunables_.unconfirmed_table_poll_period;
        const bool peers_confirm = confirmed() && peer_confirmed_last_;
        if (!peers_confirm || ports_.scheduler.now() >= due) {
            due = ports_.scheduler.now() + jittered(tunables_.table_poll_period);
            auto pulled = co_await pull_from_table();
            if (pulled) {
                backoff = tunables_.first_table_read;
            } else {
                log_platform("can't read the configuration from the table; retrying after a pause",
                             pulled.error());
                backoff = std::min(2 * backoff, tunables_.max_backoff);
                pause = std::max(backoff, pulled.error().retry_after.value_or(backoff));
            }
        }
        const base::duration jittered_pause = jittered(pause);
        co_await ports_.scheduler.sleep_for(jittered_pause);
    }
}

runtime::task<void> configuration_service::load_object() {
    const base::duration pause = jittered(tunables_.first_object_read);
    co_await ports_.scheduler.sleep_for(pause);
    if (stopped_ || replica_.revision().value > 0) {
        co_return;
    }
    auto bytes = co_await ports_.objects.get(snapshot_object);
    if (!bytes) {
        co_return;
    }
    if (auto snapshot = read_snapshot(*bytes)) {
        apply_steps(replica_.on_snapshot(std::move(*snapshot)));
    }
}

runtime::task<void> configuration_service::catch_up() {
    for (unsigned attempt = 0; !stopped_ && attempt < tunables_.peer_pull_attempts; ++attempt) {
        const base::duration pause = jittered(tunables_.pull_delay);
        co_await ports_.scheduler.sleep_for(pause);
        if (!replica_.needs_pull()) {
            break;
        }
        co_await pull_from_peer();
    }
    if (!stopped_ && replica_.needs_pull()) {
        auto pulled = co_await pull_from_table();
        if (!pulled) {
            log_platform(
                "the held revision is outdated, and neither a peer nor the table returned the "
                "newer one",
                pulled.error());
        }
    }
    catching_up_ = false;
}

runtime::task<void> configuration_service::write_objects() {
    base::revision stored;
    while (!stopped_ && stored < replica_.revision()) {
        stored = replica_.revision();
        std::string bytes = encode_snapshot(replica_.held());
        auto put = co_await ports_.objects.put(snapshot_object, std::move(bytes));
        if (!put) {
            log_platform("can't write the snapshot to the object store; retrying after a pause",
                         put.error());
            stored = base::revision();
        }
        const base::duration pause = jittered(tunables_.object_write_period);
        co_await ports_.scheduler.sleep_for(pause);
    }
    writing_objects_ = false;
}

}  // namespace ferryroad::router
