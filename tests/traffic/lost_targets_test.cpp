#include "router_fixture.hpp"

#include "endivelatch/base/hash.hpp"

#include <map>
#include <queue>
#include <random>
#include <set>

/// Load pattern of a large fleet in which a part of the engines is lost at once. Each router sends
/// a request to a given engine only every few ten seconds.
namespace endivelatch {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t router_count = 295;
constexpr int engine_count = 240;
constexpr int lost_count = 36;
constexpr double requests_per_second = 1'326;
constexpr std::size_t prompt_count = 1'500;
constexpr std::uint32_t shared_tokens = 8'000;
constexpr std::uint32_t own_tokens = 500;
constexpr duration lost_after = seconds{4};
constexpr duration length = seconds{9};
/// Time until a request to a lost engine fails.
constexpr duration failure_time = milliseconds{200};
constexpr duration first_byte_time = milliseconds{30};
/// Each router exchanges loads and failures with two others in this time.
constexpr duration exchange_period = milliseconds{200};
constexpr int exchanges_per_period = 2;

/// Counts of one run.
struct lost_targets_result {
    int lost_requests = 0;      ///< Sent to lost engines.
    int lost_requests_late = 0; ///< Those sent 1.5 s or more after the loss.
    int lost_prompts = 0;       ///< Prompts of lost homes that were requested afterwards.
    int repeated_reads = 0;     ///< Engines that prefilled the shared part of such a prompt.
};

/// Simulates routers that select engines, with or without sharing failures.
class lost_targets_simulation {
public:
    explicit lost_targets_simulation(bool shares_failures)
        : shares_failures_{shares_failures}, routers_(router_count)
    {
        std::vector<registered_target> all;
        for (int n = 1; n <= engine_count; ++n) {
            all.push_back(make_target(n));
            all.back().slots = 24;
        }
        for (auto& it : routers_) {
            it.targets.replace(all, clock_.now());
        }
        for (int n = 1; n <= lost_count; ++n) {
            lost_.insert(make_target(n).id);
        }
    }

    lost_targets_result run()
    {
        const auto begins_at = clock_.now();
        lost_at_ = begins_at + lost_after;
        auto next_exchange = begins_at;
        std::exponential_distribution<double> gap{requests_per_second};
        while (clock_.now() < begins_at + length) {
            clock_.advance(
                std::chrono::duration_cast<duration>(std::chrono::duration<double>{gap(random_)}));
            end_requests();
            if (clock_.now() >= next_exchange) {
                next_exchange += exchange_period;
                exchange();
            }
            send(random_.below(router_count), random_.below(prompt_count), {});
        }
        result_.lost_prompts = static_cast<int>(lost_prompts_.size());
        return result_;
    }

private:
    struct simulated_router {
        target_table targets;
        load_table loads;
        failure_table failures;
    };

    struct running_request {
        time_point ends_at{};
        std::size_t router = 0;
        std::size_t prompt = 0;
        target_id target;
        sent_request sent;
        bool is_lost = false;
        std::set<target_id> tried;

        bool operator<(const running_request& other) const { return ends_at > other.ends_at; }
    };

    bool is_lost(const target_id& id) const
    {
        return clock_.now() >= lost_at_ && lost_.contains(id);
    }

