#pragma once

#include "endivelatch/base/ids.hpp"
#include "endivelatch/base/time.hpp"
#include "endivelatch/http1/request_reader.hpp"
#include "endivelatch/traffic/request.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

/// What the operator sets for the traffic: routes, pools, organisations and limits.
namespace endivelatch {

/// Version of the operator's traffic configuration; grows with each change.
using traffic_version = number_id<struct traffic_version_tag>;

/// A pool with its share of a route's requests.
struct weighted_pool {
    pool_id pool;
    std::uint32_t weight = 0;
};

/// Where requests of one host below one path go, and on which terms.
struct traffic_route {
    std::string name;
    std::string host;        ///< In lowercase.
    std::string path_prefix; ///< Begins and ends with a slash.
    request_kind kind = request_kind::unsafe;
    std::vector<weighted_pool> pools;
    duration timeout{};           ///< Longest time that a caller is kept waiting.
    duration latency_objective{}; ///< For the answer, or the first event of a stream.
    duration gap_objective{};     ///< Longest pause between events of a stream.
    std::uint32_t priority = 0;   ///< 0 is the most urgent.
    std::uint32_t max_attempts = 1;
    bool is_anonymous = false; ///< Needs no key.
    bool is_resumable = false; ///< A stream may go on at another target.

    /// Returns whether a request may run more than once.
    bool is_idempotent() const
    {
        return kind == request_kind::safe || (kind == request_kind::streaming && is_resumable);
    }

    /// Returns the pool for a request; the same hash always gives the same pool.
    const pool_id& pool_for(std::uint64_t request_hash) const;
};

/// Properties of the model engines of a pool.
struct engine_info {
    std::uint32_t slots = 0;
    std::uint64_t cache_tokens = 0; ///< Tokens that running requests and cached parts share.
};

/// Targets that serve the same requests.
struct traffic_pool {
    pool_id id;
    std::string health_path;
    std::uint32_t max_connections = 0; ///< Of one target, from all routers together.
    std::optional<engine_info> engine;
};

/// An organisation with the keys of its callers.
struct traffic_organisation {
    organisation_id id;
    std::vector<std::string> keys;
    std::optional<std::uint32_t> priority; ///< Goes before the priority of a route.
};

/// Bounds on what callers send and how long they may take.
struct caller_limits {
    request_limits sizes;
    duration header_timeout{std::chrono::seconds{3}};
    duration idle_timeout{std::chrono::seconds{15}};
};

/// One version of the configuration. Immutable once it is in force.
class traffic_configuration {
public:
    /// Takes the parts; later routes of the same host and prefix are ignored.
    traffic_configuration(traffic_version version, std::vector<traffic_route>&& routes,
                          std::vector<traffic_pool>&& pools,
                          std::vector<traffic_organisation>&& organisations, caller_limits limits);

    /// Returns the version.
    traffic_version version() const { return version_; }

    /// Returns the route with the longest prefix of the path, or null.
    const traffic_route* find_route(std::string_view host, std::string_view path) const;

    /// Returns the pool, or null.
    const traffic_pool* find_pool(const pool_id& id) const;

    /// Returns the organisation that holds the key, or null.
    const traffic_organisation* find_organisation(const std::string& key) const;

    /// Returns whether requests need a key at all.
    bool has_organisations() const { return !organisations_.empty(); }

    /// Returns the bounds on callers.
    const caller_limits& limits() const { return limits_; }

    /// Returns the number of routes.
    std::size_t route_count() const { return route_count_; }

private:
    traffic_version version_;
    /// Routes of each host, by prefix.
    std::map<std::string, std::map<std::string, traffic_route, std::less<>>, std::less<>> hosts_;
    std::map<pool_id, traffic_pool> pools_;
    std::vector<traffic_organisation> organisations_;
    std::unordered_map<std::string, std::size_t> keys_; ///< Positions of organisations.
    caller_limits limits_;
    std::size_t route_count_ = 0;
};

} // namespace endivelatch
