#include "endivelatch/traffic/traffic_router.hpp"

#include "endivelatch/base/hash.hpp"

#include <algorithm>
#include <utility>

namespace endivelatch {

void traffic_router::accept(exchange_number number, caller_request&& request)
{
    exchange it;
    if (!admit(number, request, it)) {
        return;
    }
    it.request = std::make_shared<const caller_request>(std::move(request));
    auto& stored = exchanges_.emplace(number, std::move(it)).first->second;
    set_timer(number, stored, stored.expires_at);
    start_next_attempt(number, stored);
}

void traffic_router::queue_early_request(exchange_number number, caller_request&& request)
{
    if (early_requests_.size() >= max_early_requests) {
        refuse_arrival(number, request, 503, "too many requests before the first configuration",
                       unknown_retry_after);
        return;
    }
    early_requests_.push_back({number, std::move(request), now_ + early_request_wait});
}

void traffic_router::accept_early_requests()
{
    start_evacuations_wait();
    if (!is_ready()) {
        return;
    }
    for (auto& it : std::exchange(early_requests_, {})) {
        accept(it.exchange, std::move(it.request));
    }
}

void traffic_router::refuse_expired_early_requests()
{
    while (!early_requests_.empty() && early_requests_.front().refuse_at <= now_) {
        const auto it = std::move(early_requests_.front());
        early_requests_.pop_front();
        refuse_arrival(it.exchange, it.request, 503, "configuration or targets not known yet",
                       unknown_retry_after);
    }
}

void traffic_router::refuse_arrival(exchange_number number, const caller_request& request,
                                    int status, std::string_view reason,
                                    std::optional<duration> retry_after)
{
    log(log_event{"request_refused"}
            .add("request", request.id)
            .add("status", status)
            .add("reason", reason)
            .add("host", request.host)
            .add("path", request.path())
            .add("config", configuration_ ? configuration_->version().value() : 0));
    metrics_.add("requests_refused", 1, "status=\"" + std::to_string(status) + "\"");
    effects_.emplace_back(refuse_request{number, status, retry_after, std::string{reason}});
}

bool traffic_router::outlives_stop(const exchange& it) const
{
    if (!stop_ || it.expires_at <= stop_->exits_at) {
        return false;
    }
    const auto share = std::chrono::duration_cast<duration>((stop_->exits_at - stop_started_at_) *
                                                            accepting_share);
    return now_ - stop_started_at_ > std::min(stop_grace_period, share);
}

bool traffic_router::admit(exchange_number number, const caller_request& request, exchange& it)
{
    const auto* route = configuration_->find_route(request.host, request.path());
    if (route == nullptr) {
        refuse_arrival(number, request, 404, "no route");
        return false;
    }
    const traffic_organisation* organisation = nullptr;
    if (request.api_key) {
        organisation = configuration_->find_organisation(*request.api_key);
    }
    const bool needs_key = configuration_->needs_keys() && !route->is_anonymous;
    if (needs_key && organisation == nullptr) {
        refuse_arrival(number, request, 401, request.api_key ? "unknown key" : "no key");
        return false;
    }
    it.route = *route;
    it.priority = route->priority;
    if (organisation != nullptr && needs_key) {
        it.organisation = organisation->id;
        it.priority = organisation->priority.value_or(route->priority);
    }
    it.pool = route->pool_for(stable_hash(request.id.str()));
    const auto* pool = configuration_->find_pool(it.pool);
    it.max_connections = pool == nullptr ? 0 : pool->max_connections;
    it.arrived_at = now_;
    it.expires_at = now_ + std::min(request.timeout.value_or(route->timeout), route->timeout);
    it.last_event = request.last_event_id;
    if (outlives_stop(it)) {
        refuse_arrival(number, request, 503, "the router stops", stop_retry_after);
        return false;
    }
    budget_of(it.pool).record_request(now_);
    return true;
}

} // namespace endivelatch
