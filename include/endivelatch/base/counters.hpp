#pragma once

#include "endivelatch/base/time.hpp"

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace endivelatch {

/// Named counters and gauges of one process.
class counters {
public:
    /// Adds to a counter; `labels` has the form `key="value",...` or is empty.
    void add(std::string_view name, std::uint64_t by = 1, std::string_view labels = {});

    /// Sets a gauge to a value.
    void set(std::string_view name, std::int64_t value, std::string_view labels = {});

    /// Counts a duration in the histogram of the name.
    void observe(std::string_view name, duration value);

    /// Upper bounds of a histogram's buckets; durations above the last count as infinite.
    static constexpr std::array<duration, 12> bucket_bounds{
        duration{5'000},     duration{10'000},    duration{20'000},    duration{50'000},
        duration{100'000},   duration{200'000},   duration{400'000},   duration{600'000},
        duration{1'000'000}, duration{2'000'000}, duration{5'000'000}, duration{10'000'000}};

    /// Returns the value of a counter or gauge, zero when it was never touched.
    std::int64_t value(std::string_view name, std::string_view labels = {}) const;

    /// Returns all values in the text exposition format, sorted by name.
    std::string to_text() const;

private:
    struct metric {
        std::int64_t value = 0;
        bool is_gauge = false;
    };

    /// Durations counted by bucket.
    struct histogram {
        std::array<std::uint64_t, bucket_bounds.size() + 1> buckets{};
        duration sum{};
    };

    /// Appends all histograms in the text exposition format, bounds in seconds.
    void append_histograms(std::string& text) const;

    /// Returns the metric for the name and labels, made when missing.
    metric& find(std::string_view name, std::string_view labels);

    std::map<std::string, std::map<std::string, metric, std::less<>>, std::less<>> entries_;
    std::map<std::string, histogram, std::less<>> histograms_;
};

} // namespace endivelatch
