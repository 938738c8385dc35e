#pragma once

#include <csignal>

namespace endivelatch {

/// Writes one log line when a signal ends the process (SIGSEGV, SIGBUS, SIGFPE, SIGILL, SIGABRT),
/// with the signal and what the process did last, and then lets the signal take its effect. The
/// line goes to the standard output, past the buffered lines before it.
void log_fatal_signals();

/// Sets what the line names as the last event: a string that is never destroyed.
void set_last_event(const char* name);

} // namespace endivelatch
