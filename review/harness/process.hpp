#pragma once

#include <string>
#include <vector>

#include <sys/types.h>

namespace endivelatch::review {

/// A process that a case started; killed by the destructor.
class process {
public:
    /// Starts the program and redirects its output to a file.
    process(const std::vector<std::string>& command, const std::string& log_file);
    ~process();
    process(const process&) = delete;
    process(process&&) = delete;
    process& operator=(const process&) = delete;
    process& operator=(process&&) = delete;

    /// Sends a signal unless the process has ended.
    void send(int signal) const;

    /// Kills the process and waits until it has ended.
    void kill();

    /// Returns the exit code, 128 plus the signal number if a signal ended the process, or -1
    /// while it runs.
    int exit_code();

private:
    pid_t pid_ = -1;
    int exit_code_ = -1;
};

} // namespace endivelatch::review
