#include "endivelatch/traffic/event_counter.hpp"

namespace endivelatch {

void event_counter::feed(std::string_view bytes)
{
    for (const auto byte : bytes) {
        ++idle_bytes_;
        if (byte != '\n') {
            is_comment_ = is_comment_ || (is_line_empty_ && byte == ':');
            is_line_empty_ = is_line_empty_ && byte == '\r';
            has_partial_event_ = has_partial_event_ || !is_line_empty_;
            idle_bytes_ = is_line_empty_ || is_comment_ ? idle_bytes_ : 0;
            continue;
        }
        if (is_line_empty_ && has_partial_event_) {
            ++complete_events_;
            has_partial_event_ = false;
        }
        is_line_empty_ = true;
        is_comment_ = false;
    }
}

} // namespace endivelatch
