#include "endivelatch/ledger/ledger.hpp"
#include "ledger/event_queue.hpp"
#include "ledger/fake_platform.hpp"

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <malloc.h>
#include <map>
#include <vector>

/// Measures platform calls, waiting time, processor time and memory per booking of the ledger.
namespace {

using namespace endivelatch;

constexpr std::chrono::seconds wall_base{1'800'000'000};
constexpr std::chrono::milliseconds run_time{500};
constexpr std::size_t result_size = 200;

/// Measurements of one run.
struct load_measurements {
    std::uint64_t complete = 0;
    std::vector<duration> waits; ///< Time from each request to the start of its run.
    duration cpu_time{};         ///< Time spent in calls to the ledger.
};

/// Runs a ledger that owns all shards against a fake platform.
class ledger_bench {
public:
    explicit ledger_bench(const ledger_settings& settings)
        : platform_{1, [this](time_point when, auto what) { events_.at(when, std::move(what)); }},
          ledger_{router_id{"r1"}, incarnation{1}, settings, calls_}
    {
        std::set<std::uint32_t> all;
        for (std::uint32_t n = 0; n < ledger_shards; ++n) {
            all.insert(n);
        }
        ledger_.set_owned(std::move(all));
    }

    void run(std::uint64_t per_second, std::chrono::seconds length)
    {
        const auto count = per_second * static_cast<std::uint64_t>(length.count());
        const auto begin = events_.now();
        for (std::uint64_t n = 0; n < count; ++n) {
            const auto at = duration{static_cast<std::int64_t>(n * 1'000'000 / per_second)};
            events_.at(begin + at, [this, n](time_point now) { book(n, now); });
        }
        events_.run_until(begin + length + std::chrono::seconds{5});
    }

    const load_measurements& measurements() const { return measurements_; }
    const fake_platform& platform() const { return platform_; }
    const ledger& reducer() const { return ledger_; }

private:
    void book(std::uint64_t n, time_point now)
    {
        const wall_time wall{wall_base + now.time_since_epoch()};
        const auto seconds = std::chrono::floor<std::chrono::seconds>(wall.time_since_epoch());
        booking request;
        request.request = {router_id{"caller"}, incarnation{1}, n};
        request.organisation = organisation_id{"organisation-" + std::to_string(n % 100)};
        request.key = booking_key{std::to_string(seconds.count()) + "-part-" + std::to_string(n)};
        request.body_digest.assign(32, static_cast<char>(n));
        request_times_[n] = now;
        apply_effects(measure_call([&] { return ledger_.book(request, wall, now); }), now);
    }

    template <class Call>
    ledger_effects measure_call(Call call)
    {
        const auto begin = std::chrono::steady_clock::now();
        auto out = call();
        measurements_.cpu_time +=
            std::chrono::duration_cast<duration>(std::chrono::steady_clock::now() - begin);
        return out;
    }

    void apply_effects(const ledger_effects& effects, time_point now)
    {
        for (const auto& it : effects) {
            std::visit(overloaded{[&](const platform_call& call) {
                                      platform_.call(call, now, [this](time_point then, auto a) {
                                          apply_effects(measure_call([&] {
                                                            return ledger_.answered(a, then);
                                                        }),
                                                        then);
                                      });
                                  },
                                  [&](const start_booking& run) { start(run, now); },
                                  [&](const booking_answer& answer) {
                                      measurements_.complete +=
                                          answer.result.result == outcome::complete ? 1 : 0;
                                  },
                                  [](const query_target&) {}},
                       it);
        }
        schedule_tick();
    }

    void start(const start_booking& run, time_point now)
    {
        measurements_.waits.push_back(now - request_times_.at(run.request.sequence));
        events_.at(now + run_time, [this, run](time_point then) {
            booking_result result{outcome::complete, 200, "application/json",
                                  std::make_shared<const std::string>(result_size, 'r')};
            apply_effects(
                measure_call([&] { return ledger_.run_ended(run.request, result, then); }), then);
        });
    }

    void schedule_tick()
    {
        const auto due = ledger_.next_timer();
        if (due == time_point::max() || due >= next_tick_) {
            return;
        }
        next_tick_ = std::max(due, events_.now() + duration{1000});
        events_.at(next_tick_, [this](time_point now) {
            next_tick_ = time_point::max();
            apply_effects(measure_call([&] { return ledger_.tick(now); }), now);
        });
    }

    event_queue events_;
    fake_platform platform_;
    platform_call_id_source calls_;
    ledger ledger_;
    time_point next_tick_ = time_point::max();
    std::map<std::uint64_t, time_point> request_times_;
    load_measurements measurements_;
};

double milliseconds(duration d)
{
    return static_cast<double>(d.count()) / 1000;
}

void measure_rate(std::uint64_t per_second)
{
    constexpr std::chrono::seconds length{20};
    ledger_settings settings;
    settings.sweep_interval = std::chrono::hours{1};
    settings.idle_sweep_interval = std::chrono::hours{1};
    ledger_bench bench{settings};
    bench.run(per_second, length);
    auto waits = bench.measurements().waits;
    std::sort(waits.begin(), waits.end());
    const auto bookings = static_cast<double>(per_second) * static_cast<double>(length.count());
    const auto seconds = static_cast<double>(length.count());
    std::printf("bench=ledger_rate bookings_per_s=%llu complete=%llu writes_per_booking=%.3f "
                "reads_per_booking=%.3f writes_per_s=%.1f reads_per_s=%.1f wait_p50_ms=%.1f "
                "wait_p99_ms=%.1f processor_us_per_booking=%.1f\n",
                static_cast<unsigned long long>(per_second),
                static_cast<unsigned long long>(bench.measurements().complete),
                static_cast<double>(bench.platform().writes) / bookings,
                static_cast<double>(bench.platform().reads) / bookings,
                static_cast<double>(bench.platform().writes) / seconds,
                static_cast<double>(bench.platform().reads) / seconds,
                milliseconds(waits.at(waits.size() / 2)),
                milliseconds(waits.at(waits.size() * 99 / 100)),
                static_cast<double>(bench.measurements().cpu_time.count()) / bookings);
}

void measure_memory(std::size_t count)
{
    const auto before = mallinfo2().uordblks;
    booking_records records;
    for (std::size_t n = 0; n < count; ++n) {
        booking_record record;
        record.state = record_state::done;
        record.digest.assign(32, 'd');
        record.start_id = "router-1.1800000000." + std::to_string(n);
        record.body.assign(result_size, 'r');
        record.content_type = "application/json";
        records.emplace("organisation-1/1800000000-part-" + std::to_string(n), std::move(record));
    }
    const auto used = mallinfo2().uordblks - before;
    const auto document = to_document(records);
    std::printf(
        "bench=ledger_memory records=%zu bytes_per_record=%.0f stored_bytes_per_record=%.0f\n",
        count, static_cast<double>(used) / static_cast<double>(count),
        static_cast<double>(document.size()) / static_cast<double>(count));
}

} // namespace

int main()
{
    for (const std::uint64_t it : {1, 10, 100, 310, 1000, 3100}) {
        measure_rate(it);
    }
    for (const std::size_t it : {100, 1000, 10000}) {
        measure_memory(it);
    }
    return 0;
}
