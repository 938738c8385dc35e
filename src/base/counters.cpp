#include "endivelatch/base/counters.hpp"

#include <algorithm>

namespace endivelatch {

counters::metric& counters::find_or_create(std::string_view name, std::string_view labels)
{
    auto it = entries_.find(name);
    if (it == entries_.end()) {
        it = entries_.try_emplace(std::string{name}).first;
    }
    auto entry = it->second.find(labels);
    if (entry == it->second.end()) {
        entry = it->second.try_emplace(std::string{labels}).first;
    }
    return entry->second;
}

void counters::add(std::string_view name, std::uint64_t by, std::string_view labels)
{
    find_or_create(name, labels).value += static_cast<std::int64_t>(by);
}

void counters::set(std::string_view name, std::int64_t value, std::string_view labels)
{
    find_or_create(name, labels) = metric{value, true};
}

void counters::observe(std::string_view name, duration value)
{
    auto it = histograms_.find(name);
    if (it == histograms_.end()) {
        it = histograms_.try_emplace(std::string{name}).first;
    }
    const auto bucket = std::lower_bound(bucket_bounds.begin(), bucket_bounds.end(), value);
    ++it->second.buckets.at(static_cast<std::size_t>(bucket - bucket_bounds.begin()));
    it->second.sum += value;
}

void counters::append_histograms(std::string& text) const
{
    const auto seconds = [](duration d) {
        return std::to_string(std::chrono::duration<double>{d}.count());
    };
    for (const auto& [name, it] : histograms_) {
        const auto full_name = "endivelatch_" + name + "_seconds";
        text.append("# TYPE ").append(full_name).append(" histogram\n");
        std::uint64_t total = 0;
        for (std::size_t i = 0; i < it.buckets.size(); ++i) {
            total += it.buckets.at(i);
            const auto bound = i < bucket_bounds.size() ? seconds(bucket_bounds.at(i)) : "+Inf";
            text.append(full_name).append("_bucket{le=\"").append(bound).append("\"} ");
            text.append(std::to_string(total)).append("\n");
        }
        text.append(full_name).append("_sum ").append(seconds(it.sum)).append("\n");
        text.append(full_name).append("_count ").append(std::to_string(total)).append("\n");
    }
}

std::int64_t counters::value(std::string_view name, std::string_view labels) const
{
    const auto it = entries_.find(name);
    if (it == entries_.end()) {
        return 0;
    }
    const auto entry = it->second.find(labels);
    return entry == it->second.end() ? 0 : entry->second.value;
}

std::string counters::to_text() const
{
    std::string text;
    for (const auto& [name, by_labels] : entries_) {
        const bool is_gauge = by_labels.begin()->second.is_gauge;
        text += "# TYPE endivelatch_" + name + (is_gauge ? " gauge\n" : " counter\n");
        for (const auto& [labels, entry] : by_labels) {
            text += "endivelatch_" + name;
            text += labels.empty() ? "" : "{" + labels + "}";
            text += ' ' + std::to_string(entry.value) + '\n';
        }
    }
    append_histograms(text);
    return text;
}

} // namespace endivelatch
