#include "response_check.hpp"

#include <sstream>

namespace endivelatch::failures {

std::string told_outcome(const reply& r)
{
    const auto header = r.headers.find("x-endivelatch-outcome");
    if (header != r.headers.end()) {
        return header->second;
    }
    constexpr std::string_view field = "\"outcome\":\"";
    const auto begin = r.body.rfind(field);
    if (begin == std::string::npos) {
        return {};
    }
    const auto start = begin + field.size();
    return r.body.substr(start, r.body.find('"', start) - start);
}

int numbered_events(const reply& r)
{
    std::istringstream lines{r.body};
    std::string line;
    int n = 0;
    while (std::getline(lines, line)) {
        if (!line.starts_with("id: ")) {
            continue;
        }
        ++n;
        if (line != "id: " + std::to_string(n)) {
            return -1;
        }
    }
    return n;
}

bool stream_is_honest(const reply& r, int expected_events)
{
    const bool says_complete = r.whole && told_outcome(r) == "complete";
    const int n = numbered_events(r);
    return says_complete ? n == expected_events : n >= 0 && n <= expected_events;
}

} // namespace endivelatch::failures
