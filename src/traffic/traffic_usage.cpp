#include "endivelatch/traffic/traffic_router.hpp"

namespace endivelatch {

void traffic_router::on(const usage_received& e)
{
    for (auto& [pool, usage] : usages_) {
        if (key_of(pool) == e.usage.pool) {
            usage.merge(e.usage.uses, now_);
            metrics_.add("usage_reports_heard");
        }
    }
}

usage_report traffic_router::next_usage_report(time_point now)
{
    if (usages_.empty() || now - usage_reported_at_ < usage_report_interval) {
        return {};
    }
    usage_reported_at_ = now;
    auto next = usages_.upper_bound(last_reported_usage_);
    next = next == usages_.end() ? usages_.begin() : next;
    last_reported_usage_ = next->first;
    return {key_of(next->first), next->second.report(now)};
}

} // namespace endivelatch
