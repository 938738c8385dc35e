#include "endivelatch/admission/organisation_limiter.hpp"

#include <algorithm>

namespace endivelatch {

void organisation_limiter::set_cap(const organisation_id& organisation, std::uint32_t cap)
{
    entries_[organisation].cap = cap;
}

void organisation_limiter::advance(entry& e, time_point now) const
{
    const auto window = now.time_since_epoch() / report_delay_;
    if (window == e.window) {
        return;
    }
    e.previous_starts = window == e.window + 1 ? e.starts : 0;
    e.starts = 0;
    e.window = window;
}

time_point organisation_limiter::next_window(time_point now) const
{
    return time_point{(now.time_since_epoch() / report_delay_ + 1) * report_delay_};
}

bool organisation_limiter::may_start(const organisation_id& organisation, time_point now)
{
    auto& e = entries_[organisation];
    advance(e, now);
    const auto cap = e.cap != 0 ? e.cap : default_cap_;
    const auto known = e.own + e.remote;
    if (known >= cap) {
        return false;
    }
    const auto recent_starts = e.starts + e.previous_starts;
    const auto free_before = cap - known + std::min(recent_starts, e.own);
    const auto share =
        std::max<std::uint32_t>(1, free_before / std::max<std::uint32_t>(1, routers_));
    return recent_starts < share || routers_ <= 1;
}

void organisation_limiter::started(const organisation_id& organisation, time_point now)
{
    auto& e = entries_[organisation];
    advance(e, now);
    ++e.starts;
    ++e.own;
}

void organisation_limiter::finished(const organisation_id& organisation)
{
    auto& e = entries_[organisation];
    e.own -= std::min<std::uint32_t>(e.own, 1);
}

bool organisation_limiter::remote_usage(const router_id& router,
                                        const organisation_id& organisation,
                                        std::uint32_t in_flight)
{
    auto& e = entries_[organisation];
    auto& known = e.by_router[router];
    const auto has_decreased = in_flight < known;
    e.remote = e.remote - known + in_flight;
    known = in_flight;
    if (in_flight == 0) {
        e.by_router.erase(router);
    }
    return has_decreased;
}

void organisation_limiter::forget_router(const router_id& router)
{
    for (auto& [organisation, e] : entries_) {
        const auto found = e.by_router.find(router);
        if (found == e.by_router.end()) {
            continue;
        }
        e.remote -= found->second;
        e.by_router.erase(found);
    }
}

std::uint32_t organisation_limiter::own_usage(const organisation_id& organisation) const
{
    const auto found = entries_.find(organisation);
    return found == entries_.end() ? 0 : found->second.own;
}

std::uint32_t organisation_limiter::known_usage(const organisation_id& organisation) const
{
    const auto found = entries_.find(organisation);
    return found == entries_.end() ? 0 : found->second.own + found->second.remote;
}

std::vector<organisation_usage> organisation_limiter::own_usages() const
{
    std::vector<organisation_usage> usages;
    for (const auto& [organisation, e] : entries_) {
        if (e.own != 0) {
            usages.push_back({organisation, e.own});
        }
    }
    return usages;
}

} // namespace endivelatch
