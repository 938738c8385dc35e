#include "traffic/router_fixture.hpp"

#include "endivelatch/base/hash.hpp"

#include <array>
#include <cstdio>
#include <deque>
#include <map>

namespace endivelatch {
namespace {

using namespace std::chrono_literals;

constexpr int target_count = 3;
constexpr std::uint32_t slots = 6;
constexpr duration service_time = 30ms;
constexpr duration objective = 150ms;
constexpr std::array<const char*, 2> hosts{"urgent", "other"};

/// A plain service behind several routers, each of which gets an equal part of the load and learns
/// the load reports of the others after a time.
class plain_service_fleet {
public:
    plain_service_fleet(std::size_t routers, bool waits)
    {
        std::vector<traffic_route> routes{make_route(hosts[0], request_kind::unsafe, 1),
                                          make_route(hosts[1], request_kind::unsafe, 1)};
        routes[1].priority = 2;
        for (auto& it : routes) {
            it.latency_objective = objective;
        }
        traffic_pool pool;
        pool.id = pool_id{"pool"};
        const auto configuration = std::make_shared<const traffic_configuration>(
            traffic_version{1}, std::move(routes), std::vector<traffic_pool>{pool},
            std::vector<traffic_organisation>{}, caller_limits{});
        traffic_settings settings;
        settings.waits_for_room = waits;
        routers_.resize(routers, traffic_router{settings});
        for (std::size_t i = 0; i < routers; ++i) {
            dispatch(i, configuration_changed{configuration});
            dispatch(i, targets_changed{{make_target(1), make_target(2), make_target(3)}, 1});
            dispatch(i, fleet_changed{static_cast<std::uint32_t>(routers), {}});
        }
    }

    /// Plays a load relative to what the targets can do. Half of the requests are urgent.
    void play(double load, duration length)
    {
        const auto arrivals_per_ms =
            load * target_count * slots /
            std::chrono::duration<double, std::milli>{service_time}.count();
        for (const auto end = clock_.now() + length; clock_.now() < end;) {
            clock_.advance(1ms);
            end_requests();
            deliver_reports();
            for (std::size_t i = 0; i < routers_.size(); ++i) {
                if (routers_.at(i).next_timer() <= clock_.now()) {
                    dispatch(i, timer_due{});
                }
            }
            for (double n = arrivals_per_ms; n > random_.fraction(); n -= 1) {
                arrive();
            }
        }
    }

    /// Returns the share of the requests of a host that were answered within the objective.
    double share_in_time(std::size_t host) const
    {
        return static_cast<double>(in_time_.at(host)) / arrived_.at(host);
    }

    /// Returns the answers within the objective, relative to what the targets can do.
    double use(duration length) const
    {
        return (in_time_[0] + in_time_[1]) * static_cast<double>(service_time.count()) /
               (target_count * slots * static_cast<double>(length.count()));
    }

private:
    struct running {
        std::size_t router = 0;
        exchange_attempt key;
        caller_attempt_id id;
        time_point ends{};
    };
    struct origin {
        std::size_t host = 0;
        time_point arrived{};
    };
    struct report {
        time_point at{};
        std::size_t from = 0;
        received_load load;
    };

    void dispatch(std::size_t router, traffic_event&& event)
    {
        for (const auto& it : routers_.at(router).handle(std::move(event), clock_.now())) {
            if (const auto* attempt = std::get_if<start_attempt>(&it)) {
                auto& queue = targets_[attempt->parameters.expected_target];
                const auto start =
                    queue.size() < slots ? clock_.now() : queue[queue.size() - slots].ends;
                queue.push_back({router, attempt->key, attempt->request->id, start + service_time});
            }
            else if (const auto* load = std::get_if<share_load>(&it)) {
                reports_.push_back({clock_.now() + report_delay,
                                    router,
                                    {load->target, load->in_flight, clock_.now()}});
            }
        }
    }

    void arrive()
    {
        caller_request request;
        const auto host = random_.below(hosts.size());
        const exchange_number number{++last_number_};
        request.id = caller_attempt_id{"r" + std::to_string(last_number_)};
        request.method = "POST";
        request.target = "/p/x";
        request.host = hosts.at(host);
        callers_[request.id] = {host, clock_.now()};
        ++arrived_.at(host);
        dispatch(random_.below(routers_.size()), request_arrived{number, std::move(request)});
    }

    void end_requests()
    {
        for (auto& [id, queue] : targets_) {
            while (!queue.empty() && queue.front().ends <= clock_.now()) {
                const auto it = queue.front();
                queue.pop_front();
                target_answer answer;
                answer.status = 200;
                answer.is_signed = true;
                answer.answered_attempt = it.id;
                answer.load = target_load{static_cast<std::uint32_t>(queue.size()), 0, slots, {}};
                dispatch(it.router, answer_begun{it.key, answer});
                dispatch(it.router, answer_finished{it.key});
                const auto& caller = callers_.at(it.id);
                in_time_.at(caller.host) += clock_.now() - caller.arrived <= objective ? 1 : 0;
            }
        }
    }

    void deliver_reports()
    {
        for (; !reports_.empty() && reports_.front().at <= clock_.now(); reports_.pop_front()) {
            for (std::size_t i = 0; i < routers_.size(); ++i) {
                if (i != reports_.front().from) {
                    dispatch(i, loads_received{{reports_.front().load}});
                }
            }
        }
    }

    static constexpr duration report_delay = 200ms;

    manual_clock clock_;
    random_source random_{7};
    std::vector<traffic_router> routers_;
    std::map<target_id, std::deque<running>> targets_;
    std::map<caller_attempt_id, origin> callers_;
    std::deque<report> reports_;
    std::array<int, hosts.size()> arrived_{};
    std::array<int, hosts.size()> in_time_{};
    std::uint64_t last_number_ = 0;
};

// Load: 2.5 times the usual at a plain service that has lost one of its targets, which is 1.2 times
// what the others can do, before one router and before 40, each of which sees a fortieth.
TEST(waiting_fleet, a_plain_service_under_pressure_answers_in_time_what_it_can)
{
    constexpr duration length = 4s;
    for (const std::size_t routers : {1U, 40U}) {
        std::array<double, 2> uses{};
        for (const bool waits : {false, true}) {
            plain_service_fleet fleet{routers, waits};
            fleet.play(1.2, length);
            uses.at(waits ? 1 : 0) = fleet.use(length);
            std::printf("%zu routers, waits %d: use %.3f, urgent %.3f, other %.3f\n", routers,
                        waits ? 1 : 0, fleet.use(length), fleet.share_in_time(0),
                        fleet.share_in_time(1));
            EXPECT_GE(fleet.share_in_time(0), fleet.share_in_time(1) - 0.05);
        }
        EXPECT_GE(uses[1], 0.9);
        EXPECT_GT(uses[1], uses[0]);
    }
}

// Load: the usual one at half of what the targets can do. Waiting must not cost anything then.
TEST(waiting_fleet, a_calm_plain_service_answers_everything_in_time)
{
    plain_service_fleet fleet{40, true};
    fleet.play(0.5, 4s);
    EXPECT_GT(fleet.share_in_time(0), 0.98);
    EXPECT_GT(fleet.share_in_time(1), 0.98);
}

} // namespace
} // namespace endivelatch
