#include "response_check.hpp"

#include <sstream>

namespace endivelatch::failures {

std::string reported_outcome(const test_response& r)
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

int count_numbered_events(const test_response& r)
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

bool reports_completeness_correctly(const test_response& r, int expected_events)
{
    const bool reports_complete = r.is_complete && reported_outcome(r) == "complete";
    const int n = count_numbered_events(r);
    return reports_complete ? n == expected_events : n >= 0 && n <= expected_events;
}

} // namespace endivelatch::failures
