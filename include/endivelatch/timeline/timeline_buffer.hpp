#pragma once

#include "endivelatch/timeline/timeline_entry.hpp"

#include <cstddef>
#include <deque>
#include <string>

namespace endivelatch {

/// Keeps the last events of a process, limited in number and total size.
class timeline_buffer {
public:
    timeline_buffer(std::size_t max_entries, std::size_t max_bytes)
        : max_entries_{max_entries}, max_bytes_{max_bytes}
    {
    }

    /// Adds a line; drops the oldest lines while a limit is exceeded.
    void add(std::string line);

    /// Returns the lines from oldest to newest, each with a newline.
    std::string to_text() const;

    /// Returns the number of dropped lines.
    std::size_t dropped() const { return dropped_; }

private:
    std::size_t max_entries_;
    std::size_t max_bytes_;
    std::deque<std::string> lines_;
    std::size_t bytes_ = 0;
    std::size_t dropped_ = 0;
};

} // namespace endivelatch
