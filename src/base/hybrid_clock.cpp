#include "endivelatch/base/hybrid_clock.hpp"

#include <algorithm>

namespace endivelatch {

hybrid_time hybrid_clock::local(wall_time wall)
{
    return received(wall, hybrid_time{});
}

hybrid_time hybrid_clock::received(wall_time wall, const hybrid_time& remote)
{
    const hybrid_time here{wall.time_since_epoch().count(), 0};
    const auto known = std::max(last_, remote);
    last_ = here.wall_us > known.wall_us ? here : hybrid_time{known.wall_us, known.counter + 1};
    return last_;
}

} // namespace endivelatch
