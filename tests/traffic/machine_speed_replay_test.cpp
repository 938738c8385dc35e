#include "router_fixture.hpp"

#include "endivelatch/base/hash.hpp"
#include "endivelatch/membership/load_table.hpp"

#include <deque>
#include <map>
#include <queue>
#include <random>

/// Load pattern: targets whose machines are shared with others take 2.5 times as long at moments.
/// A router receives an answer of a given target only every few seconds, so it knows the speed of
/// most targets from other routers, a few hundred ms late.
namespace endivelatch {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t router_count = 125;
constexpr std::uint32_t slots = 6;
constexpr double slow_share = 0.15;
constexpr double slowdown_when_slow = 2.5;
constexpr duration change_interval = milliseconds{600};

constexpr duration work = milliseconds{60};

constexpr duration exchange_interval = milliseconds{200};
constexpr int exchanges_per_interval = 2;
constexpr duration measured_from = seconds{3};
constexpr duration length = seconds{13};
/// A target is overloaded above this multiple of the mean load + the allowance.
constexpr double load_bound = 2;
constexpr double overload_allowance = 3;

/// Size and traffic of a service.
struct speed_pattern {
    int targets = 0;
    double requests_per_second = 0;
    duration objective{};
};

/// Many targets at 40% of their capacity; a slow one answers half of its requests too late.
constexpr speed_pattern many_targets{60, 1'500, milliseconds{120}};
/// Few targets that all routers call: each router has its last own report from seconds ago.
constexpr speed_pattern few_targets{6, 240, milliseconds{150}};

/// What routers know of the targets' speeds.
enum class knowledge { none, reports, current };

/// Shares of the counted requests.
struct replay_result {
    double in_time = 0;
    double overloaded = 0; ///< Sent to an overloaded target.
};

/// Replays the load pattern with routers that have the given knowledge.
class speed_replay {
public:
    speed_replay(const speed_pattern& pattern, knowledge known, std::uint64_t seed)
        : pattern_{pattern}, known_{known}, random_{seed}, routers_(router_count)
    {
        std::vector<registered_target> all;
        for (int n = 1; n <= pattern_.targets; ++n) {
            all.push_back(make_target(n));
            all.back().slots = slots;
            machines_[all.back().id].changes_at =
                clock_.now() +
                std::chrono::duration_cast<duration>(random_.fraction() * change_interval);
        }
        for (auto& it : routers_) {
            it.targets.replace(all, clock_.now());
        }
    }

    replay_result simulate()
    {
        const auto begins_at = clock_.now();
        auto next_exchange = begins_at;
        std::exponential_distribution<double> gap{pattern_.requests_per_second};
        while (clock_.now() < begins_at + length) {
            clock_.advance(
                std::chrono::duration_cast<duration>(std::chrono::duration<double>{gap(random_)}));
            change_speeds();
            end_requests();
            if (clock_.now() >= next_exchange) {
                next_exchange += exchange_interval;
                exchange_loads();
            }
            send(clock_.now() > begins_at + measured_from);
        }
        const auto counted = static_cast<double>(counted_);
        return {static_cast<double>(in_time_) / counted,
                static_cast<double>(overloaded_) / counted};
    }

private:
    /// A router with what it knows of the targets.
    struct simulated_router {
        target_table targets;
        load_table loads;
        work_estimate estimate;
        machine_speed speed;
    };

    /// A request at a target.
    struct held_request {
        std::size_t router = 0;
        target_id target;
        sent_request sent;
        bool counts = false;
    };

    /// A target's machine.
    struct machine {
        double slowdown = 1;
        time_point changes_at{};
        std::uint32_t running = 0;
        std::deque<held_request> waiting;

        std::uint32_t held() const { return running + static_cast<std::uint32_t>(waiting.size()); }
    };

    /// A request that a target works on.
    struct running_request {
        time_point ends_at{};
        held_request request;

        bool operator<(const running_request& other) const { return ends_at > other.ends_at; }
    };

    void change_speeds()
    {
        for (auto& [id, it] : machines_) {
            while (it.changes_at <= clock_.now()) {
                it.changes_at += change_interval;
                it.slowdown = random_.fraction() < slow_share ? slowdown_when_slow : 1;
            }
        }
    }

    void send(bool counts)
    {
        const auto number = random_.below(router_count);
        auto& router = routers_[number];
        if (known_ == knowledge::current) {
            for (auto& [id, it] : machines_) {
                record(router, id, it.held(), clock_.now(), it.slowdown);
            }
        }
        choice_query query;
        query.pool = pool_id{"pool"};
        query.objective = pattern_.objective;
        query.request_hash = mix_bits(++last_request_);
        query.routers = router_count;
        query.work = router.estimate;
        query.speed = router.speed;
        const auto result = choose_target(query, router.targets, clock_.now());
        counted_ += counts ? 1 : 0;
        if (!std::holds_alternative<chosen_target>(result)) {
            return;
        }
        auto& target = *std::get<chosen_target>(result).target;
        const auto& id = target.registration().id;
        const double mean = static_cast<double>(held_) / pattern_.targets;
        const double held = machines_[id].held();
        overloaded_ += counts && held > load_bound * mean + overload_allowance ? 1 : 0;
        const sent_request sent{clock_.now(), 0, 0};
        target.add_request(sent);
        ++held_;
        machines_[id].waiting.push_back({number, id, sent, counts});
        start_requests(machines_[id]);
    }

    void start_requests(machine& at)
    {
        while (at.running < slots && !at.waiting.empty()) {
            const auto time = std::chrono::duration_cast<duration>(work * at.slowdown *
                                                                   (0.5 + random_.fraction()));
            running_.push({clock_.now() + time, at.waiting.front()});
            at.waiting.pop_front();
            ++at.running;
        }
    }

    void end_requests()
    {
        while (!running_.empty() && running_.top().ends_at <= clock_.now()) {
            const auto [ended_at, it] = running_.top();
            running_.pop();
            auto& at = machines_[it.target];
            --at.running;
            --held_;
            in_time_ += it.counts && ended_at - it.sent.at <= pattern_.objective ? 1 : 0;
            auto& router = routers_[it.router];
            auto& target = *router.targets.find(it.target);
            router.estimate.record_service_time(ended_at - it.sent.at);
            target.record_no_answer(it.sent);
            target.remove_request();
            record(router, it.target, at.held(), ended_at, at.slowdown);
            start_requests(at);
        }
    }

    /// Records a load report at a router.
    void record(simulated_router& router, const target_id& id, std::uint32_t in_flight,
                time_point reported_at, std::optional<double> slowdown)
    {
        auto& target = *router.targets.find(id);
        slowdown = known_ == knowledge::none ? std::nullopt : slowdown;
        router.loads.update(target.key(), in_flight, reported_at, slowdown);
        const auto former = target.slowdown();
        target.update_load(in_flight, reported_at, slowdown);
        if (former && target.slowdown() != former) {
            router.speed.record(*former, *target.slowdown());
        }
    }

    void exchange_loads()
    {
        for (auto& it : routers_) {
            for (int n = 0; n < exchanges_per_interval; ++n) {
                auto& other = routers_[random_.below(router_count)];
                send_loads(it, other);
            }
        }
    }

    void send_loads(simulated_router& from, simulated_router& to)
    {
        for (const auto& it : from.loads.newest(load_table::max_reports_per_packet, clock_.now())) {
            record(to, to.targets.find(it.target)->registration().id, it.in_flight,
                   clock_.now() - it.age, it.slowdown);
        }
    }

    speed_pattern pattern_;
    knowledge known_;
    manual_clock clock_;
    random_source random_;
    std::vector<simulated_router> routers_;
    std::map<target_id, machine> machines_;
    std::priority_queue<running_request> running_;
    std::uint64_t last_request_ = 0;
    std::uint64_t held_ = 0;
    std::uint64_t counted_ = 0;
    std::uint64_t in_time_ = 0;
    std::uint64_t overloaded_ = 0;
};

/// Returns the mean over some seeds, since few targets are slow in each replay.
replay_result replay(const speed_pattern& pattern, knowledge known)
{
    constexpr std::uint64_t seeds = 8;
    replay_result sum;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        const auto result = speed_replay{pattern, known, seed}.simulate();
        sum.in_time += result.in_time / seeds;
        sum.overloaded += result.overloaded / seeds;
    }
    return sum;
}

/// Reports a few hundred ms old gain a part of what current knowledge would, and no target is
/// overloaded because all routers know the same reports.
void expect_gain_without_stampede(const speed_pattern& pattern, double min_gained_share)
{
    constexpr double max_overloaded_share = 0.03;
    const auto none = replay(pattern, knowledge::none);
    const auto reports = replay(pattern, knowledge::reports);
    const auto current = replay(pattern, knowledge::current);
    const auto gained = (reports.in_time - none.in_time) / (current.in_time - none.in_time);
    EXPECT_GE(gained, min_gained_share)
        << none.in_time << ' ' << reports.in_time << ' ' << current.in_time;
    EXPECT_LE(reports.overloaded, max_overloaded_share);
}

TEST(machine_speed_replay, many_targets_gain_from_reports_without_a_stampede)
{
    expect_gain_without_stampede(many_targets, 0.1);
}

TEST(machine_speed_replay, few_targets_gain_from_reports_without_a_stampede)
{
    expect_gain_without_stampede(few_targets, 0.25);
}

} // namespace
} // namespace endivelatch
