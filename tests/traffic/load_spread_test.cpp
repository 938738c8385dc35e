#include "router_fixture.hpp"

#include "endivelatch/base/hash.hpp"
#include "endivelatch/membership/load_table.hpp"

#include <cmath>
#include <map>
#include <queue>
#include <random>

/// Load patterns of large fleets with few requests per router. A router receives an answer of a
/// given target, and with it a load report, only every 12 to 40 s. Without the reports that routers
/// share with each other, their load estimates would be outdated.
namespace endivelatch {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Size and traffic of a fleet.
struct load_pattern {
    std::size_t routers = 0;
    int targets = 0;
    double requests_per_second = 0;
    duration work{}; ///< Until the first byte.
    /// Of the answer after the first byte: from the minimum, with a mean of half the spread more.
    duration min_answer_time{};
    std::uint64_t answer_time_spread_ms = 0;
    bool is_plain_service = false;
    bool has_hot_prompts = false;
    std::size_t prompts = 500;
    duration exchange_period{}; ///< Each router exchanges loads with two others in this time.
    duration measured_from{};   ///< Time from which requests count.
    duration length{};
};

/// As many routers as targets.
constexpr load_pattern even_fleet{.routers = 87,
                                  .targets = 90,
                                  .requests_per_second = 600,
                                  .work = milliseconds{20},
                                  .min_answer_time = milliseconds{200},
                                  .answer_time_spread_ms = 1'000,
                                  .has_hot_prompts = true,
                                  .exchange_period = milliseconds{400},
                                  .measured_from = seconds{20},
                                  .length = seconds{40}};
/// The first seconds of a day: no router has any load report.
constexpr load_pattern starting_fleet{.routers = 295,
                                      .targets = 240,
                                      .requests_per_second = 1'326,
                                      .work = milliseconds{20},
                                      .min_answer_time = milliseconds{100},
                                      .answer_time_spread_ms = 600,
                                      .prompts = 1'500,
                                      .exchange_period = milliseconds{200},
                                      .measured_from = seconds{1},
                                      .length = seconds{6}};
/// Few targets of a plain service that all routers call often. Its queues change completely in the
/// time that a load report takes to all routers.
constexpr load_pattern plain_service{.routers = 295,
                                     .targets = 6,
                                     .requests_per_second = 463,
                                     .work = milliseconds{25},
                                     .min_answer_time = milliseconds{1},
                                     .answer_time_spread_ms = 10,
                                     .is_plain_service = true,
                                     .exchange_period = milliseconds{200},
                                     .measured_from = seconds{5},
                                     .length = seconds{20}};

/// The frequency of a prompt is its rank to the power of minus this.
constexpr double prompt_skew = 0.3;
/// A target counts as overloaded above twice the mean load + 3. At most `max_overloaded_share` of
/// the requests may reach an overloaded target.
constexpr double load_bound = 2;
constexpr double overload_allowance = 3;
constexpr double max_overloaded_share = 0.03;
constexpr int exchanges_per_period = 2;

/// Simulates a fleet of routers that select targets, with or without sharing load reports.
class fleet_simulation {
public:
    fleet_simulation(const load_pattern& pattern, bool shares_loads)
        : pattern_{pattern}, shares_loads_{shares_loads}, routers_{pattern.routers}
    {
        std::vector<registered_target> all;
        for (int n = 1; n <= pattern_.targets; ++n) {
            auto target = make_target(n);
            target.slots = pattern_.is_plain_service ? service_slots : target.slots;
            target.domain = domain_of(static_cast<std::size_t>(n));
            all.push_back(std::move(target));
            in_flight_[all.back().id] = 0;
        }
        for (auto& it : routers_) {
            it.targets.replace(all, clock_.now());
        }
    }

    /// Simulates the traffic. Returns the share of the counted requests that reached an overloaded
    /// target.
    double simulate()
    {
        const auto begins_at = clock_.now();
        auto next_exchange = begins_at;
        std::exponential_distribution<double> gap{pattern_.requests_per_second};
        while (clock_.now() < begins_at + pattern_.length) {
            clock_.advance(
                std::chrono::duration_cast<duration>(std::chrono::duration<double>{gap(random_)}));
            advance_running_requests();
            if (shares_loads_ && clock_.now() >= next_exchange) {
                next_exchange += pattern_.exchange_period;
                exchange_loads();
            }
            send(clock_.now() > begins_at + pattern_.measured_from);
        }
        return static_cast<double>(overloaded_) / static_cast<double>(counted_);
    }

private:
    /// A router with its target table and the load reports it has received.
    struct simulated_router {
        target_table targets;
        load_table loads;
        work_estimate work;
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

