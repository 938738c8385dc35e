#pragma once

#include "endivelatch/timeline/timeline_entry.hpp"

#include <iosfwd>
#include <string>
#include <vector>

namespace endivelatch {

/// Which entries to show. Empty fields match everything.
struct timeline_filter {
    std::string request;
    std::string chat;
    std::string target;
    std::string organisation;
    std::string event;
};

/// The events of any number of processes in one causal order.
class timeline {
public:
    /// Adds an entry.
    void add(timeline_entry entry);

    /// Adds the entries in a text, one a line; returns a finding for each malformed line.
    findings read(std::istream& in, const std::string& name);

    /// Returns all entries in order, each once.
    std::vector<timeline_entry> entries() const;

    /// Returns the entries that match. A filter by chat or organisation also matches all events
    /// of the requests that name it.
    std::vector<timeline_entry> matching(const timeline_filter& filter) const;

private:
    std::vector<timeline_entry> entries_;
};

} // namespace endivelatch
