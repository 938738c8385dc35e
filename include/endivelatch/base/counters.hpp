#pragma once

#include "endivelatch/base/time.hpp"

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace endivelatch {

/// The metrics of one process: counters, gauges and histograms, by name.
class counters {
public:
    /// Adds to a counter. `labels` has the form `key="value",...` or is empty.
    void add(std::string_view name, std::uint64_t by = 1, std::string_view labels = {});

    /// Sets a gauge to a value.
    void set(std::string_view name, std::int64_t value, std::string_view labels = {});

    /// Adds a duration to a histogram.
    void observe(std::string_view name, duration value);

    /// Upper bounds of the histogram buckets. Longer durations are counted in the +Inf bucket.
    static constexpr std::array<duration, 12> bucket_bounds{
        duration{5'000},     duration{10'000},    duration{20'000},    duration{50'000},
        duration{100'000},   duration{200'000},   duration{400'000},   duration{600'000},
        duration{1'000'000}, duration{2'000'000}, duration{5'000'000}, duration{10'000'000}};

    /// Returns the value of a counter or gauge, or zero when it was never set.
    std::int64_t value(std::string_view name, std::string_view labels = {}) const;

    /// Returns all metrics in the Prometheus text exposition format: counters and gauges by name,
    /// then histograms by name.
    std::string to_text() const;

private:
    struct metric {
        std::int64_t value = 0;
        bool is_gauge = false;
    };

    /// Number of durations in each bucket, not cumulative.
    struct histogram {
        std::array<std::uint64_t, bucket_bounds.size() + 1> buckets{};
        duration sum{};
    };

    /// Appends all histograms in the text exposition format, in seconds.
    void append_histograms(std::string& text) const;

    /// Returns the metric with the name and labels; creates it when it does not exist.
    metric& find_or_create(std::string_view name, std::string_view labels);

    std::map<std::string, std::map<std::string, metric, std::less<>>, std::less<>> entries_;
    std::map<std::string, histogram, std::less<>> histograms_;
};

} // namespace endivelatch
