#pragma once

#include "endivelatch/base/ids.hpp"
#include "endivelatch/base/time.hpp"
#include "endivelatch/http1/request_reader.hpp"
#include "endivelatch/traffic/cold_start.hpp"
#include "endivelatch/traffic/request.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

/// Traffic configuration that the operator sets: routes, pools, organisations and limits.
namespace endivelatch {

/// Version of the traffic configuration; increases with each change.
using traffic_version = number_id<struct traffic_version_tag>;

/// A pool and its weight in the traffic split of a route.
struct weighted_pool {
    pool_id pool;
    std::uint32_t weight = 0;
};

/// Maps requests for a host and path prefix to pools, with timeouts, priority and retry rules.
struct traffic_route {
    std::string name;
    std::string host;        ///< In lowercase.
    std::string path_prefix; ///< Starts and ends with a slash.
    request_kind kind = request_kind::unsafe;
    std::vector<weighted_pool> pools;
    duration timeout{};           ///< Upper bound on the time to the end of the answer.
    duration latency_objective{}; ///< Target time to the answer, or to the first event of a stream.
    duration gap_objective{};     ///< Target for the longest gap between events of a stream.
    std::uint32_t priority = 0;   ///< 0 is the most urgent.
    std::uint32_t max_attempts = 1;
    bool is_anonymous = false; ///< Requests need no API key.
    bool is_resumable = false; ///< A broken stream may be resumed at another target.

    /// Returns whether a request may be executed more than once.
    bool is_idempotent() const
    {
        return kind == request_kind::safe || (kind == request_kind::streaming && is_resumable);
    }

    /// Selects a pool by weight. The same hash always selects the same pool.
    const pool_id& pool_for(std::uint64_t request_hash) const;
};

/// Capacity of each model engine in a pool.
struct engine_info {
    std::uint32_t slots = 0;
    /// KV cache size, shared by running requests and cached prompt parts.
    std::uint64_t cache_tokens = 0;
};

/// A group of targets that serve the same requests.
struct traffic_pool {
    pool_id id;
    std::string health_path;
    std::uint32_t max_connections = 0; ///< Per target, over all routers.
    std::optional<engine_info> engine;
    std::optional<cold_start_limit> cold_start; ///< Nothing if targets need no protection.
};

/// An organisation and the API keys of its callers.
struct traffic_organisation {
    organisation_id id;
    std::vector<std::string> keys;
    std::optional<std::uint32_t> priority; ///< Overrides the priority of the route.
};

/// Size limits and timeouts for caller connections.
struct caller_limits {
    request_limits sizes;
    duration header_timeout{std::chrono::seconds{3}};
    duration idle_timeout{std::chrono::seconds{15}};
};

/// An immutable version of the traffic configuration.
class traffic_configuration {
public:
    /// Builds the lookup tables. Of several routes with the same host and prefix, the first is
    /// used. `lists_organisations` tells that requests need a key even if there is no organisation.
    traffic_configuration(traffic_version version, std::vector<traffic_route>&& routes,
                          std::vector<traffic_pool>&& pools,
                          std::vector<traffic_organisation>&& organisations, caller_limits limits,
                          bool lists_organisations = false);

    /// Returns the version of this configuration.
    traffic_version version() const { return version_; }

    /// Returns the route with the longest prefix that matches the path, or null.
    const traffic_route* find_route(std::string_view host, std::string_view path) const;

    /// Returns the pool with the given id, or null.
    const traffic_pool* find_pool(const pool_id& id) const;

    /// Returns all pools.
    const std::map<pool_id, traffic_pool>& pools() const { return pools_; }

    /// Returns the organisation that owns the API key, or null.
    const traffic_organisation* find_organisation(const std::string& key) const;

    /// Returns whether requests need an API key, except on anonymous routes.
    bool needs_keys() const { return lists_organisations_ || !organisations_.empty(); }

    /// Returns the limits for caller connections.
    const caller_limits& limits() const { return limits_; }

    /// Returns the number of routes.
    std::size_t route_count() const { return route_count_; }

private:
    traffic_version version_;
    /// Routes by host, then by path prefix.
    std::map<std::string, std::map<std::string, traffic_route, std::less<>>, std::less<>>
        routes_by_host_;
    std::map<pool_id, traffic_pool> pools_;
    std::vector<traffic_organisation> organisations_;
    /// Index into `organisations_` by API key.
    std::unordered_map<std::string, std::size_t> organisation_by_key_;
    caller_limits limits_;
    bool lists_organisations_ = false;
    std::size_t route_count_ = 0;
};

} // namespace endivelatch
