#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace endivelatch {

/// A complete event of an event stream, with its bytes unchanged.
struct stream_event {
    std::string bytes; ///< Includes the terminating empty line.
    std::optional<std::uint64_t> id;
};

/// Splits an event stream (text/event-stream) into complete events. Each byte is searched once, so
/// that the time grows with the number of bytes, in whatever pieces they arrive.
class event_splitter {
public:
    /// Appends received bytes and returns the events that are now complete.
    std::vector<stream_event> feed(std::string_view bytes);

    /// Returns whether an incomplete event is buffered.
    bool has_partial_event() const { return !buffer_.empty(); }

    /// Returns the number of buffered bytes of an incomplete event.
    std::size_t partial_size() const { return buffer_.size(); }

    /// Discards the buffered incomplete event.
    void drop_partial_event() { buffer_.clear(); }

private:
    std::string buffer_;
};

} // namespace endivelatch
