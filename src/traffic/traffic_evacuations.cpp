#include "endivelatch/traffic/traffic_router.hpp"

#include "endivelatch/base/hash.hpp"

#include <utility>

namespace endivelatch {

namespace {

/// Formats the names of failure domains, separated by commas, for logs.
std::string format_domains(const std::set<domain_id>& domains)
{
    std::string out;
    for (const auto& it : domains) {
        out += (out.empty() ? "" : ",") + it.str();
    }
    return out;
}

} // namespace

void traffic_router::on(const evacuations_changed& e)
{
    has_awaited_evacuations_ = true;
    if (e.domains != evacuated_domains_) {
        evacuated_domains_ = e.domains;
        targets_.set_evacuated(e.domains, now_);
        update_evacuation_gauges();
        log(log_event{"evacuations_in_force"}
                .add("domains", format_domains(e.domains))
                .add("targets", targets_.evacuated_count())
                .add("revision", e.revision));
    }
    accept_early_requests();
}

bool traffic_router::awaits_evacuations() const
{
    return settings_.reads_evacuations && !has_awaited_evacuations_;
}

/// Starts the wait for the evacuations once everything else that serving requires is loaded.
void traffic_router::start_evacuations_wait()
{
    if (has_routes_and_targets() && awaits_evacuations() && !evacuations_due_at_) {
        evacuations_due_at_ = now_ + max_evacuations_wait;
    }
}

/// Accepts requests without knowing the evacuations if the wait for them has ended.
void traffic_router::end_evacuations_wait()
{
    if (!evacuations_due_at_ || now_ < *evacuations_due_at_ || !awaits_evacuations()) {
        return;
    }
    has_awaited_evacuations_ = true;
    log(log_event{"evacuations_unknown"}.add("ms", max_evacuations_wait.count() / 1'000));
    accept_early_requests();
}

void traffic_router::update_evacuation_gauges()
{
    if (!settings_.reads_evacuations) {
        return;
    }
    metrics_.set("evacuated_domains", static_cast<std::int64_t>(evacuated_domains_.size()));
    metrics_.set("evacuated_targets", static_cast<std::int64_t>(targets_.evacuated_count()));
}

/// Returns a time that differs between requests. How long the evacuation lasts is not known.
duration traffic_router::evacuated_retry_after(const exchange& it)
{
    const auto range =
        static_cast<std::uint64_t>((max_evacuated_retry_after - min_evacuated_retry_after).count());
    const auto hash = mix_bits(stable_hash(it.request->id.str()));
    return min_evacuated_retry_after + duration{static_cast<duration::rep>(hash % range)};
}

} // namespace endivelatch
