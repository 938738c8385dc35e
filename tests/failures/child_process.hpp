#pragma once

#include <csignal>
#include <cstddef>
#include <string>
#include <sys/types.h>
#include <vector>

namespace endivelatch::failures {

/// A process started by a test; killed by the destructor.
class child_process {
public:
    /// Starts the program and redirects its output to a file.
    child_process(const std::vector<std::string>& command, const std::string& log_file);
    ~child_process();
    child_process(const child_process&) = delete;
    child_process(child_process&&) = delete;
    child_process& operator=(const child_process&) = delete;
    child_process& operator=(child_process&&) = delete;

    /// Sends a signal if the process has not been reaped.
    void send(int signal) const;

    /// Kills the process and waits until it has exited.
    void kill();

    /// Returns the exit code, 128 plus the signal number if a signal ended the process, or -1
    /// while it runs.
    int exit_code();

    /// Returns the largest resident memory of the process so far, in bytes; 0 if it has ended.
    std::size_t peak_memory() const;

    /// Returns the number of open descriptors of the process; 0 if it has ended.
    std::size_t open_descriptors() const;

private:
    pid_t pid_ = -1;
    int exit_code_ = -1;
};

} // namespace endivelatch::failures