    /// Returns the failure domain of a router or target; there are as many as targets of a service.
    static domain_id domain_of(std::size_t number)
    {
        return domain_id{"domain-" + std::to_string(number % domain_count)};
    }

    void send(bool counts)
    {
        const auto number = random_.below(pattern_.routers);
        auto& router = routers_[number];
        prompt_info prompt;
        prompt.tokens = 2'400;
        const auto part = random_part();
        prompt.parts = {{part, 2'000}, {1'000'000 + ++last_request_, 400}};
        choice_query query;
        query.pool = pool_id{"pool"};
        query.prompt = pattern_.is_plain_service ? nullptr : &prompt;
        query.objective = milliseconds{500};
        query.request_hash = mix_bits(last_request_);
        query.routers = static_cast<std::uint32_t>(pattern_.routers);
        query.work = router.work;
        query.domain = domain_of(number);
        const auto result = choose_target(query, router.targets, clock_.now());
        if (!std::holds_alternative<chosen_target>(result)) {
            return;
        }
        auto& target = *std::get<chosen_target>(result).target;
        const auto& id = target.registration().id;
        const double mean = static_cast<double>(running_requests_.size()) / pattern_.targets;
        counted_ += counts ? 1 : 0;
        overloaded_ += counts && in_flight_[id] > load_bound * mean + overload_allowance ? 1 : 0;
        ++in_flight_[id];
        const sent_request sent{clock_.now(), 0, 400};
        target.add_request(sent);
        target.record_prompt(prompt.parts, clock_.now());
        running_requests_.push({clock_.now() + pattern_.work, number, id, sent, false});
    }

    std::uint64_t random_part()
    {
        auto fraction = random_.fraction();
        if (pattern_.has_hot_prompts) {
            // The product of fractions makes some prompts a hundred times as frequent as others.
            fraction *= random_.fraction() * random_.fraction();
        }
        else {
            fraction = std::pow(fraction, 1 / (1 - prompt_skew));
        }
        return static_cast<std::uint64_t>(fraction * static_cast<double>(pattern_.prompts));
    }

    void advance_running_requests()
    {
        while (!running_requests_.empty() && running_requests_.top().ends_at <= clock_.now()) {
            auto it = running_requests_.top();
            running_requests_.pop();
            auto& router = routers_[it.router];
            auto& target = *router.targets.find(it.target);
            if (it.has_begun) {
                if (pattern_.is_plain_service) {
                    router.work.record_service_time(clock_.now() - it.sent.at);
                }
                target.remove_request();
                --in_flight_[it.target];
                continue;
            }
            // The head of the answer contains the load report.
            target.record_first_byte(it.sent, router.work.prefill_tokens_per_ms(), clock_.now());
            target.update_load(in_flight_[it.target], clock_.now());
            router.loads.update(target.key(), in_flight_[it.target], clock_.now());
            it.has_begun = true;
            it.ends_at += pattern_.min_answer_time +
                          milliseconds{random_.below(pattern_.answer_time_spread_ms)};
            running_requests_.push(it);
        }
    }

    void exchange_loads()
    {
        for (auto& it : routers_) {
            for (int n = 0; n < exchanges_per_period; ++n) {
                auto& other = routers_[random_.below(pattern_.routers)];
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

    static constexpr std::uint32_t service_slots = 6;
    static constexpr std::size_t domain_count = 6;

    load_pattern pattern_;
    bool shares_loads_;
    manual_clock clock_;
    random_source random_{20261204};
    std::vector<simulated_router> routers_;
    std::map<target_id, std::uint32_t> in_flight_;
    std::priority_queue<running_request> running_requests_;
    std::uint64_t last_request_ = 0;
    std::uint64_t counted_ = 0;
    std::uint64_t overloaded_ = 0;
};

TEST(load_spread, few_requests_reach_overloaded_targets)
{
    EXPECT_LE((fleet_simulation{even_fleet, true}.simulate()), max_overloaded_share);
}

TEST(load_spread, without_loads_from_other_routers_too_many_would)
{
    EXPECT_GT((fleet_simulation{even_fleet, false}.simulate()), max_overloaded_share);
}

TEST(load_spread, few_requests_reach_overloaded_targets_in_the_first_seconds)
{
    EXPECT_LE((fleet_simulation{starting_fleet, true}.simulate()), max_overloaded_share);
}

TEST(load_spread, few_requests_reach_overloaded_targets_of_a_plain_service)
{
    EXPECT_LE((fleet_simulation{plain_service, true}.simulate()), max_overloaded_share);
}

} // namespace
} // namespace endivelatch
