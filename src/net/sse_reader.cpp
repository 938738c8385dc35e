#include "endivelatch/net/sse_reader.hpp"

#include <charconv>

namespace endivelatch {

namespace {

/// Removes a trailing CR.
std::string_view without_cr(std::string_view line)
{
    if (line.ends_with('\r')) {
        line.remove_suffix(1);
    }
    return line;
}

/// Returns the value of a line `field: value`, without the optional space after the colon.
std::string_view value_of_field(std::string_view line, std::size_t colon)
{
    std::string_view value = line.substr(colon + 1);
    if (value.starts_with(' ')) {
        value.remove_prefix(1);
    }
    return value;
}

/// Parses one line into the event.
void parse_line(sse_event& event, std::string_view line, bool& has_data)
{
    const auto colon = line.find(':');
    if (colon == std::string_view::npos) {
        return;
    }
    const std::string_view field = line.substr(0, colon);
    const std::string_view value = value_of_field(line, colon);
    if (field == "data") {
        if (has_data) {
            event.data += '\n';
        }
        event.data += value;
        has_data = true;
        return;
    }
    if (field == "id") {
        std::uint64_t n = 0;
        const auto [end, ec] = std::from_chars(value.data(), value.data() + value.size(), n);
        if (ec == std::errc{} && end == value.data() + value.size()) {
            event.id = n;
        }
    }
}

/// Parses the lines of an event.
sse_event parse_event(std::string_view raw)
{
    sse_event event;
    event.raw = raw;
    bool has_data = false;
    while (!raw.empty()) {
        const auto end = raw.find('\n');
        parse_line(event, without_cr(raw.substr(0, end)), has_data);
        raw.remove_prefix(end == std::string_view::npos ? raw.size() : end + 1);
    }
    return event;
}

} // namespace

std::optional<sse_event> sse_reader::next()
{
    while (true) {
        const auto end = buf_.find('\n', scanned_);
        if (end == std::string::npos) {
            buf_.erase(0, begin_);
            scanned_ -= begin_;
            begin_ = 0;
            return std::nullopt;
        }
        const auto line = without_cr(std::string_view{buf_}.substr(scanned_, end - scanned_));
        scanned_ = end + 1;
        if (!line.empty()) {
            continue;
        }
        const auto raw = std::string_view{buf_}.substr(begin_, scanned_ - begin_);
        begin_ = scanned_;
        if (without_cr(raw.substr(0, raw.size() - 1)).empty()) {
            continue;
        }
        return parse_event(raw);
    }
}

} // namespace endivelatch
