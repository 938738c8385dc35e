#include "router_fixture.hpp"

#include "endivelatch/base/hash.hpp"
#include "endivelatch/membership/load_table.hpp"

#include <map>
#include <queue>
#include <random>

/// Load pattern: as many routers as targets, with few requests per router. A router receives an
/// answer of a given target, and with it a load report, only every 12 s. Without the reports that
/// routers share with each other, their load estimates would be outdated.
namespace endivelatch {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t router_count = 87;
constexpr int target_count = 90;
constexpr double requests_per_second = 600;
constexpr std::size_t prompt_count = 500;
/// A target counts as overloaded above twice the mean load + 3. At most `max_overloaded_share` of
/// the requests may reach an overloaded target.
constexpr double load_bound = 2;
constexpr double overload_allowance = 3;
constexpr double max_overloaded_share = 0.03;
/// Each router exchanges packets with two others in each gossip period.
constexpr duration exchange_period = milliseconds{400};
constexpr int exchanges_per_period = 2;

/// Simulates a fleet of routers that select targets, with or without sharing load reports.
class fleet_simulation {
public:
    explicit fleet_simulation(bool shares_loads) : shares_loads_{shares_loads}
    {
        std::vector<registered_target> all;
        for (int n = 1; n <= target_count; ++n) {
            all.push_back(make_target(n));
            in_flight_[all.back().id] = 0;
        }
        for (auto& it : routers_) {
            it.targets.replace(all, clock_.now());
        }
    }

    /// Simulates traffic for the given time. Returns the share of requests in the second half that
    /// reached an overloaded target.
    double simulate(duration length)
    {
        const auto begins_at = clock_.now();
        auto next_exchange = begins_at;
        std::exponential_distribution<double> gap{requests_per_second};
        while (clock_.now() < begins_at + length) {
            clock_.advance(
                std::chrono::duration_cast<duration>(std::chrono::duration<double>{gap(random_)}));
            advance_running_requests();
            if (shares_loads_ && clock_.now() >= next_exchange) {
                next_exchange += exchange_period;
                exchange_loads();
            }
            send(clock_.now() > begins_at + length / 2);
        }
        return static_cast<double>(overloaded_) / static_cast<double>(counted_);
    }

private:
    /// A router with its target table and the load reports it has received.
    struct simulated_router {
        target_table targets;
        load_table loads;
    };

    /// A request that is executed by a target.
    struct running_request {
        time_point ends_at{};
        std::size_t router = 0;
        target_id target;
        sent_request sent;
        bool has_begun = false;

        bool operator<(const running_request& other) const { return ends_at > other.ends_at; }
    };

    void send(bool counts)
    {
        const auto number = random_.below(router_count);
        auto& router = routers_[number];
        prompt_info prompt;
        prompt.tokens = 2'400;
        // The product of fractions makes some prompts a few times as frequent as others.
        const auto part =
            random_.fraction() * random_.fraction() * random_.fraction() * prompt_count;
        prompt.parts = {{static_cast<std::uint64_t>(part), 2'000},
                        {1'000'000 + ++last_request_, 400}};
        choice_query query;
        query.pool = pool_id{"pool"};
        query.prompt = &prompt;
        query.objective = milliseconds{500};
        query.request_hash = mix_bits(last_request_);
        query.routers = router_count;
        const auto result = choose_target(query, router.targets, clock_.now());
        auto& target = *std::get<chosen_target>(result).target;
        const auto& id = target.registration().id;
        const double mean = static_cast<double>(running_requests_.size()) / target_count;
        counted_ += counts ? 1 : 0;
        overloaded_ += counts && in_flight_[id] > load_bound * mean + overload_allowance ? 1 : 0;
        ++in_flight_[id];
        const sent_request sent{clock_.now(), 0, 400};
        target.add_request(sent);
        target.record_prompt(prompt.parts, clock_.now());
        running_requests_.push({clock_.now() + milliseconds{20}, number, id, sent, false});
    }

    void advance_running_requests()
    {
        while (!running_requests_.empty() && running_requests_.top().ends_at <= clock_.now()) {
            auto it = running_requests_.top();
            running_requests_.pop();
            auto& router = routers_[it.router];
            auto& target = *router.targets.find(it.target);
            if (it.has_begun) {
                target.remove_request();
                --in_flight_[it.target];
                continue;
            }
            // The head of the answer contains the load report.
            target.record_first_byte(it.sent, clock_.now());
            target.update_load(in_flight_[it.target], clock_.now());
            router.loads.update(target.key(), in_flight_[it.target], clock_.now());
            it.has_begun = true;
            it.ends_at += milliseconds{200 + random_.below(1'000)};
            running_requests_.push(it);
        }
    }

    void exchange_loads()
    {
        for (auto& it : routers_) {
            for (int n = 0; n < exchanges_per_period; ++n) {
                auto& other = routers_[random_.below(router_count)];
                send_loads(it, other);
                send_loads(other, it);
            }
        }
    }

    void send_loads(simulated_router& from, simulated_router& to)
    {
        for (const auto& it : from.loads.newest(load_table::max_reports_per_packet, clock_.now())) {
            const auto reported_at = clock_.now() - it.age;
            if (to.loads.update(it.target, it.in_flight, reported_at)) {
                to.targets.find(it.target)->update_load(it.in_flight, reported_at);
            }
        }
    }

    bool shares_loads_;
    manual_clock clock_;
    random_source random_{20261204};
    std::vector<simulated_router> routers_{router_count};
    std::map<target_id, std::uint32_t> in_flight_;
    std::priority_queue<running_request> running_requests_;
    std::uint64_t last_request_ = 0;
    std::uint64_t counted_ = 0;
    std::uint64_t overloaded_ = 0;
};

TEST(load_spread, few_requests_reach_overloaded_targets)
{
    EXPECT_LE(fleet_simulation{true}.simulate(seconds{40}), max_overloaded_share);
}

TEST(load_spread, without_loads_from_other_routers_too_many_would)
{
    EXPECT_GT(fleet_simulation{false}.simulate(seconds{40}), max_overloaded_share);
}

} // namespace
} // namespace endivelatch
