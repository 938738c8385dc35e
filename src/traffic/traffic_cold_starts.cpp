#include "endivelatch/traffic/traffic_router.hpp"

namespace endivelatch {

/// Applies the cold start limits of the configuration's pools.
void traffic_router::update_cold_rules()
{
    std::map<pool_id, cold_rule> rules;
    if (configuration_ != nullptr) {
        for (const auto& [id, pool] : configuration_->pools()) {
            const auto rule =
                pool.cold_start
                    ? make_cold_rule(*pool.cold_start, settings_.cold_overage, settings_.cold_slack)
                    : std::nullopt;
            if (rule) {
                rules.emplace(id, *rule);
            }
        }
    }
    targets_.set_cold_rules(rules, now_);
}

/// Logs that the target has turned cold, if it just has.
void traffic_router::report_cold_start(const target_state& target)
{
    const auto& cold = target.cold();
    if (cold.cold_since(now_) != now_) {
        return;
    }
    metrics_.add("cold_starts");
    log(log_event{"target_cold"}
            .add("target", target.registration().id)
            .add("left_ms", cold.left(now_).count() / 1'000)
            .add("share", cold.share()));
}

} // namespace endivelatch
