#include "endivelatch/traffic/event_counter.hpp"

namespace endivelatch {

namespace {

constexpr std::string_view retry_field = "retry:";

} // namespace

void event_counter::feed(std::string_view bytes)
{
    for (const auto byte : bytes) {
        ++idle_bytes_;
        if (byte == '\n') {
            end_line();
            continue;
        }
        if (line_size_ == 0 && byte == '\r') {
            continue;
        }
        is_comment_ = is_comment_ || (line_size_ == 0 && byte == ':');
        may_be_retry_ =
            may_be_retry_ && (line_size_ >= retry_field.size() || retry_field[line_size_] == byte);
        ++line_size_;
        idle_bytes_ = is_comment_ ? idle_bytes_ : 0;
    }
}

void event_counter::end_line()
{
    if (line_size_ == 0 && has_event_field_) {
        ++complete_events_;
        has_event_field_ = false;
    }
    // A line that is only a part of `retry:` is a field of another name.
    const bool is_retry = may_be_retry_ && line_size_ >= retry_field.size();
    has_event_field_ = has_event_field_ || (line_size_ > 0 && !is_comment_ && !is_retry);
    line_size_ = 0;
    is_comment_ = false;
    may_be_retry_ = true;
}

} // namespace endivelatch
