#pragma once

#include <string_view>

namespace endivelatch {

/// Outcome of a request as reported to the caller.
enum class outcome {
    complete, ///< The complete answer was delivered.
    not_run,  ///< No part of the request was run.
    failed,   ///< The request was run and the target reported an error.
    unknown,  ///< The request may or may not have been run.
};

/// Returns the name of the outcome in answers and logs, such as `not_run`.
std::string_view to_string(outcome o);

} // namespace endivelatch
