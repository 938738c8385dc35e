#pragma once

#include "endivelatch/timeline/timeline_entry.hpp"

#include <iosfwd>
#include <string>
#include <vector>

namespace endivelatch {

/// Which entries to show. Empty fields match everything.
struct time_line_filter {
    std::string request;
    std::string chat;
    std::string target;
    std::string organisation;
    std::string event;
};

/// The events of any number of processes in one causal order.
class time_line {
public:
    /// Adds an entry.
    void add(time_line_entry entry);

    /// Adds the entries in a text, one a line; returns a finding for each malformed line.
    findings read(std::istream& in, const std::string& name);

    /// Returns all entries in order, each once.
    std::vector<time_line_entry> entries() const;

    /// Returns the entries that match. A filter by chat or organisation also matches all events
    /// of the requests that name it.
    std::vector<time_line_entry> matching(const time_line_filter& filter) const;

private:
    std::vector<time_line_entry> entries_;
};

} // namespace endivelatch
