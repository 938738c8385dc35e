#include "endivelatch/core/entry_list.hpp"

#include "endivelatch/base/hash.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <tuple>

namespace endivelatch {

namespace {

enum class nearness { preferred, same_domain, same_region, other };

nearness nearness_of(const member& router, const member& self,
                     const std::optional<router_id>& preferred)
{
    if (preferred == router.id) {
        return nearness::preferred;
    }
    if (router.domain == self.domain) {
        return nearness::same_domain;
    }
    return router.region == self.region ? nearness::same_region : nearness::other;
}

bool takes_callers(const member& router)
{
    return router.status == member_status::alive;
}

} // namespace

std::vector<member> entry_routers(const std::vector<member>& routers, const member& self,
                                  const std::optional<router_id>& preferred,
                                  std::uint64_t caller_hash, std::size_t max_addresses)
{
    struct ranked {
        std::tuple<nearness, std::uint64_t> rank;
        const member* router;
    };
    std::vector<ranked> found;
    for (const auto& it : routers) {
        if (takes_callers(it)) {
            const auto spread = combine_hashes(caller_hash, stable_hash(it.id.str()));
            found.push_back({{nearness_of(it, self, preferred), spread}, &it});
        }
    }
    const auto n = std::min(max_addresses, found.size());
    std::partial_sort(found.begin(), found.begin() + static_cast<std::ptrdiff_t>(n), found.end(),
                      [](const ranked& a, const ranked& b) { return a.rank < b.rank; });
    std::vector<member> chosen;
    for (std::size_t i = 0; i < n; ++i) {
        chosen.push_back(*found[i].router);
    }
    return chosen;
}

std::string entry_response_body(const std::vector<member>& routers, duration lifetime)
{
    nlohmann::json addresses = nlohmann::json::array();
    for (const auto& it : routers) {
        addresses.push_back(it.http.address + ':' + std::to_string(it.http.port));
    }
    const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(lifetime).count();
    return nlohmann::json{{"addresses", addresses}, {"lifetime_ms", ms}}.dump();
}

} // namespace endivelatch
