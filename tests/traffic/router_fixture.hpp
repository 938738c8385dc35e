#pragma once

#include "endivelatch/traffic/traffic_router.hpp"

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <gtest/gtest.h>

namespace endivelatch {

inline constexpr duration test_timeout = std::chrono::seconds{2};
inline constexpr duration test_objective = std::chrono::milliseconds{100};

/// Returns a route for the given host and kind of request.
inline traffic_route make_route(const std::string& host, request_kind kind,
                                std::uint32_t max_attempts, bool is_resumable = false)
{
    traffic_route route;
    route.name = host;
    route.host = host;
    route.path_prefix = "/p/";
    route.kind = kind;
    route.pools = {{pool_id{"pool"}, 1}};
    route.timeout = test_timeout;
    route.latency_objective = test_objective;
    route.max_attempts = max_attempts;
    route.is_resumable = is_resumable;
    return route;
}

/// Returns a configuration with the routes `safe`, `unsafe`, `stream` and `resumable`.
inline std::shared_ptr<const traffic_configuration> make_configuration(std::uint64_t version = 1)
{
    std::vector<traffic_route> routes{make_route("safe", request_kind::safe, 2),
                                      make_route("unsafe", request_kind::unsafe, 1),
                                      make_route("stream", request_kind::streaming, 1),
                                      make_route("resumable", request_kind::streaming, 2, true)};
    traffic_pool pool;
    pool.id = pool_id{"pool"};
    return std::make_shared<const traffic_configuration>(
        traffic_version{version}, std::move(routes), std::vector<traffic_pool>{pool},
        std::vector<traffic_organisation>{{organisation_id{"org"}, {"key"}, 3}}, caller_limits{});
}

/// Returns the target `t<n>` with a unique address.
inline registered_target make_target(int n)
{
    registered_target target;
    target.id = target_id{"t" + std::to_string(n)};
    target.pool = pool_id{"pool"};
    target.address = {"10.0.0." + std::to_string(n), 80};
    target.slots = 6;
    return target;
}

/// A traffic router with a manual clock. Keeps the effects of the last event.
class router_fixture : public testing::Test {
protected:
    explicit router_fixture(int targets = 4)
    {
        dispatch(configuration_changed{make_configuration()});
        targets_changed known;
        for (int n = 1; n <= targets; ++n) {
            known.targets.push_back(make_target(n));
        }
        dispatch(std::move(known));
    }

    /// Dispatches an event to the router and stores its effects.
    void dispatch(traffic_event&& event) { effects = router.handle(std::move(event), clock.now()); }

    /// Advances the clock and dispatches `timer_due`.
    void advance(duration by)
    {
        clock.advance(by);
        dispatch(timer_due{});
    }

    /// Dispatches a new request and returns its number.
    exchange_number arrive(const std::string& host, std::optional<duration> timeout = {})
    {
        caller_request request;
        const exchange_number number{++last_number};
        request.id = caller_attempt_id{"r" + std::to_string(last_number)};
        request.method = "POST";
        request.target = "/p/x?y";
        request.host = host;
        request.api_key = "key";
        request.timeout = timeout;
        dispatch(request_arrived{number, std::move(request)});
        return number;
    }

    /// Dispatches a new request whose prompt has the given parts.
    exchange_number arrive_with_parts(const std::string& host,
                                      const std::vector<std::uint64_t>& parts)
    {
        caller_request request;
        const exchange_number number{++last_number};
        request.id = caller_attempt_id{"r" + std::to_string(last_number)};
        request.method = "POST";
        request.target = "/p/x";
        request.host = host;
        request.api_key = "key";
        request.prompt.emplace();
        for (const auto id : parts) {
            request.prompt->parts.push_back({id, 100});
            request.prompt->tokens += 100;
        }
        dispatch(request_arrived{number, std::move(request)});
        return number;
    }

    /// Returns the last effect of the given type from the last event, or null.
    template <class Effect>
    const Effect* find() const
    {
        const Effect* found = nullptr;
        for (const auto& it : effects) {
            const auto* match = std::get_if<Effect>(&it);
            found = match == nullptr ? found : match;
        }
        return found;
    }

    /// Returns a successful answer to the last request.
    target_answer success() const
    {
        target_answer answer;
        answer.status = 200;
        answer.is_signed = true;
        answer.answered_attempt = caller_attempt_id{"r" + std::to_string(last_number)};
        answer.headers = {{"X-First", "1"}};
        return answer;
    }

    /// Returns an answer that reports the last request as not run.
    target_answer not_run() const
    {
        target_answer answer;
        answer.status = 503;
        answer.answered_attempt = caller_attempt_id{"r" + std::to_string(last_number)};
        answer.states_not_run = true;
        return answer;
    }

    /// Returns the attempt started by the last event.
    exchange_attempt started() const
    {
        const auto* it = find<start_attempt>();
        return it == nullptr ? exchange_attempt{} : it->key;
    }

    manual_clock clock;
    traffic_router router{traffic_settings{}};
    traffic_effects effects;
    std::uint64_t last_number = 0;
};

} // namespace endivelatch
