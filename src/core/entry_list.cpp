#include "endivelatch/core/entry_list.hpp"

#include "endivelatch/base/hash.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <tuple>

namespace endivelatch {

namespace {

enum class proximity { preferred, same_domain, same_region, other };

proximity proximity_of(const member& router, const member& self,
                       const std::optional<router_id>& preferred)
{
    if (preferred == router.id) {
        return proximity::preferred;
    }
    if (router.domain == self.domain) {
        return proximity::same_domain;
    }
    return router.region == self.region ? proximity::same_region : proximity::other;
}

bool accepts_callers(const member& router)
{
    return router.status == member_status::alive;
}

} // namespace

std::vector<member> entry_routers(const std::vector<member>& routers, const member& self,
                                  const std::optional<router_id>& preferred,
                                  std::uint64_t caller_hash, std::size_t max_addresses)
{
    struct candidate {
        std::tuple<proximity, std::uint64_t> rank;
        const member* router;
    };
    std::vector<candidate> candidates;
    for (const auto& router : routers) {
        if (accepts_callers(router)) {
            const auto hash = combine_hashes(caller_hash, stable_hash(router.id.str()));
            candidates.push_back({{proximity_of(router, self, preferred), hash}, &router});
        }
    }
    const auto n = std::min(max_addresses, candidates.size());
    std::partial_sort(candidates.begin(), candidates.begin() + static_cast<std::ptrdiff_t>(n),
                      candidates.end(),
                      [](const candidate& a, const candidate& b) { return a.rank < b.rank; });
    std::vector<member> chosen;
    for (std::size_t i = 0; i < n; ++i) {
        chosen.push_back(*candidates[i].router);
    }
    return chosen;
}

std::string entry_response_body(const std::vector<member>& routers, duration lifetime)
{
    nlohmann::json addresses = nlohmann::json::array();
    for (const auto& router : routers) {
        addresses.push_back(router.http.address + ':' + std::to_string(router.http.port));
    }
    const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(lifetime).count();
    return nlohmann::json{{"addresses", addresses}, {"lifetime_ms", ms}}.dump();
}

} // namespace endivelatch
