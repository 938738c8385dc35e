#include "router_fixture.hpp"

#include "endivelatch/base/hash.hpp"
#include "endivelatch/membership/load_table.hpp"

#include <map>
#include <queue>
#include <random>

/// Load pattern: many routers with few requests each before as many targets. A target's answers
/// come to a router every 12 s; what it knows beyond them it hears from other routers.
namespace endivelatch {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t router_count = 87;
constexpr int target_count = 90;
constexpr double requests_per_second = 600;
constexpr std::size_t prompt_count = 500;
/// Above twice the mean + 3 a target counts as overloaded; few requests may reach one.
constexpr double load_bound = 2;
constexpr double load_allowance_of_rule = 3;
constexpr double most_overloaded_share = 0.03;
/// Each router exchanges packets with two others in each period of the membership.
constexpr duration exchange_period = milliseconds{400};
constexpr int exchanges = 2;

/// A fleet of routers that choose targets, with or without passing loads on.
class spread_model {
public:
    explicit spread_model(bool shares_loads) : shares_loads_{shares_loads}
    {
        std::vector<registered_target> all;
        for (int n = 1; n <= target_count; ++n) {
            all.push_back(make_target(n));
            held_[all.back().id] = 0;
        }
        for (auto& it : routers_) {
            it.targets.replace(all, clock_.now());
        }
    }

    /// Plays some seconds of traffic; returns the share of requests that reached an overloaded
    /// target in the second half.
    double play(duration length)
    {
        const auto begins_at = clock_.now();
        auto next_exchange = begins_at;
        std::exponential_distribution<double> gap{requests_per_second};
        while (clock_.now() < begins_at + length) {
            clock_.advance(
                std::chrono::duration_cast<duration>(std::chrono::duration<double>{gap(random_)}));
            end_runs();
            if (shares_loads_ && clock_.now() >= next_exchange) {
                next_exchange += exchange_period;
                exchange_loads();
            }
            send(clock_.now() > begins_at + length / 2);
        }
        return static_cast<double>(overloaded_) / static_cast<double>(counted_);
    }

private:
    /// One router with what it knows.
    struct router_model {
        target_table targets;
        load_table loads;
    };

    /// A request that runs at a target.
    struct run {
        time_point ends_at{};
        std::size_t router = 0;
        target_id target;
        sent_request sent;
        bool has_begun = false;

        bool operator<(const run& other) const { return ends_at > other.ends_at; }
    };

    void send(bool counts)
    {
        const auto number = random_.below(router_count);
        auto& router = routers_[number];
        prompt_facts prompt;
        prompt.tokens = 2'400;
        // The product makes some prompts a few times as frequent as others.
        const auto part =
            random_.fraction() * random_.fraction() * random_.fraction() * prompt_count;
        prompt.parts = {{static_cast<std::uint64_t>(part), 2'000}, {1'000'000 + ++last_, 400}};
        choice_query query;
        query.pool = pool_id{"pool"};
        query.prompt = &prompt;
        query.objective = milliseconds{500};
        query.request_hash = mix_bits(last_);
        query.routers = router_count;
        const auto made = choose_target(query, router.targets, clock_.now());
        auto& target = *std::get<chosen_target>(made).target;
        const auto& id = target.facts().id;
        const double mean = static_cast<double>(runs_.size()) / target_count;
        counted_ += counts ? 1 : 0;
        overloaded_ += counts && held_[id] > load_bound * mean + load_allowance_of_rule ? 1 : 0;
        ++held_[id];
        const sent_request sent{clock_.now(), 0, 400};
        target.sent(sent);
        target.remember(prompt.parts, clock_.now());
        runs_.push({clock_.now() + milliseconds{20}, number, id, sent, false});
    }

    void end_runs()
    {
        while (!runs_.empty() && runs_.top().ends_at <= clock_.now()) {
            auto it = runs_.top();
            runs_.pop();
            auto& router = routers_[it.router];
            auto& target = *router.targets.find(it.target);
            if (it.has_begun) {
                target.ended();
                --held_[it.target];
                continue;
            }
            // The head of the answer tells the load.
            target.answered(it.sent, clock_.now());
            target.report(held_[it.target], clock_.now());
            router.loads.update(target.key(), held_[it.target], clock_.now());
            it.has_begun = true;
            it.ends_at += milliseconds{200 + random_.below(1'000)};
            runs_.push(it);
        }
    }

    void exchange_loads()
    {
        for (auto& it : routers_) {
            for (int n = 0; n < exchanges; ++n) {
                auto& other = routers_[random_.below(router_count)];
                tell(it, other);
                tell(other, it);
            }
        }
    }

    void tell(router_model& from, router_model& to)
    {
        for (const auto& it : from.loads.newest(load_table::max_reports_per_packet, clock_.now())) {
            const auto reported_at = clock_.now() - it.age;
            if (to.loads.update(it.target, it.in_flight, reported_at)) {
                to.targets.find(it.target)->report(it.in_flight, reported_at);
            }
        }
    }

    bool shares_loads_;
    manual_clock clock_;
    random_source random_{20261204};
    std::vector<router_model> routers_{router_count};
    std::map<target_id, std::uint32_t> held_;
    std::priority_queue<run> runs_;
    std::uint64_t last_ = 0;
    std::uint64_t counted_ = 0;
    std::uint64_t overloaded_ = 0;
};

TEST(load_spread, few_requests_reach_overloaded_targets)
{
    EXPECT_LE(spread_model{true}.play(seconds{40}), most_overloaded_share);
}

TEST(load_spread, without_loads_from_other_routers_too_many_would)
{
    EXPECT_GT(spread_model{false}.play(seconds{40}), most_overloaded_share);
}

} // namespace
} // namespace endivelatch
