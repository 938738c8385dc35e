#pragma once

#include "endivelatch/timeline/timeline_entry.hpp"

#include <cstddef>
#include <deque>
#include <string>

namespace endivelatch {

/// The last events of one process, bounded in number and bytes.
class timeline_buffer {
public:
    timeline_buffer(std::size_t max_entries, std::size_t max_bytes)
        : max_entries_{max_entries}, max_bytes_{max_bytes}
    {
    }

    /// Adds a line and drops the oldest ones above the bounds.
    void add(std::string line);

    /// Returns all lines, oldest first.
    std::string to_text() const;

    /// Returns how many lines were dropped.
    std::size_t dropped() const { return dropped_; }

private:
    std::size_t max_entries_;
    std::size_t max_bytes_;
    std::deque<std::string> lines_;
    std::size_t bytes_ = 0;
    std::size_t dropped_ = 0;
};

} // namespace endivelatch
