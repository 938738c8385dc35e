#include "response_head_scanner.hpp"

#include "endivelatch/http1/head_check.hpp"

namespace endivelatch {

std::size_t response_head_scanner::scan(std::string_view bytes)
{
    std::size_t n = 0;
    while (n < bytes.size() && state_ != state::complete && state_ != state::failed) {
        state_ = next_state(bytes[n]);
        ++n;
    }
    return n;
}

response_head_scanner::state response_head_scanner::next_state(char c)
{
    if (c == '\n') {
        has_carriage_return_ = false;
        return end_line();
    }
    if (has_carriage_return_) {
        return state::failed;
    }
    has_carriage_return_ = c == '\r';
    if (has_carriage_return_) {
        return state_;
    }
    switch (state_) {
    case state::before_head:
    case state::status_line:
        if (status_line_.size() < checked_status_line_size) {
            status_line_ += c;
        }
        return state::status_line;
    case state::line_start:
        // http_parser appends a folded line to the value before it.
        return c == ' ' || c == '\t' ? state::failed : state::line;
    case state::line:
        return state::line;
    case state::complete:
    case state::failed:
        break;
    }
    return state::failed;
}

response_head_scanner::state response_head_scanner::end_line()
{
    switch (state_) {
    case state::before_head:
        return state::before_head;
    case state::status_line:
        return parse_status_line(status_line_) ? state::line_start : state::failed;
    case state::line_start:
        return state::complete;
    case state::line:
        return state::line_start;
    case state::complete:
    case state::failed:
        break;
    }
    return state::failed;
}

} // namespace endivelatch
