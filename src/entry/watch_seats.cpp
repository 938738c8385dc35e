#include "endivelatch/entry/watch_seats.hpp"

#include "endivelatch/base/hash.hpp"
#include "endivelatch/routing/rendezvous.hpp"

#include <algorithm>
#include <span>

namespace endivelatch {

std::vector<member> choose_watch_seats(const std::vector<member>& live)
{
    if (live.size() <= most_watching_all) {
        return live;
    }
    const auto seats = std::max(fewest_watch_seats, live.size() / routers_per_seat);
    const auto place = stable_hash("watch seats");
    const std::span<const member> nodes{live};
    std::vector<member> chosen;
    for (const auto it : rendezvous_top(place, nodes, seats,
                                        [](const member& m) { return stable_hash(m.id.str()); })) {
        chosen.push_back(live[it]);
    }
    return chosen;
}

} // namespace endivelatch
