#include "ferryroad/daemon/daemon_settings.hpp"

#include "ferryroad/core/routing/policy.hpp"

namespace ferryroad::daemon {

settings::schema describe(daemon_settings& target) {
    using settings::presence;
    using settings::range;
    settings::schema schema("ferryroad", "Routes language-model requests to engines.");
    schema.add("name", "This router's name, unique over all routers.", target.name,
               presence::required);
    schema.add("zone", "Zone that this machine stands in.", target.zone);
    schema.add("region", "Region that the zone belongs to.", target.region);
    schema.add("caller_listen", "Address for callers' HTTP.", target.caller_listen,
               presence::required);
    schema.add("operator_listen", "Address for operators' gRPC.", target.operator_listen,
               presence::required);
    schema.add("peer_listen", "Address for other routers, UDP and TCP.", target.peer_listen,
               presence::required);
    schema.add("seeds", "Peer addresses of routers to join.", target.seeds);
    schema.add("platform", "Address of the platform's services.", target.platform,
               presence::required);
    const auto names = core::routing::policy_names();
    schema.add_choice("policy", "Routing policy; all but cost are baselines for comparison.",
                      target.policy, {names.begin(), names.end()});
    schema.add("body_bytes", "Longest request body taken, in bytes.", target.body_bytes,
               range{1024, 256.0 * 1024 * 1024});
    schema.add("connections",
               "Callers' connections at most; never more than a third of the process's file "
               "descriptors.",
               target.connections, range{1, 65536});
    schema.add("memory_megabytes",
               "Memory limit of the process in megabytes; 0: the machine's memory. An eighth of it "
               "is for requests, a sixteenth for answers, an eighth for calls of other routers.",
               target.memory_megabytes, range{0, 1e9});
    schema.add("stop_grace_ms", "On a planned stop, how long requests at work may go on.",
               target.stop_grace);
    schema.add_choice("log_level", "Lowest level logged.", target.log_level,
                      {"debug", "info", "warning", "error"});
    return schema;
}

}  // namespace ferryroad::daemon
