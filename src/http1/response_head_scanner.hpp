#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace endivelatch {

/// Finds the end of a response's head in bytes that arrive in parts, and checks what `http_parser`
/// accepts: any number as a status, and folded lines.
class response_head_scanner {
public:
    /// Scans bytes up to the end of the head or a fault; returns how many were scanned.
    std::size_t scan(std::string_view bytes);

    /// Returns whether the bytes are not a valid head.
    bool has_failed() const { return state_ == state::failed; }

private:
    enum class state {
        before_head, ///< Empty lines are skipped.
        status_line,
        line_start,
        line,
        complete,
        failed,
    };

    state next_state(char c);
    state end_line();

    state state_ = state::before_head;
    bool has_carriage_return_ = false; ///< The last byte was a carriage return.
    std::string status_line_;          ///< Its first bytes.
};

} // namespace endivelatch
