#include "endivelatch/traffic/event_splitter.hpp"

#include <algorithm>
#include <charconv>

namespace endivelatch {

namespace {

/// Returns the size of the first event including its empty line, or zero if it is incomplete. The
/// event does not end within its first `searched` bytes.
std::size_t event_size(std::string_view bytes, std::size_t searched)
{
    for (auto lf = bytes.find('\n', searched); lf != std::string_view::npos;
         lf = bytes.find('\n', lf + 1)) {
        const auto event = bytes.substr(0, lf + 1);
        if (event.ends_with("\n\n") || event.ends_with("\r\n\r\n")) {
            return event.size();
        }
    }
    return 0;
}

/// Returns the value of the event's `id` field, if it is a number.
std::optional<std::uint64_t> event_id(std::string_view event)
{
    constexpr std::string_view field = "id:";
    while (!event.empty()) {
        const auto end = std::min(event.find('\n'), event.size());
        auto line = event.substr(0, end);
        event.remove_prefix(std::min(end + 1, event.size()));
        if (!line.starts_with(field)) {
            continue;
        }
        line.remove_prefix(field.size());
        line.remove_prefix(std::min(line.find_first_not_of(' '), line.size()));
        std::uint64_t id = 0;
        const auto read = std::from_chars(line.data(), line.data() + line.size(), id);
        if (read.ec == std::errc{}) {
            return id;
        }
    }
    return std::nullopt;
}

} // namespace

std::vector<stream_event> event_splitter::feed(std::string_view bytes)
{
    const auto searched = buffer_.size();
    buffer_.append(bytes);
    std::vector<stream_event> events;
    std::string_view remaining{buffer_};
    for (auto n = event_size(remaining, searched); n > 0; n = event_size(remaining, 0)) {
        const auto event = remaining.substr(0, n);
        events.push_back({std::string{event}, event_id(event)});
        remaining.remove_prefix(n);
    }
    buffer_.erase(0, buffer_.size() - remaining.size());
    return events;
}

} // namespace endivelatch
