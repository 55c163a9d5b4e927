#include "ferryroad/router/node_status.hpp"

namespace ferryroad::router {

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
    all.routers.push_back(own_status());
    all.engines = directory_.status();
    return all;
}

}  // namespace ferryroad::router