    void send(std::size_t number, std::size_t part, const std::set<target_id>& tried)
    {
        auto& router = routers_[number];
        prompt_info prompt;
        prompt.tokens = shared_tokens + own_tokens;
        prompt.parts = {{part, shared_tokens}, {1'000'000 + ++last_request_, own_tokens}};
        choice_query query;
        query.pool = pool_id{"pool"};
        query.prompt = &prompt;
        query.objective = milliseconds{800};
        query.request_hash = mix_bits(last_request_);
        query.routers = router_count;
        query.tried = &tried;
        const auto choice = choose_target(query, router.targets, clock_.now());
        if (!std::holds_alternative<chosen_target>(choice)) {
            return;
        }
        auto& target = *std::get<chosen_target>(choice).target;
        const auto id = target.registration().id;
        running_request it{clock_.now() + first_byte_time, number,      part, id,
                           {clock_.now(), 0, own_tokens},  is_lost(id), tried};
        if (it.is_lost) {
            it.ends_at = clock_.now() + failure_time;
            ++result_.lost_requests;
            result_.lost_requests_late += clock_.now() >= lost_at_ + milliseconds{1'500} ? 1 : 0;
        }
        else {
            count_read(part, id);
        }
        it.tried.insert(id);
        target.add_request(it.sent);
        target.record_prompt(prompt.parts, clock_.now());
        running_.push(it);
    }

    /// Counts reads of shared parts whose engine was lost by engines that do not cache them.
    void count_read(std::size_t part, const target_id& id)
    {
        auto& holders = holders_[part];
        const bool was_lost = clock_.now() >= lost_at_ && !holders.empty() &&
                              std::any_of(holders.begin(), holders.end(),
                                          [&](const auto& it) { return lost_.contains(it); });
        if (was_lost) {
            lost_prompts_.insert(part);
            result_.repeated_reads += holders.contains(id) ? 0 : 1;
        }
        holders.insert(id);
    }

    void end_requests()
    {
        while (!running_.empty() && running_.top().ends_at <= clock_.now()) {
            const auto it = running_.top();
            running_.pop();
            auto& router = routers_[it.router];
            auto& target = *router.targets.find(it.target);
            target.remove_request();
            if (it.is_lost) {
                target.record_no_answer(it.sent);
                target.record_outcome(attempt_outcome::unreachable, clock_.now());
                router.failures.update(target.key(), reporter(it.router), clock_.now());
                send(it.router, it.prompt, it.tried);
                continue;
            }
            target.record_first_byte(it.sent, 40, clock_.now());
            target.update_load(2, clock_.now());
            router.loads.update(target.key(), 2, clock_.now());
        }
    }

    static router_key reporter(std::size_t router)
    {
        return router_key{static_cast<std::uint32_t>(router)};
    }

    void exchange()
    {
        for (auto& it : routers_) {
            for (int n = 0; n < exchanges_per_period; ++n) {
                auto& other = routers_[random_.below(router_count)];
                pass_on(it, other);
                pass_on(other, it);
            }
        }
    }

    void pass_on(simulated_router& from, simulated_router& to)
    {
        for (const auto& it : from.loads.newest(load_table::max_reports_per_packet, clock_.now())) {
            if (to.loads.update(it.target, it.in_flight, clock_.now() - it.age)) {
                to.targets.find(it.target)->update_load(it.in_flight, clock_.now() - it.age);
            }
        }
        if (!shares_failures_) {
            return;
        }
        for (const auto& it :
             from.failures.newest(failure_table::max_reports_per_packet, clock_.now())) {
            if (to.failures.update(it.target, it.reporter, clock_.now() - it.age)) {
                to.targets.find(it.target)->record_remote_failure(it.reporter,
                                                                  clock_.now() - it.age);
            }
        }
    }

    bool shares_failures_;
    manual_clock clock_;
    random_source random_{20261204};
    std::vector<simulated_router> routers_;
    std::set<target_id> lost_;
    time_point lost_at_{};
    std::priority_queue<running_request> running_;
    std::map<std::size_t, std::set<target_id>> holders_; ///< Engines that cache a shared part.
    std::set<std::size_t> lost_prompts_;
    std::uint64_t last_request_ = 0;
    lost_targets_result result_;
};

/// A report reaches nearly all routers within 1.5 s, so afterwards few requests may be lost: less
/// than a tenth of those that are sent to the lost engines without shared failures.
TEST(lost_targets, failures_seen_by_some_routers_spare_the_requests_of_others)
{
    const auto alone = lost_targets_simulation{false}.run();
    const auto shared = lost_targets_simulation{true}.run();
    EXPECT_GT(alone.lost_requests_late, 100);
    EXPECT_LT(shared.lost_requests_late, alone.lost_requests_late / 10);
}

/// A lost shared part has to be prefilled again once. Half more allows for routers that learn of
/// the loss later and for targets above their load bound.
TEST(lost_targets, shared_parts_of_lost_engines_are_prefilled_again_by_one_engine)
{
    const auto result = lost_targets_simulation{true}.run();
    EXPECT_GT(result.lost_prompts, 100);
    EXPECT_LT(result.repeated_reads, result.lost_prompts * 3 / 2);
}

} // namespace
} // namespace endivelatch
