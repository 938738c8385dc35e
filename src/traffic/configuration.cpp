#include "endivelatch/traffic/configuration.hpp"

#include <algorithm>
#include <numeric>
#include <utility>

namespace endivelatch {

std::string_view to_string(request_kind kind)
{
    switch (kind) {
    case request_kind::safe:
        return "safe";
    case request_kind::unsafe:
        return "unsafe";
    case request_kind::streaming:
        return "streaming";
    }
    return "unknown";
}

const pool_id& traffic_route::pool_for(std::uint64_t request_hash) const
{
    const auto total =
        std::accumulate(pools.begin(), pools.end(), std::uint64_t{0},
                        [](std::uint64_t sum, const auto& it) { return sum + it.weight; });
    if (total == 0) {
        return pools.front().pool;
    }
    auto remaining_weight = request_hash % total;
    for (const auto& it : pools) {
        if (remaining_weight < it.weight) {
            return it.pool;
        }
        remaining_weight -= it.weight;
    }
    return pools.back().pool;
}

traffic_configuration::traffic_configuration(traffic_version version,
                                             std::vector<traffic_route>&& routes,
                                             std::vector<traffic_pool>&& pools,
                                             std::vector<traffic_organisation>&& organisations,
                                             caller_limits limits, bool lists_organisations)
    : version_{version}, organisations_{std::move(organisations)}, limits_{limits},
      lists_organisations_{lists_organisations}
{
    for (auto& it : routes) {
        auto& prefixes = routes_by_host_[it.host];
        auto prefix = it.path_prefix;
        route_count_ += prefixes.try_emplace(std::move(prefix), std::move(it)).second ? 1 : 0;
    }
    for (auto& it : pools) {
        auto id = it.id;
        pools_.try_emplace(std::move(id), std::move(it));
    }
    for (std::size_t i = 0; i < organisations_.size(); ++i) {
        for (const auto& key : organisations_[i].keys) {
            organisation_by_key_.try_emplace(key, i);
        }
    }
}

const traffic_route* traffic_configuration::find_route(std::string_view host,
                                                       std::string_view path) const
{
    const auto host_routes = routes_by_host_.find(host);
    if (host_routes == routes_by_host_.end()) {
        return nullptr;
    }
    // Prefixes end with a slash, so only the substrings of the path up to a slash can match.
    for (auto slash = path.rfind('/'); slash != std::string_view::npos;
         slash = slash == 0 ? std::string_view::npos : path.rfind('/', slash - 1)) {
        const auto it = host_routes->second.find(path.substr(0, slash + 1));
        if (it != host_routes->second.end()) {
            return &it->second;
        }
    }
    return nullptr;
}

const traffic_pool* traffic_configuration::find_pool(const pool_id& id) const
{
    const auto it = pools_.find(id);
    return it == pools_.end() ? nullptr : &it->second;
}

const traffic_organisation* traffic_configuration::find_organisation(const std::string& key) const
{
    const auto it = organisation_by_key_.find(key);
    return it == organisation_by_key_.end() ? nullptr : &organisations_[it->second];
}

} // namespace endivelatch
