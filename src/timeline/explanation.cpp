#include "endivelatch/timeline/explanation.hpp"

#include "pair_reader.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <istream>

namespace endivelatch {

namespace {

/// Events of a process that can affect the outcome of a request.
constexpr std::array<std::string_view, 12> relevant_process_events{
    "started",        "stopping",         "stopped",           "paused",
    "readiness",      "store_lost",       "store_regained",    "store_history_gone",
    "target_ejected", "targets_in_force", "settings_reloaded", "configuration_in_force"};

bool is_relevant_process_event(const log_event& event)
{
    return std::find(relevant_process_events.begin(), relevant_process_events.end(),
                     event.name()) != relevant_process_events.end();
}

/// Returns the value of a field as a number, or nothing when it is none.
std::optional<double> field_number(const log_event& event, std::string_view key)
{
    const auto text = event.field(key);
    double n = 0;
    const auto read = std::from_chars(text.data(), text.data() + text.size(), n);
    return text.empty() || read.ec != std::errc{} ? std::nullopt : std::optional{n};
}

std::string field_text(const log_event& event, std::string_view key)
{
    return std::string{event.field(key)};
}

/// Returns the last event with the name, or null.
const log_event* last_event(const std::vector<log_line>& lines, std::string_view name)
{
    const auto it = std::find_if(lines.rbegin(), lines.rend(),
                                 [&](const auto& line) { return line.event.name() == name; });
    return it == lines.rend() ? nullptr : &it->event;
}

std::string outcome_of(const std::vector<log_line>& lines)
{
    if (const auto* refused = last_event(lines, "request_refused")) {
        return "refused on arrival with " + field_text(*refused, "status") + " (" +
               field_text(*refused, "reason") + "); it was not run";
    }
    const auto* finished = last_event(lines, "request_finished");
    if (finished == nullptr) {
        return "no end was logged: the request was still running or its router stopped";
    }
    const auto outcome = finished->field("outcome");
    const auto status = field_text(*finished, "status");
    const auto after = " after " + field_text(*finished, "ms") + " ms";
    const auto reason = " (" + field_text(*finished, "reason") + ")";
    if (outcome == "complete") {
        return "answered completely with " + status + after + ", first bytes after " +
               field_text(*finished, "first_ms") + " ms";
    }
    if (outcome == "not_run") {
        return "refused with " + status + after + reason + "; it was not run";
    }
    if (outcome == "unknown") {
        return "failed with " + status + after + reason + "; it may have run";
    }
    if (outcome == "broken_off") {
        return "answer aborted after " + field_text(*finished, "bytes") + " bytes" + reason;
    }
    if (outcome == "caller_left") {
        return "the caller left" + after;
    }
    return "ended with outcome " + std::string{outcome};
}

/// Describes an attempt's target and the loads by which it was chosen.
std::string describe_choice(const log_event& it)
{
    const auto age = field_number(it, "load_age_ms").value_or(-1);
    return "attempt " + field_text(it, "attempt") + " was sent to " + field_text(it, "target") +
           (it.field("home") == "1" ? ", the home target of its prompt" : "") + ": " +
           field_text(it, "in_flight") + " requests in flight (mean " + field_text(it, "mean") +
           "), " +
           (age < 0 ? "no load report"
                    : "load reported " + field_text(it, "load_age_ms") + " ms earlier") +
           ", " + field_text(it, "unread_tokens") + " tokens to prefill, expected " +
           field_text(it, "cost_ms") + " ms";
}

/// Appends the cause, if any, that a line of the request shows.
void append_cause(const log_event& it, std::vector<std::string>& causes)
{
    const auto& name = it.name();
    if (name == "target_chosen") {
        causes.push_back(describe_choice(it));
    }
    else if (name == "attempt_broken") {
        causes.push_back("attempt " + field_text(it, "attempt") + " at " +
                         field_text(it, "target") + " failed (" + field_text(it, "reason") +
                         ") in stage " + field_text(it, "stage"));
    }
    else if (name == "attempt_refused") {
        causes.push_back(field_text(it, "target") + " reported that it did not run the request (" +
                         field_text(it, "status") + ")");
    }
    else if (name == "answer_unusable") {
        causes.push_back(field_text(it, "target") + " returned status " + field_text(it, "status") +
                         (it.field("signed") == "1" ? ", an error of the target itself (signed)"
                                                    : ", not signed by the target"));
    }
    else if (name == "attempt_hung") {
        causes.push_back(field_text(it, "target") + " did not respond; another target was tried");
    }
    else if (name == "no_target") {
        causes.push_back("no target accepted it: " + field_text(it, "reason") + " among " +
                         field_text(it, "targets") + " targets (registrations at revision " +
                         field_text(it, "revision") + ")");
    }
    else if (name == "request_refused" && it.field("config") == "0") {
        causes.push_back("the router had no configuration yet");
    }
    else if (name == "request_refused") {
        causes.push_back("refused under version " + field_text(it, "config") +
                         " of the configuration");
    }
}

/// Appends a cause if the answer was later than expected.
void append_lateness(const std::vector<log_line>& lines, std::vector<std::string>& causes)
{
    const auto* finished = last_event(lines, "request_finished");
    const auto* chosen = last_event(lines, "target_chosen");
    if (finished == nullptr || chosen == nullptr) {
        return;
    }
    const auto first = field_number(*finished, "first_ms").value_or(-1);
    const auto expected = field_number(*chosen, "cost_ms").value_or(0);
    // Delays below twice the estimate plus 100 ms are not significant.
    constexpr double margin_ms = 100;
    if (first > 2 * expected + margin_ms) {
        causes.push_back("the first bytes arrived " + std::to_string(static_cast<int>(first)) +
                         " ms after the request, " + field_text(*chosen, "cost_ms") +
                         " ms were expected: search the logs of other routers for target=" +
                         field_text(*chosen, "target") + " shortly before");
    }
}

std::string to_line(const log_line& it)
{
    return it.time + ' ' + it.process + ' ' + it.event.to_line() + '\n';
}

} // namespace

std::optional<log_line> parse_log_line(std::string_view line, std::string_view process)
{
    const auto begin = line.find("time=");
    if (begin == std::string_view::npos) {
        return std::nullopt;
    }
    auto before = line.substr(0, begin);
    while (before.ends_with(' ')) {
        before.remove_suffix(1);
    }
    const auto word = before.substr(before.rfind(' ') + 1);
    pair_reader pairs{line.substr(begin)};
    const auto time = pairs.next();
    const auto level = pairs.next();
    const auto event = pairs.next();
    if (!level || level->first != "level" || !event || event->first != "event") {
        return std::nullopt;
    }
    log_line read{std::string{word.empty() ? process : word}, time->second,
                  log_event{event->second}};
    while (const auto pair = pairs.next()) {
        read.event.add(pair->first, std::string_view{pair->second});
    }
    return read;
}

void log_search::read(std::istream& in, const std::string& process)
{
    std::string line;
    while (std::getline(in, line)) {
        auto parsed = parse_log_line(line, process);
        if (!parsed) {
            continue;
        }
        if (parsed->event.field("request") == request_) {
            request_lines_.push_back(std::move(*parsed));
        }
        else if (is_relevant_process_event(parsed->event)) {
            process_lines_.push_back(std::move(*parsed));
        }
    }
}

std::optional<explanation> log_search::explain() const
{
    if (request_lines_.empty()) {
        return std::nullopt;
    }
    explanation found;
    found.lines = request_lines_;
    const auto& first = request_lines_.front();
    const auto& end = request_lines_.back();
    std::copy_if(process_lines_.begin(), process_lines_.end(),
                 std::back_inserter(found.process_events), [&](const auto& it) {
                     return it.process == first.process && it.time >= first.time &&
                            it.time <= end.time;
                 });
    found.outcome = outcome_of(request_lines_);
    for (const auto& it : request_lines_) {
        append_cause(it.event, found.causes);
    }
    append_lateness(request_lines_, found.causes);
    return found;
}

std::string to_text(const explanation& it)
{
    std::string text = "outcome: " + it.outcome + '\n';
    for (const auto& cause : it.causes) {
        text += "  " + cause + '\n';
    }
    text += "lines:\n";
    for (const auto& line : it.lines) {
        text += "  " + to_line(line);
    }
    if (!it.process_events.empty()) {
        text += "other events of the same process:\n";
    }
    for (const auto& line : it.process_events) {
        text += "  " + to_line(line);
    }
    return text;
}

} // namespace endivelatch
