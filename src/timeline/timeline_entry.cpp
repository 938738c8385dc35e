#include "endivelatch/timeline/timeline_entry.hpp"

#include "pair_reader.hpp"

#include <charconv>
#include <optional>

namespace endivelatch {

namespace {

std::optional<hybrid_time> parse_stamp(std::string_view text)
{
    hybrid_time stamp;
    const auto dot = text.find('.');
    if (dot == std::string_view::npos) {
        return std::nullopt;
    }
    const auto* middle = text.data() + dot;
    const auto* last = text.data() + text.size();
    const auto wall = std::from_chars(text.data(), middle, stamp.wall_us);
    const auto counter = std::from_chars(middle + 1, last, stamp.counter);
    if (wall.ec != std::errc{} || wall.ptr != middle || counter.ec != std::errc{} ||
        counter.ptr != last) {
        return std::nullopt;
    }
    return stamp;
}

} // namespace

std::string to_line(const timeline_entry& entry)
{
    auto line = "stamp=" + std::to_string(entry.stamp.wall_us) + '.' +
                std::to_string(entry.stamp.counter) + " process=" + entry.process + ' ';
    return line + entry.event.to_line();
}

result<timeline_entry> parse_timeline_entry(std::string_view line)
{
    pair_reader pairs{line};
    const auto stamp = pairs.next();
    const auto process = pairs.next();
    const auto event = pairs.next();
    if (!stamp || stamp->first != "stamp" || !process || process->first != "process" || !event ||
        event->first != "event") {
        return one_finding("line", "does not begin with stamp, process and event");
    }
    const auto when = parse_stamp(stamp->second);
    if (!when) {
        return one_finding("stamp", "\"" + stamp->second + "\" is not WALL_US.COUNTER");
    }
    timeline_entry entry{*when, process->second, log_event{event->second}};
    while (const auto pair = pairs.next()) {
        entry.event.add(pair->first, std::string_view{pair->second});
    }
    if (!pairs.at_end()) {
        return one_finding("line", "contains text that is not key=value");
    }
    return entry;
}

} // namespace endivelatch
