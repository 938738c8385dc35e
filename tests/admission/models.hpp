#pragma once

#include "endivelatch/admission/admission.hpp"
#include "endivelatch/admission/bulkhead.hpp"
#include "endivelatch/base/hash.hpp"

#include <algorithm>
#include <cmath>
#include <deque>
#include <map>
#include <string>
#include <vector>

/// Deterministic simulations of load patterns that admission control has to handle.
namespace endivelatch::models {

constexpr duration millisecond{1000};
constexpr duration second{1'000'000};

/// Returns an exponentially distributed duration.
inline duration exponential(random_source& random, duration mean)
{
    const auto fraction = -std::log(1.0 - random.fraction());
    return duration{static_cast<duration::rep>(fraction * static_cast<double>(mean.count()))};
}

/// Returns the quantile of the values for the given share, in milliseconds.
inline double percentile_ms(std::vector<duration> values, double share)
{
    if (values.empty()) {
        return 0;
    }
    std::sort(values.begin(), values.end());
    const auto at = static_cast<std::size_t>(share * static_cast<double>(values.size() - 1));
    return static_cast<double>(values[at].count()) / 1000;
}

/// Returns a configuration with one pool of engines, named `t0`, `t1` and so on.
inline configuration engine_pool(int count, std::uint32_t max_in_flight)
{
    configuration config;
    for (int n = 0; n < count; ++n) {
        auto& document = config.targets[target_id{"t" + std::to_string(n)}];
        document.id = target_id{"t" + std::to_string(n)};
        document.pool = pool_id{"p"};
        document.max_in_flight = max_in_flight;
    }
    return config;
}

/// Settings of the surge model.
struct surge_settings {
    bool has_surge = false;
    bool is_fair = true; ///< False puts all requests into one organisation.
    std::uint32_t organisation_cap = 1'000'000;
    double utilisation = 0.95; ///< Without the surge.
    double headroom = 0.25;
    std::uint64_t seed = 1;
};

/// Results for the organisations other than the surging one.
struct surge_result {
    double p95_wait_ms = 0;
    int requests = 0;
    int refused = 0;
    std::uint64_t tokens = 0; ///< Work started for all organisations, the surging one included.
};

/// Ten organisations share three engines of one router; one of them may send at ten times its rate.
class surge_model {
public:
    explicit surge_model(surge_settings settings)
        : settings_{settings}, random_{settings.seed}, router_{make_settings(settings)}
    {
        auto config = engine_pool(targets, slots);
        config.defaults.organisation_cap = settings.organisation_cap;
        config.defaults.queue_length = 1000;
        router_.set_peers_needed(false, now_);
        router_.configure(config, now_);
        for (int n = 0; n < targets; ++n) {
            router_.adopt(target_id{"t" + std::to_string(n)}, {}, now_);
        }
    }

    surge_result run()
    {
        for (int n = 0; n < organisations; ++n) {
            add_arrivals(n);
        }
        while (!events_.empty()) {
            const auto it = events_.begin();
            now_ = it->first.first;
            const auto e = it->second;
            events_.erase(it);
            handle(e);
        }
        return {percentile_ms(waits_, 0.95), static_cast<int>(waits_.size()), refused_, tokens_};
    }

private:
    enum class kind { arrival, end, timer };
    struct event {
        kind what = kind::arrival;
        int organisation = 0;
        std::uint64_t number = 0;
    };
    struct request_state {
        int organisation = 0;
        time_point arrived{};
        std::uint32_t tokens = 0;
    };

    static constexpr int targets = 3;
    static constexpr std::uint32_t slots = 20;
    static constexpr int organisations = 10;
    static constexpr double mean_tokens = 293;
    static constexpr duration token_time = 61 * millisecond;
    static constexpr duration length = 3000 * second;
    static constexpr duration warm_up = 200 * second;

    static admission_settings make_settings(const surge_settings& settings)
    {
        admission_settings admission_config;
        admission_config.headroom = settings.headroom;
        return admission_config;
    }

    void schedule(time_point at, event e) { events_.emplace(std::pair{at, ++sequence_}, e); }

