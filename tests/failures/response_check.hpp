#pragma once

#include "http_caller.hpp"

#include <string>

/// Checks of what callers were told.
namespace endivelatch::failures {

/// Returns the outcome in an answer's header, its body or its last event; empty if none is given.
std::string told_outcome(const reply& r);

/// Returns how many numbered events the stream has, or -1 when their numbers have gaps.
int numbered_events(const reply& r);

/// Returns whether the stream shows itself as whole exactly when all its events came.
bool stream_is_honest(const reply& r, int expected_events);

} // namespace endivelatch::failures
