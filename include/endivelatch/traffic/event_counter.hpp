#pragma once

#include <cstdint>
#include <string_view>

namespace endivelatch {

/// Counts the complete events of an event stream (text/event-stream) without buffering its bytes.
class event_counter {
public:
    /// Processes received bytes.
    void feed(std::string_view bytes);

    /// Returns the number of events whose terminating empty line was received.
    std::uint64_t complete_events() const { return complete_events_; }

    /// Returns whether bytes were received since the last complete event.
    bool has_partial_event() const { return has_partial_event_; }

private:
    std::uint64_t complete_events_ = 0;
    bool has_partial_event_ = false;
    bool is_line_empty_ = true; ///< No byte of the current line was received but a carriage return.
};

} // namespace endivelatch
