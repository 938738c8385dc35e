#pragma once

#include "endivelatch/base/log_event.hpp"

#include <iosfwd>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// Why a request ended as it did, from the logs of the entry routers.
namespace endivelatch {

/// One line of an entry router's log.
struct log_line {
    std::string process; ///< The file, or the word before the line's time.
    std::string time;
    log_event event;
};

/// Returns the line `time=... level=... event=NAME key=value...`, or nothing when it is another
/// one. Text before `time=` names the process; otherwise `process` does.
std::optional<log_line> parse_log_line(std::string_view line, std::string_view process);

/// What the logs tell about one request.
struct explanation {
    std::vector<log_line> lines;     ///< Of the request, as they were written.
    std::vector<log_line> meanwhile; ///< Of the same process between them: what it lost or changed.
    std::string outcome;             ///< One sentence: what the caller got.
    std::vector<std::string> causes; ///< What led to it, as far as the lines show.
};

/// Finds a request in the logs of any number of entry routers.
class log_search {
public:
    explicit log_search(std::string request) : request_{std::move(request)} {}

    /// Reads the log of a process.
    void read(std::istream& in, const std::string& process);

    /// Returns what was found, or nothing when no line names the request.
    std::optional<explanation> explain() const;

private:
    std::string request_;
    std::vector<log_line> lines_;  ///< Of the request.
    std::vector<log_line> others_; ///< Of no request.
};

/// Returns the explanation as text for people.
std::string to_text(const explanation& it);

} // namespace endivelatch
