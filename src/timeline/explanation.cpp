#include "endivelatch/timeline/explanation.hpp"

#include "pair_reader.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <istream>

namespace endivelatch {

namespace {

/// Events of a process that may have decided a request's fate.
constexpr std::array<std::string_view, 12> telling_events{
    "started",        "stopping",         "stopped",           "paused",
    "readiness",      "store_lost",       "store_regained",    "store_history_gone",
    "target_ejected", "targets_in_force", "settings_reloaded", "configuration_in_force"};

bool is_telling(const log_event& event)
{
    return std::find(telling_events.begin(), telling_events.end(), event.name()) !=
           telling_events.end();
}

/// Returns a number in a line, or nothing.
std::optional<double> number(const log_event& event, std::string_view key)
{
    const auto text = event.field(key);
    double n = 0;
    const auto read = std::from_chars(text.data(), text.data() + text.size(), n);
    return text.empty() || read.ec != std::errc{} ? std::nullopt : std::optional{n};
}

std::string text(const log_event& event, std::string_view key)
{
    return std::string{event.field(key)};
}

/// Returns the last line with the name, or null.
const log_event* last(const std::vector<log_line>& lines, std::string_view name)
{
    const auto it = std::find_if(lines.rbegin(), lines.rend(),
                                 [&](const auto& line) { return line.event.name() == name; });
    return it == lines.rend() ? nullptr : &it->event;
}

std::string outcome_of(const std::vector<log_line>& lines)
{
    if (const auto* refused = last(lines, "request_refused")) {
        return "refused on arrival with " + text(*refused, "status") + " (" +
               text(*refused, "reason") + "); it was not run";
    }
    const auto* finished = last(lines, "request_finished");
    if (finished == nullptr) {
        return "no end was logged: it was still running, or its router ended";
    }
    const auto outcome = finished->field("outcome");
    const auto status = text(*finished, "status");
    const auto after = " after " + text(*finished, "ms") + " ms";
    const auto reason = " (" + text(*finished, "reason") + ")";
    if (outcome == "complete") {
        return "answered whole with " + status + after + ", first bytes after " +
               text(*finished, "first_ms") + " ms";
    }
    if (outcome == "not_run") {
        return "refused with " + status + after + reason + "; it was not run";
    }
    if (outcome == "unknown") {
        return "failed with " + status + after + reason + "; it may have run";
    }
    if (outcome == "broken_off") {
        return "broken off after " + text(*finished, "bytes") + " bytes" + reason;
    }
    if (outcome == "caller_left") {
        return "the caller left" + after;
    }
    return "ended as " + std::string{outcome};
}

/// Says what an attempt was chosen by.
std::string describe_choice(const log_event& it)
{
    const auto age = number(it, "load_age_ms").value_or(-1);
    return "attempt " + text(it, "attempt") + " went to " + text(it, "target") +
           (it.field("home") == "1" ? ", the home of its prompt" : "") + ": " +
           text(it, "in_flight") + " requests there (mean " + text(it, "mean") + "), " +
           (age < 0 ? "no report of its load"
                    : "load reported " + text(it, "load_age_ms") + " ms before") +
           ", " + text(it, "unread_tokens") + " tokens to read, expected " + text(it, "cost_ms") +
           " ms";
}

/// Adds what a line of the request shows about its fate.
void add_cause(const log_event& it, std::vector<std::string>& causes)
{
    const auto& name = it.name();
    if (name == "target_chosen") {
        causes.push_back(describe_choice(it));
    }
    else if (name == "attempt_broken") {
        causes.push_back("attempt " + text(it, "attempt") + " at " + text(it, "target") +
                         " broke off (" + text(it, "reason") + "), stage " + text(it, "stage"));
    }
    else if (name == "attempt_refused") {
        causes.push_back(text(it, "target") + " stated that it did not run it (" +
                         text(it, "status") + ")");
    }
    else if (name == "answer_unusable") {
        causes.push_back(text(it, "target") + " answered " + text(it, "status") +
                         (it.field("signed") == "1" ? ", its own failure" : ", not signed"));
    }
    else if (name == "attempt_hung") {
        causes.push_back(text(it, "target") + " was silent, another target was tried");
    }
    else if (name == "no_target") {
        causes.push_back("no target took it: " + text(it, "reason") + " among " +
                         text(it, "targets") + " (registrations of revision " +
                         text(it, "revision") + ")");
    }
    else if (name == "request_refused" && it.field("config") == "0") {
        causes.push_back("the router knew no configuration yet");
    }
    else if (name == "request_refused") {
        causes.push_back("decided by version " + text(it, "config") + " of the configuration");
    }
}

/// Adds whether the answer was later than expected.
void add_lateness(const std::vector<log_line>& lines, std::vector<std::string>& causes)
{
    const auto* finished = last(lines, "request_finished");
    const auto* chosen = last(lines, "target_chosen");
    if (finished == nullptr || chosen == nullptr) {
        return;
    }
    const auto first = number(*finished, "first_ms").value_or(-1);
    const auto expected = number(*chosen, "cost_ms").value_or(0);
    // Twice the estimate and a tenth of a second: below, the difference is of no account.
    constexpr double margin_ms = 100;
    if (first > 2 * expected + margin_ms) {
        causes.push_back("the first bytes came " + std::to_string(static_cast<int>(first)) +
                         " ms after its arrival, " + text(*chosen, "cost_ms") +
                         " ms were expected: search other routers for target=" +
                         text(*chosen, "target") + " just before");
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
            lines_.push_back(std::move(*parsed));
        }
        else if (is_telling(parsed->event)) {
            others_.push_back(std::move(*parsed));
        }
    }
}

std::optional<explanation> log_search::explain() const
{
    if (lines_.empty()) {
        return std::nullopt;
    }
    explanation found;
    found.lines = lines_;
    const auto& first = lines_.front();
    const auto& end = lines_.back();
    std::copy_if(
        others_.begin(), others_.end(), std::back_inserter(found.meanwhile), [&](const auto& it) {
            return it.process == first.process && it.time >= first.time && it.time <= end.time;
        });
    found.outcome = outcome_of(lines_);
    for (const auto& it : lines_) {
        add_cause(it.event, found.causes);
    }
    add_lateness(lines_, found.causes);
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
    if (!it.meanwhile.empty()) {
        text += "meanwhile in the same process:\n";
    }
    for (const auto& line : it.meanwhile) {
        text += "  " + to_line(line);
    }
    return text;
}

} // namespace endivelatch
