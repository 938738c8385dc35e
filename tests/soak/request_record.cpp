#include "request_record.hpp"

#include <algorithm>
#include <array>

namespace endivelatch::soak {

namespace {

constexpr int most_attempts_of_safe = 2;
constexpr std::array<int, 4> not_run_statuses{408, 421, 429, 503};

int runs_of(const serve::serve_fleet& fleet, const std::string& attempt)
{
    int sum = 0;
    for (const auto& it : fleet.replicas) {
        const auto found = it->runs().find(attempt);
        sum += found == it->runs().end() ? 0 : found->second;
    }
    return sum;
}

std::string whole_stream()
{
    std::string body;
    for (int n = 1; n <= standins::replica_standin::events; ++n) {
        body += "id: " + std::to_string(n) + "\ndata: event " + std::to_string(n) + "\n\n";
    }
    return body;
}

bool is_stream(call_kind kind)
{
    return kind == call_kind::once || kind == call_kind::again;
}

/// Returns what is wrong with an answer of success, or an empty text.
std::string fault_of_success(const caller_record& it, const serve::caller_answer& answer)
{
    if (find_header_ignoring_case(answer.headers, "Endivelatch-Response-Signature") == nullptr) {
        return "a success without the replica's signature";
    }
    const auto expected = is_stream(it.kind) ? whole_stream() : "POST " + it.path + " body";
    if (answer.is_complete && answer.body != expected) {
        return "a whole answer with another body: " + answer.body;
    }
    if (!expected.starts_with(answer.body)) {
        return "bytes that the replica did not send so: " + answer.body;
    }
    return {};
}

} // namespace

std::string path_of(call_kind kind, const std::string& attempt)
{
    switch (kind) {
    case call_kind::safe:
        return "/safe/" + attempt;
    case call_kind::unsafe:
        return "/unsafe/" + attempt;
    case call_kind::once:
        return "/once/stream/" + attempt;
    case call_kind::again:
        return "/again/stream/" + attempt;
    }
    return {};
}

std::vector<std::string> find_violations(const serve::serve_fleet& fleet,
                                         const std::vector<caller_record>& records)
{
    std::vector<std::string> violations;
    for (const auto& it : records) {
        const auto note = [&](const std::string& what) {
            violations.push_back("request " + it.attempt + " (" + it.path + "): " + what);
        };
        const auto runs = runs_of(fleet, it.attempt);
        const bool may_repeat = it.kind == call_kind::safe || it.kind == call_kind::again;
        if (runs > (may_repeat ? most_attempts_of_safe : 1)) {
            note("ran " + std::to_string(runs) + " times");
        }
        const auto found = fleet.answers.find(it.answer);
        if (found == fleet.answers.end()) {
            continue;
        }
        const auto& answer = found->second;
        const bool says_not_run = std::find(not_run_statuses.begin(), not_run_statuses.end(),
                                            answer.status) != not_run_statuses.end();
        if (says_not_run && runs > 0) {
            note("answered " + std::to_string(answer.status) + ", but has run");
        }
        if (answer.status == 200) {
            const auto fault = fault_of_success(it, answer);
            if (!fault.empty()) {
                note(fault);
            }
        }
        if (answer.status == 401 || answer.status == 404) {
            note("answered " + std::to_string(answer.status) +
                 " though its route and key are there");
        }
        if (!answer.has_ended && !it.has_left) {
            note("has no answer long after its time");
        }
    }
    return violations;
}

} // namespace endivelatch::soak
