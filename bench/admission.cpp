#include "admission/skew_model.hpp"

#include <chrono>
#include <cstdio>
#include <malloc.h>

/// Measures the processor time and memory of admission, and the load skew with gossiped loads.
namespace {

using namespace endivelatch;

admission_request make_request(std::uint64_t number, int organisations, int targets, time_point now)
{
    admission_request it;
    it.key = {{router_id{"router-17"}, incarnation{1}, number}, attempt{1}};
    it.target = target_id{"t" + std::to_string(number % targets)};
    it.organisation = organisation_id{"organisation-" + std::to_string(number % organisations)};
    it.caller = caller_id{"caller-" + std::to_string(number % 7)};
    it.work_tokens = 200 + number % 200;
    it.start_by = now + std::chrono::seconds{10};
    return it;
}

/// Measures the time to submit one request and finish another while one request of each
/// organisation is queued.
void measure_time_per_request(int organisations)
{
    constexpr int owned = 3;
    constexpr int rounds = 200'000;
    time_point now{std::chrono::hours{1}};
    auto config = models::engine_pool(owned, 105);
    config.defaults.organisation_cap = 1'000'000;
    config.defaults.queue_length = 1'000'000;
    admission router;
    router.set_peers_needed(false, now);
    router.configure(config, now);
    for (int n = 0; n < owned; ++n) {
        router.adopt(target_id{"t" + std::to_string(n)}, {}, now);
    }
    std::deque<attempt_key> running;
    const auto apply = [&running](const admission_effects& effects) {
        for (const auto& it : effects) {
            if (const auto* started = std::get_if<start_run>(&it)) {
                running.push_back(started->key);
            }
        }
    };
    std::uint64_t number = 0;
    for (int n = 0; n < 3 * 105 + organisations; ++n) {
        apply(router.submit(make_request(++number, organisations, owned, now), now));
    }
    std::vector<admission_request> requests;
    requests.reserve(rounds);
    for (int n = 0; n < rounds; ++n) {
        requests.push_back(make_request(++number, organisations, owned, now));
    }
    const auto before = std::chrono::steady_clock::now();
    for (const auto& it : requests) {
        apply(router.submit(it, now));
        const auto key = running.front();
        running.pop_front();
        apply(router.finished(key, 300, now));
        now += duration{100};
        if (running.empty()) {
            break;
        }
    }
    const std::chrono::duration<double, std::nano> elapsed =
        std::chrono::steady_clock::now() - before;
    std::printf("bench=admission organisations=%d owned_targets=%d ns_per_submit_and_finish=%.0f\n",
                organisations, owned, elapsed.count() / rounds);
}

/// Measures the heap memory per queued request, including the indexes of the queue.
void measure_memory_per_request(int organisations)
{
    constexpr int count = 100'000;
    const time_point now{std::chrono::hours{1}};
    fair_queue queue{count};
    const auto before = mallinfo2().uordblks;
    for (int n = 0; n < count; ++n) {
        const auto it = make_request(n, organisations, 3, now);
        queue.push({it.key, it.organisation, it.caller, it.priority, it.work_tokens, it.start_by},
                   1);
    }
    const auto used = mallinfo2().uordblks - before;
    std::printf("bench=admission_memory organisations=%d bytes_per_queued_request=%zu\n",
                organisations, used / count);
}

void measure_skew(duration drain_time, double streams, double load_bound)
{
    models::skew_settings settings;
    settings.report_decay_time = drain_time;
    settings.streams = streams;
    settings.load_bound = load_bound;
    const auto result = models::skew_model{settings}.run();
    std::printf("bench=skew routers=8 targets=24 bound=%.2f drain_s=%.0f streams=%.0f starts=%d "
                "starts_above=%d excess=%u steady_busiest_over_mean=%.3f mean=%.1f\n",
                load_bound, static_cast<double>(drain_time.count()) / 1e6, streams, result.starts,
                result.starts_above, result.excess, result.steady_ratio, result.mean_in_flight);
}

} // namespace

int main()
{
    for (const auto organisations : {33, 330, 3300, 33000}) {
        measure_time_per_request(organisations);
    }
    measure_memory_per_request(10);
    measure_memory_per_request(3300);
    for (const auto drain_s : {5, 10, 15, 30, 3600}) {
        for (const auto streams : {3, 20, 105}) {
            measure_skew(std::chrono::seconds{drain_s}, streams, 1.25);
        }
    }
    measure_skew(std::chrono::seconds{15}, 105, 1.10);
    return 0;
}
