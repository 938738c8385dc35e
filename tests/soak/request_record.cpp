#include "request_record.hpp"

#include <algorithm>
#include <array>

namespace endivelatch::soak {

namespace {

constexpr int max_attempts_of_repeatable = 2;
constexpr std::array<int, 4> not_run_statuses{408, 421, 429, 503};

int run_count(const serve::serve_fleet& fleet, const std::string& attempt)
{
    int sum = 0;
    for (const auto& it : fleet.replicas) {
        const auto found = it->runs().find(attempt);
        sum += found == it->runs().end() ? 0 : found->second;
    }
    return sum;
}

std::string complete_stream()
{
    std::string body;
    for (int n = 1; n <= standins::replica_standin::event_count; ++n) {
        body += "id: " + std::to_string(n) + "\ndata: event " + std::to_string(n) + "\n\n";
    }
    return body;
}

bool is_stream(request_type type)
{
    return type == request_type::stream || type == request_type::resumable_stream;
}

/// Returns what is wrong with a 200 response, or an empty string.
std::string check_success(const request_record& it, const serve::client_response& response)
{
    if (find_header_ignoring_case(response.headers, "Endivelatch-Response-Signature") == nullptr) {
        return "a 200 response without the replica's signature";
    }
    const auto expected = is_stream(it.type) ? complete_stream() : "POST " + it.path + " body";
    if (response.is_complete && response.body != expected) {
        return "a complete response with an unexpected body: " + response.body;
    }
    if (!expected.starts_with(response.body)) {
        return "a partial body that differs from the replica's response: " + response.body;
    }
    return {};
}

} // namespace

std::string request_path(request_type type, const std::string& attempt)
{
    switch (type) {
    case request_type::safe:
        return "/safe/" + attempt;
    case request_type::unsafe:
        return "/unsafe/" + attempt;
    case request_type::stream:
        return "/once/stream/" + attempt;
    case request_type::resumable_stream:
        return "/again/stream/" + attempt;
    }
    return {};
}

std::vector<std::string> find_violations(const serve::serve_fleet& fleet,
                                         const std::vector<request_record>& records)
{
    std::vector<std::string> violations;
    for (const auto& it : records) {
        const auto add_violation = [&](const std::string& what) {
            violations.push_back("request " + it.attempt + " (" + it.path + "): " + what);
        };
        const auto runs = run_count(fleet, it.attempt);
        const bool is_repeatable =
            it.type == request_type::safe || it.type == request_type::resumable_stream;
        if (runs > (is_repeatable ? max_attempts_of_repeatable : 1)) {
            add_violation("ran " + std::to_string(runs) + " times");
        }
        const auto found = fleet.responses.find(it.response_id);
        if (found == fleet.responses.end()) {
            continue;
        }
        const auto& response = found->second;
        const bool reports_not_run = std::find(not_run_statuses.begin(), not_run_statuses.end(),
                                               response.status) != not_run_statuses.end();
        if (reports_not_run && runs > 0) {
            add_violation("got status " + std::to_string(response.status) + ", but has run");
        }
        if (response.status == 200) {
            const auto fault = check_success(it, response);
            if (!fault.empty()) {
                add_violation(fault);
            }
        }
        if (response.status == 401 || response.status == 404) {
            add_violation("got status " + std::to_string(response.status) +
                          " although its route and key exist");
        }
        if (!response.has_ended && !it.was_cancelled) {
            add_violation("has no response long after its timeout");
        }
    }
    return violations;
}

} // namespace endivelatch::soak
