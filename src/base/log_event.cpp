#include "endivelatch/base/log_event.hpp"

#include <algorithm>

namespace endivelatch {

namespace {

bool needs_quotes(std::string_view value)
{
    return value.empty() || value.find_first_of(" \"=\n\r\t\\") != std::string_view::npos;
}

void append_quoted(std::string& line, std::string_view value)
{
    line += '"';
    for (const char it : value) {
        if (it == '\n') {
            line += "\\n";
            continue;
        }
        if (it == '\r') {
            line += "\\r";
            continue;
        }
        if (it == '"' || it == '\\') {
            line += '\\';
        }
        line += it;
    }
    line += '"';
}

} // namespace

log_event& log_event::add(std::string_view key, std::string_view value) &
{
    fields_.emplace_back(key, value);
    return *this;
}

std::string_view log_event::field(std::string_view key) const
{
    const auto it =
        std::find_if(fields_.begin(), fields_.end(), [&](const auto& f) { return f.first == key; });
    return it == fields_.end() ? std::string_view{} : std::string_view{it->second};
}

std::string log_event::to_line() const
{
    std::string line = "event=" + name_;
    for (const auto& [key, value] : fields_) {
        line += ' ' + key + '=';
        if (needs_quotes(value)) {
            append_quoted(line, value);
        }
        else {
            line += value;
        }
    }
    return line;
}

} // namespace endivelatch
