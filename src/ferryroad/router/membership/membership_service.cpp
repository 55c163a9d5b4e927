#include "ferryroad/router/membership/membership_service.hpp"

#include "ferryroad/core/prefix/ownership.hpp"
#include "ferryroad/peer/codec.hpp"
#include "ferryroad/runtime/log.hpp"

#include <algorithm>
#include <utility>
#include <variant>

namespace ferryroad::router::membership {

namespace {

namespace detection = coordination::membership;

constexpr std::string_view component = "router.membership";
/// The detector raises its incarnation to refute a suspicion. The process's incarnation is stored
/// above these bits, so that a refutation is not mistaken for a restart.
constexpr unsigned refutation_bits = 20;

base::incarnation gossip_incarnation(base::incarnation process) {
    return base::incarnation(process.value << refutation_bits);
}

base::incarnation process_of(base::incarnation gossip) {
    return base::incarnation(gossip.value >> refutation_bits);
}

detection::member_update member_of(const membership_identity& identity) {
    return {identity.name,
            identity.peer_address,
            identity.zone,
            identity.region,
            gossip_incarnation(identity.process),
            detection::member_state::alive};
}

router_state state_of(detection::member_state state) {
    switch (state) {
        case detection::member_state::alive:
            return router_state::alive;
        case detection::member_state::suspect:
            return router_state::suspect;
        case detection::member_state::leaving:
            return router_state::leaving;
        case detection::member_state::dead:
            break;
    }
    return router_state::dead;
}

const char* text_of(detection::member_state state) {
    switch (state) {
        case detection::member_state::alive:
            return "alive";
        case detection::member_state::suspect:
            return "suspect";
        case detection::member_state::leaving:
            return "leaving";
        case detection::member_state::dead:
            break;
    }
    return "dead";
}

router_info info_of(const detection::member_update& update) {
    return {update.name,
            update.address,
            update.zone,
            update.region,
            process_of(update.incarnation),
            state_of(update.state)};
}

bool may_own_keys(const router_info& router) {
    return router.state == router_state::alive || router.state == router_state::suspect;
}

void log_change(const detection::member_update& member) {
    runtime::log(runtime::log_level::info, component, "state of a router changed",
                 {{"peer", member.name.value},
                  {"state", text_of(member.state)},
                  {"address", member.address.to_string()},
                  {"incarnation", std::to_string(process_of(member.incarnation).value)}});
}

}  // namespace

membership_service::membership_service(const membership_identity& identity,
                                       std::vector<base::endpoint> seeds, membership_ports ports,
                                       membership_settings settings)
    : ports_(ports),
      settings_(settings),
      detector_(settings.detector, member_of(identity), std::move(seeds), ports.scheduler.random(),
                ports.scheduler.now()) {
    ports_.transport.on_datagram(
        [this](const base::endpoint& from, std::string_view bytes) { receive(from, bytes); });
    ports_.dispatcher.handle<peer::join_request>(
        [this](const peer::call_sender& /*sender*/, const peer::join_request& request) {
            return answer_join(request);
        });
}

membership_service::~membership_service() {
    ports_.transport.on_datagram(nullptr);
}

void membership_service::start() {
    ports_.scheduler.spawn(component, run());
}

void membership_service::leave() {
    detector_.leave();
    for (const auto& listener : change_listeners_) {
        listener();
    }
}

void membership_service::stop() {
    if (!stopped_) {
        stopped_ = true;
        perform(detector_.depart());
    }
}

void membership_service::gossip_engine_leaving(const base::engine_name& engine,
                                               base::incarnation process) {
    detector_.spread({engine.value, process.value, true}, ports_.scheduler.now());
}

runtime::task<void> membership_service::run() {
    while (!stopped_) {
        co_await ports_.scheduler.sleep_until(detector_.next_tick());
        if (stopped_) {
            break;
        }
        if (listeners_.revision_in_force) {
            detector_.set_revision(listeners_.revision_in_force().value);
        }
        perform(detector_.on_tick(ports_.scheduler.now()));
    }
}

runtime::task<void> membership_service::join(detection::request_join request) {
    peer::call_body body = std::move(request.message);
    const auto answer = co_await ports_.dispatcher.call<peer::join_answer>(
        request.seed, std::move(body), settings_.join_timeout);
    if (!answer) {
        ++counters_.joins_failed;
        co_return;
    }
    perform(detector_.on_join_answer(*answer, ports_.scheduler.now()));
}

void membership_service::receive(const base::endpoint& from, std::string_view bytes) {
    const auto message = peer::decode_datagram(bytes);
    if (!message) {
        ++counters_.datagrams_malformed;
        return;
    }
    perform(detector_.on_datagram(*message, from, ports_.scheduler.now()));
}

peer::join_answer membership_service::answer_join(const peer::join_request& request) {
    auto outcome = detector_.on_join_request(request, ports_.scheduler.now());
    perform(std::move(outcome.todo));
    return std::move(outcome.answer);
}

void membership_service::perform(detection::actions actions) {
    bool changed = false;
    for (detection::action& action : actions) {
        if (auto* datagram = std::get_if<detection::send_datagram>(&action)) {
            ports_.transport.send(datagram->to, peer::encode(datagram->message));
        } else if (auto* join_order = std::get_if<detection::request_join>(&action)) {
            ports_.scheduler.spawn(component, join(std::move(*join_order)));
        } else if (const auto* change = std::get_if<detection::member_changed>(&action)) {
            log_change(change->member);
            changed = true;
        } else if (const auto* seen = std::get_if<detection::revision_seen>(&action)) {
            if (listeners_.revision_seen) {
                listeners_.revision_seen(base::revision(seen->revision));
            }
        } else if (const auto* learned = std::get_if<detection::notice_learned>(&action)) {
            if (listeners_.engine_leaving && learned->notice.raised) {
                listeners_.engine_leaving(base::engine_name(learned->notice.subject),
                                          base::incarnation(learned->notice.version));
            }
        }
    }
    if (changed) {
        for (const auto& listener : change_listeners_) {
            listener();
        }
    }
}

router_info membership_service::self() const {
    return info_of(detector_.self());
}

std::vector<router_info> membership_service::live() const {
    std::vector<router_info> routers = known();
    std::erase_if(routers, [](const router_info& router) { return !may_own_keys(router); });
    return routers;
}

std::vector<router_info> membership_service::known() const {
    std::vector<router_info> routers{self()};
    for (const auto& [name, record] : detector_.members().records()) {
        routers.push_back(info_of(record.update));
    }
    return routers;
}

std::optional<key_owners> membership_service::owners_of(std::uint64_t key) const {
    const std::vector<router_info> routers = live();
    std::vector<base::router_name> names;
    names.reserve(routers.size());
    for (const router_info& router : routers) {
        names.push_back(router.name);
    }
    const auto positions = core::prefix::owners_of(base::piece_hash(key), names);
    if (!positions) {
        return std::nullopt;
    }
    key_owners owners{routers[positions->owner], std::nullopt};
    if (positions->standby) {
        owners.standby = routers[*positions->standby];
    }
    return owners;
}

bool membership_service::owned_here(std::uint64_t key) const {
    const auto owners = owners_of(key);
    return owners && owners->owner.name == detector_.self().name;
}

void membership_service::on_change(std::function<void()> listener) {
    change_listeners_.push_back(std::move(listener));
}

}  // namespace ferryroad::router::membership
