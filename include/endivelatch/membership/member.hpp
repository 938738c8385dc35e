#pragma once

#include "endivelatch/base/ids.hpp"

#include <cstdint>
#include <string>
#include <string_view>

namespace endivelatch {

/// An IP address and port, such as `127.0.0.1:7400`.
struct endpoint {
    std::string address;
    std::uint16_t port = 0;

    friend auto operator<=>(const endpoint&, const endpoint&) = default;
};

/// Status of a router as seen by its peers.
enum class member_status {
    alive,   ///< Responds to probes and accepts requests.
    suspect, ///< Failed a probe; counted as live until the suspicion times out.
    leaving, ///< Announced a planned stop; accepts no new requests.
    dead,    ///< Stopped or unreachable.
};

/// Returns the status as written in logs and responses, such as `leaving`.
std::string_view to_string(member_status status);

/// Identity, status and addresses of a router.
struct member {
    router_id id;
    incarnation run;
    domain_id domain;
    region_id region;
    member_status status = member_status::alive;
    endpoint gossip; ///< UDP.
    endpoint link;   ///< TCP, between routers.
    endpoint http;   ///< TCP, for clients and operators.

    friend auto operator<=>(const member&, const member&) = default;
};

} // namespace endivelatch