    void add_arrivals(int organisation)
    {
        const auto factor = organisation == 0 && settings_.has_surge ? 10 : 1;
        const auto service = mean_tokens * static_cast<double>(token_time.count());
        const auto gap =
            service * organisations / (targets * slots * settings_.utilisation * factor);
        random_source random{combine_hashes(settings_.seed, organisation)};
        const duration mean{static_cast<duration::rep>(gap)};
        for (auto at = start_ + exponential(random, mean); at < start_ + length;
             at += exponential(random, mean)) {
            schedule(at, {kind::arrival, organisation, 0});
        }
    }

    static attempt_key key_of(std::uint64_t number)
    {
        return {{router_id{"r"}, incarnation{1}, number}, attempt{1}};
    }

    void handle(const event& e)
    {
        if (e.what == kind::arrival) {
            arrive(e.organisation);
        }
        else if (e.what == kind::end) {
            const auto tokens = requests_.at(e.number).tokens;
            requests_.erase(e.number);
            apply(router_.finished(key_of(e.number), tokens, now_));
        }
        else {
            timer_at_.reset();
            apply(router_.tick(now_));
        }
        const auto due = router_.next_timer(now_);
        if (due && (!timer_at_ || *due < *timer_at_)) {
            timer_at_ = due;
            schedule(*due, {kind::timer, 0, 0});
        }
    }

    void arrive(int organisation)
    {
        const auto number = ++last_number_;
        const auto tokens =
            exponential(random_, duration{static_cast<int>(mean_tokens)}).count() + 1;
        requests_[number] = {organisation, now_, static_cast<std::uint32_t>(tokens)};
        admission_request request;
        request.key = key_of(number);
        request.target = least_loaded();
        request.organisation =
            organisation_id{settings_.is_fair ? "o" + std::to_string(organisation) : "all"};
        request.work_tokens = static_cast<std::uint32_t>(mean_tokens);
        request.start_by = now_ + 10 * second;
        apply(router_.submit(request, now_));
    }

    target_id least_loaded() const
    {
        target_id best;
        std::pair least{~std::uint32_t{0}, ~std::size_t{0}};
        for (int n = 0; n < targets; ++n) {
            const target_id id{"t" + std::to_string(n)};
            const std::pair load{router_.in_flight(id), router_.queued(id)};
            if (load < least) {
                least = load;
                best = id;
            }
        }
        return best;
    }

    void apply(const admission_effects& effects)
    {
        for (const auto& it : effects) {
            if (const auto* started = std::get_if<start_run>(&it)) {
                const auto number = started->key.request.sequence;
                const auto& request = requests_.at(number);
                record(request);
                tokens_ += request.tokens;
                schedule(now_ + token_time * request.tokens, {kind::end, 0, number});
            }
            else if (const auto* refused = std::get_if<refuse>(&it)) {
                const auto number = refused->key.request.sequence;
                const auto& request = requests_.at(number);
                refused_ += request.organisation != 0 && request.arrived > start_ + warm_up ? 1 : 0;
                record(request);
                requests_.erase(number);
            }
        }
    }

    void record(const request_state& request)
    {
        if (request.organisation != 0 && request.arrived > start_ + warm_up) {
            waits_.push_back(now_ - request.arrived);
        }
    }

