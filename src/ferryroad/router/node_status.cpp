#include "ferryroad/router/node_status.hpp"

namespace ferryroad::router {

namespace {

member_health health_of(membership::router_state state) {
    switch (state) {
        case membership::router_state::alive:
            return member_health::alive;
        case membership::router_state::suspect:
            return member_health::suspect;
        case membership::router_state::leaving:
            return member_health::leaving;
        case membership::router_state::dead:
            break;
    }
    return member_health::dead;
}

router_status status_of(const membership::router_info& router) {
    router_status status;
    status.name = router.name;
    status.address = router.address;
    status.zone = router.zone;
    status.health = health_of(router.state);
    status.incarnation = router.process;
    return status;
}

}  // namespace

router_status node_status::own_status() const {
    router_status own;
    own.name = identity_.name;
    own.address = identity_.peer_address;
    own.zone = identity_.zone;
    own.health = ready_.stopping() ? member_health::leaving : member_health::alive;
    own.revision = configuration_.current()->revision;
    own.incarnation = identity_.process;
    return own;
}

system_status node_status::status() const {
    system_status all;
    all.self = identity_.name;
    all.ready = ready_.ready();
    for (const membership::router_info& router : routers_.known()) {
        const bool own = router.name == identity_.name;
        all.routers.push_back(own ? own_status() : status_of(router));
    }
    all.engines = directory_.status();
    return all;
}

}  // namespace ferryroad::router
