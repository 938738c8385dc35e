#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace endivelatch {

/// One whole event of an event stream, with its bytes unchanged.
struct stream_event {
    std::string bytes; ///< Up to and including the empty line.
    std::optional<std::uint64_t> id;
};

/// Cuts an event stream (text/event-stream) into whole events.
class event_splitter {
public:
    /// Takes bytes; returns the events that they complete.
    std::vector<stream_event> feed(std::string_view bytes);

    /// Returns whether bytes of an event without its end are held.
    bool has_partial() const { return !rest_.empty(); }

    /// Drops the bytes of an event without its end.
    void drop_partial() { rest_.clear(); }

private:
    std::string rest_;
};

} // namespace endivelatch