    surge_settings settings_;
    random_source random_;
    admission router_;
    time_point start_{std::chrono::hours{1}};
    time_point now_ = start_;
    std::uint64_t sequence_ = 0;
    std::uint64_t last_number_ = 0;
    std::optional<time_point> timer_at_;
    std::map<std::pair<time_point, std::uint64_t>, event> events_;
    std::unordered_map<std::uint64_t, request_state> requests_;
    std::vector<duration> waits_;
    int refused_ = 0;
    std::uint64_t tokens_ = 0;
};

/// Results for the services other than the slow one.
struct slow_service_result {
    double p99_ms = 0;
    int completed = 0; ///< Calls to other services that ended within the model's time.
};

/// Settings of the slow-service model.
struct slow_service_settings {
    bool is_slow = false;
    bool has_bulkheads = true; ///< False shares all sockets between all services.
    bool is_quiet = false;     ///< The first service gets no calls.
    double rate = 60;          ///< Calls a second to each service.
};

/// Four services share 64 sockets of one router; calls to the first may take 11 s each.
inline slow_service_result run_slow_service(const slow_service_settings& settings)
{
    constexpr int services = 4;
    constexpr std::uint32_t sockets = 64;
    constexpr duration length = 200 * second;
    struct call {
        int service = 0;
        time_point arrived{};
    };
    const int partitions = settings.has_bulkheads ? services : 1;
    bulkhead_limits limits;
    limits.calls = sockets / partitions;
    limits.queue_length = 1'000'000;
    std::vector<bulkhead> bulkheads(partitions, bulkhead{limits});
    std::vector<std::deque<call>> queues(partitions);
    std::multimap<time_point, std::pair<bool, call>> events; // True for an arrival, else an end.
    const time_point start{std::chrono::hours{1}};
    random_source random{7};
    for (int n = settings.is_quiet ? 1 : 0; n < services; ++n) {
        const duration gap{static_cast<duration::rep>(1e6 / settings.rate)};
        for (auto at = start; at < start + length; at += exponential(random, gap)) {
            events.emplace(at, std::pair{true, call{n, at}});
        }
    }
    std::vector<duration> times;
    slow_service_result result;
    while (!events.empty()) {
        const auto now = events.begin()->first;
        const auto [is_arrival, it] = events.begin()->second;
        events.erase(events.begin());
        const auto partition = settings.has_bulkheads ? it.service : 0;
        if (is_arrival) {
            queues[partition].push_back(it);
        }
        else {
            bulkheads[partition].end_call();
            if (it.service != 0) {
                times.push_back(now - it.arrived);
                result.completed += now < start + length ? 1 : 0;
            }
        }
        while (!queues[partition].empty() && bulkheads[partition].try_start_call()) {
            const auto next = queues[partition].front();
            queues[partition].pop_front();
            const auto is_slow = settings.is_slow && next.service == 0;
            const auto time = is_slow ? 11 * second : exponential(random, 100 * millisecond);
            events.emplace(now + time, std::pair{false, next});
        }
    }
    result.p99_ms = percentile_ms(std::move(times), 0.99);
    return result;
}

/// Returns by how much one organisation with unlimited demand exceeds its cap at most, on routers
/// that report its use each second, with a delay of up to a second.
inline int organisation_overshoot(int routers, std::uint32_t cap, bool is_paced, std::uint64_t seed)
{
    const organisation_id organisation{"o"};
    std::vector<organisation_limiter> limiters(routers);
    for (auto& it : limiters) {
        it.set_default_cap(cap);
        it.set_routers(is_paced ? static_cast<std::uint32_t>(routers) : 1);
    }
    random_source random{seed};
    struct report {
        int to = 0;
        int from = 0;
        std::uint32_t in_flight = 0;
    };
    std::multimap<time_point, report> reports;
    std::multimap<time_point, int> ends;
    const time_point start{std::chrono::hours{1}};
    int use = 0;
    int peak_use = 0;
    for (auto now = start; now < start + 120 * second; now += 10 * millisecond) {
        for (; !ends.empty() && ends.begin()->first <= now; ends.erase(ends.begin())) {
            limiters[ends.begin()->second].finished(organisation);
            --use;
        }
        for (; !reports.empty() && reports.begin()->first <= now; reports.erase(reports.begin())) {
            const auto& it = reports.begin()->second;
            limiters[it.to].remote_usage(router_id{std::to_string(it.from)}, organisation,
                                         it.in_flight);
        }
        for (int n = 0; n < routers; ++n) {
            auto& limiter = limiters[n];
            while (limiter.may_start(organisation, now)) {
                limiter.started(organisation, now);
                peak_use = std::max(peak_use, ++use);
                ends.emplace(now + exponential(random, 5 * second), n);
            }
            const auto phase = (now - start + n * 100 * millisecond) % second;
            for (int to = 0; to < routers && phase == duration{0}; ++to) {
                if (to != n) {
                    const duration delay{random.below(second.count())};
                    reports.emplace(now + delay, report{to, n, limiter.own_usage(organisation)});
                }
            }
        }
    }
    return peak_use - static_cast<int>(cap);
}

} // namespace endivelatch::models
