#pragma once

#include "endivelatch/base/log_event.hpp"

#include <iosfwd>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// Explains the outcome of a request from the logs of the entry routers.
namespace endivelatch {

/// A parsed line of an entry router's log.
struct log_line {
    std::string process; ///< The word before `time=`, or else the name of the file.
    std::string time;
    log_event event;
};

/// Parses a line `time=... level=... event=NAME key=value...`; returns nothing when it has another
/// format. The last word before `time=` is the process; without one, it is `process`.
std::optional<log_line> parse_log_line(std::string_view line, std::string_view process);

/// The outcome of a request and the log lines that explain it.
struct explanation {
    std::vector<log_line> lines; ///< Of the request, in the order in which they were read.
    /// Events of the same process during the request that can affect its outcome.
    std::vector<log_line> process_events;
    std::string outcome;             ///< One sentence on what the caller received.
    std::vector<std::string> causes; ///< What led to the outcome, as far as the lines show.
};

/// Searches the logs of any number of entry routers for a request.
class log_search {
public:
    explicit log_search(std::string request) : request_{std::move(request)} {}

    /// Reads the log of a process.
    void read(std::istream& in, const std::string& process);

    /// Returns the explanation, or nothing when no line refers to the request.
    std::optional<explanation> explain() const;

private:
    std::string request_;
    std::vector<log_line> request_lines_; ///< Lines of the request.
    std::vector<log_line> process_lines_; ///< Relevant lines that belong to no request.
};

/// Returns the explanation as human-readable text.
std::string to_text(const explanation& it);

} // namespace endivelatch
