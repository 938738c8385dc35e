#pragma once

#include "endivelatch/timeline/timeline_entry.hpp"

#include <iosfwd>
#include <string>
#include <vector>

namespace endivelatch {

/// Selects entries by the values of their fields. Empty fields match all entries.
struct timeline_filter {
    std::string request;
    std::string chat;
    std::string target;
    std::string organisation;
    std::string event;
};

/// Merges the events of any number of processes into one causal order.
class timeline {
public:
    /// Adds an entry.
    void add(timeline_entry entry);

    /// Adds the entries of a text, one per line; returns a finding for each malformed line. `name`
    /// is the location in the findings.
    findings read(std::istream& in, const std::string& name);

    /// Returns all entries in causal order, without duplicates.
    std::vector<timeline_entry> entries() const;

    /// Returns the entries that match the filter, and all entries of a request that has an entry
    /// that matches. The filter by event name applies to each entry by itself.
    std::vector<timeline_entry> matching(const timeline_filter& filter) const;

private:
    std::vector<timeline_entry> entries_;
};

} // namespace endivelatch
