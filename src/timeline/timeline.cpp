#include "endivelatch/timeline/timeline.hpp"

#include <algorithm>
#include <istream>
#include <set>
#include <tuple>

namespace endivelatch {

namespace {

bool matches_field(const log_event& event, std::string_view key, const std::string& wanted)
{
    return wanted.empty() || event.field(key) == wanted;
}

bool matches(const log_event& event, const timeline_filter& filter)
{
    return matches_field(event, "request", filter.request) &&
           matches_field(event, "chat", filter.chat) &&
           matches_field(event, "target", filter.target) &&
           matches_field(event, "organisation", filter.organisation);
}

} // namespace

void timeline::add(timeline_entry entry)
{
    entries_.push_back(std::move(entry));
}

findings timeline::read(std::istream& in, const std::string& name)
{
    findings errors;
    std::string line;
    for (std::size_t n = 1; std::getline(in, line); ++n) {
        if (line.empty()) {
            continue;
        }
        auto parsed = parse_timeline_entry(line);
        if (has_value(parsed)) {
            add(std::get<timeline_entry>(std::move(parsed)));
            continue;
        }
        for (const auto& it : findings_of(parsed)) {
            errors.push_back({name + ":" + std::to_string(n), it.place + " " + it.message});
        }
    }
    return errors;
}

std::vector<timeline_entry> timeline::entries() const
{
    auto sorted = entries_;
    const auto sort_key = [](const timeline_entry& it) {
        return std::tuple{it.stamp, it.process, it.event.name()};
    };
    std::stable_sort(sorted.begin(), sorted.end(),
                     [&](const auto& a, const auto& b) { return sort_key(a) < sort_key(b); });
    const auto end = std::unique(sorted.begin(), sorted.end(), [](const auto& a, const auto& b) {
        return to_line(a) == to_line(b);
    });
    sorted.erase(end, sorted.end());
    return sorted;
}

std::vector<timeline_entry> timeline::matching(const timeline_filter& filter) const
{
    const auto all = entries();
    std::set<std::string, std::less<>> requests;
    for (const auto& it : all) {
        const auto request = it.event.field("request");
        if (!request.empty() && matches(it.event, filter)) {
            requests.emplace(request);
        }
    }
    std::vector<timeline_entry> found;
    for (const auto& it : all) {
        const bool of_request = requests.contains(it.event.field("request"));
        const bool wanted = of_request || matches(it.event, filter);
        if (wanted && (filter.event.empty() || it.event.name() == filter.event)) {
            found.push_back(it);
        }
    }
    return found;
}

} // namespace endivelatch
