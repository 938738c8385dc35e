#pragma once

#include "endivelatch/base/hash.hpp"
#include "endivelatch/traffic/waiting_queue.hpp"

#include <cmath>
#include <functional>
#include <queue>
#include <random>
#include <vector>

/// Replays one recorded load with different orders of the requests that wait.
namespace endivelatch {

/// A kind of request in the load.
struct replay_kind {
    std::uint32_t priority = 0;
    double per_s = 0;
    double work_ms = 0; ///< Median time at a target.
    double spread = 0;  ///< Sigma of its logarithmic normal distribution.
    duration objective{};
    bool is_excess = false;
};

struct replay_job {
    std::size_t kind = 0;
    std::uint64_t sequence = 0;
    time_point arrived{};
    duration work{};
    duration objective{};
    bool is_large = false;
    bool has_returned = false;

    time_point latest_start() const { return arrived + objective - work; }
};

/// What happened to the requests of one kind.
struct replay_outcome {
    int arrived = 0;
    int in_time = 0;
    int late = 0;
    int refused = 0;      ///< On arrival.
    int refused_late = 0; ///< After a wait.
    int large = 0;
    int large_in_time = 0;
    int returned = 0;
    int returned_in_time = 0;
    double work_ms = 0; ///< Of the served requests.

    double share_in_time() const { return static_cast<double>(in_time) / std::max(arrived, 1); }
    double served_share() const
    {
        return static_cast<double>(in_time + returned_in_time) / std::max(arrived, 1);
    }
    double large_share() const { return static_cast<double>(large_in_time) / std::max(large, 1); }
};

/// Draws the arrivals of a load over the given time, in their order.
inline std::vector<replay_job> record_load(const std::vector<replay_kind>& kinds, duration length,
                                           std::uint64_t seed)
{
    std::vector<replay_job> jobs;
    std::mt19937_64 random{seed};
    constexpr double largest_tenth_sigmas = 1.2816;
    for (std::size_t i = 0; i < kinds.size(); ++i) {
        const auto& kind = kinds.at(i);
        std::exponential_distribution<double> gap{kind.per_s / 1e6};
        std::lognormal_distribution<double> work{std::log(kind.work_ms), kind.spread};
        const auto large_ms = kind.work_ms * std::exp(largest_tenth_sigmas * kind.spread);
        for (time_point at{duration{std::llround(gap(random))}}; at < time_point{length};
             at += duration{std::llround(gap(random))}) {
            const auto ms = work(random);
            jobs.push_back({i, 0, at, duration{std::llround(ms * 1'000)}, kind.objective,
                            kind.spread > 0 && ms > large_ms, false});
        }
    }
    std::sort(jobs.begin(), jobs.end(),
              [](const auto& a, const auto& b) { return a.arrived < b.arrived; });
    for (std::size_t i = 0; i < jobs.size(); ++i) {
        jobs.at(i).sequence = i + 1;
    }
    return jobs;
}

/// Orders by a key that is computed whenever there is room; the least key is first. Refuses what
/// waits beyond its objective by `patience`, as callers do not wait forever.
class keyed_order {
public:
    using key_function = std::function<double(const replay_job&, time_point now)>;
    explicit keyed_order(key_function key, duration patience = std::chrono::seconds{3})
        : key_{std::move(key)}, patience_{patience}
    {
    }

    void add(const replay_job& job, time_point) { jobs_.push_back(job); }

    std::optional<replay_job> next(time_point now)
    {
        const auto it = std::min_element(jobs_.begin(), jobs_.end(), [&](auto& a, auto& b) {
            return key_(a, now) < key_(b, now);
        });
        if (it == jobs_.end()) {
            return std::nullopt;
        }
        const auto job = *it;
        jobs_.erase(it);
        return job;
    }

    std::vector<replay_job> take_refused(time_point now)
    {
        std::vector<replay_job> refused;
        std::erase_if(jobs_, [&](const auto& it) {
            const bool is_over = now >= it.latest_start() + patience_;
            if (is_over) {
                refused.push_back(it);
            }
            return is_over;
        });
        return refused;
    }

private:
    key_function key_;
    duration patience_;
    std::vector<replay_job> jobs_;
};

/// The product's order.
class yielding_order {
public:
    explicit yielding_order(const std::vector<replay_kind>& kinds) : kinds_{&kinds} {}

    void add(const replay_job& job, time_point now)
    {
        const auto& kind = kinds_->at(job.kind);
        waiting_request it;
        it.number = exchange_number{job.sequence};
        it.group = {kind.is_excess, kind.priority, job.is_large};
        it.latest_start = job.latest_start();
        it.advance = job.has_returned ? job.objective / 50 : duration{};
        it.sequence = job.sequence;
        if (!job.has_returned) {
            queue_.shares().record_arrival(it.group, now);
        }
        if (!queue_.can_come_up(it, now)) {
            rejected_.push_back(job);
            return;
        }
        queue_.add(it);
        jobs_.emplace(it.number, job);
    }

    std::optional<replay_job> next(time_point now)
    {
        if (queue_.empty()) {
            return std::nullopt;
        }
        const auto group = queue_.groups(now).front();
        const auto number = *queue_.first(group);
        queue_.release(number, now);
        queue_.shares().record_service(group, now);
        return take(number);
    }

    std::vector<replay_job> take_refused(time_point now)
    {
        auto refused = std::exchange(rejected_, {});
        for (const auto& it : queue_.take_refused(now)) {
            refused.push_back(take(it.number));
        }
        return refused;
    }

private:
    replay_job take(exchange_number number) { return jobs_.extract(number).mapped(); }

    const std::vector<replay_kind>* kinds_;
    waiting_queue queue_;
    std::unordered_map<exchange_number, replay_job> jobs_;
    std::vector<replay_job> rejected_;
};

/// Serves a load with `slots` places for requests. Refused callers come back once.
template <class Order>
std::vector<replay_outcome> replay(const std::vector<replay_kind>& kinds,
                                   const std::vector<replay_job>& load, std::size_t slots,
                                   Order order)
{
    constexpr duration return_after{400'000};
    std::vector<replay_outcome> outcomes(kinds.size());
    const auto by_arrival = [](const auto& a, const auto& b) { return a.arrived > b.arrived; };
    std::priority_queue<replay_job, std::vector<replay_job>, decltype(by_arrival)> arrivals{
        by_arrival, load};
    std::priority_queue<time_point, std::vector<time_point>, std::greater<>> ends;
    auto last_sequence = load.size();
    const auto refuse = [&](time_point now) {
        for (auto& it : order.take_refused(now)) {
            auto& outcome = outcomes.at(it.kind);
            ++(it.arrived == now ? outcome.refused : outcome.refused_late);
            if (!it.has_returned) {
                it.has_returned = true;
                it.arrived = now + return_after;
                it.sequence = ++last_sequence;
                arrivals.push(it);
            }
        }
    };
    while (!arrivals.empty() || !ends.empty()) {
        const bool is_arrival =
            !arrivals.empty() && (ends.empty() || arrivals.top().arrived < ends.top());
        const auto now = is_arrival ? arrivals.top().arrived : ends.top();
        if (is_arrival) {
            const auto& it = arrivals.top();
            auto& outcome = outcomes.at(it.kind);
            ++(it.has_returned ? outcome.returned : outcome.arrived);
            outcome.large += it.is_large && !it.has_returned ? 1 : 0;
            order.add(it, now);
            arrivals.pop();
        }
        else {
            ends.pop();
        }
        while (ends.size() < slots) {
            refuse(now);
            const auto job = order.next(now);
            if (!job) {
                break;
            }
            ends.push(now + job->work);
            auto& outcome = outcomes.at(job->kind);
            outcome.work_ms += std::chrono::duration<double, std::milli>{job->work}.count();
            const bool is_in_time = now <= job->latest_start();
            outcome.late += is_in_time ? 0 : 1;
            if (is_in_time) {
                ++(job->has_returned ? outcome.returned_in_time : outcome.in_time);
                outcome.large_in_time += job->is_large ? 1 : 0;
            }
        }
        refuse(now);
    }
    return outcomes;
}

} // namespace endivelatch
