#pragma once

#include "http_caller.hpp"

#include <string>

/// Checks of the responses that callers received.
namespace endivelatch::failures {

/// Returns the outcome from the header, the body or the last event; empty if there is none.
std::string reported_outcome(const test_response& r);

/// Returns the number of events with an ID, or -1 if the IDs are not consecutive.
int count_numbered_events(const test_response& r);

/// Returns whether a stream reported as complete has all events, and any other has
/// neither gaps nor extra events.
bool reports_completeness_correctly(const test_response& r, int expected_events);

} // namespace endivelatch::failures
