#include "process.hpp"

#include <csignal>
#include <stdexcept>

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

extern char** environ; // NOLINT(readability-identifier-naming)

namespace endivelatch::review {

process::process(const std::vector<std::string>& command, const std::string& log_file)
{
    std::vector<char*> argv;
    argv.reserve(command.size() + 1);
    for (const auto& it : command) {
        argv.push_back(const_cast<char*>(it.c_str())); // NOLINT: posix_spawn takes char*
    }
    argv.push_back(nullptr);
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    constexpr int mode = 0600;
    posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, log_file.c_str(),
                                     O_WRONLY | O_CREAT | O_APPEND, mode);
    posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
    const int ec = posix_spawn(&pid_, argv.front(), &actions, nullptr, argv.data(), environ);
    posix_spawn_file_actions_destroy(&actions);
    if (ec != 0) {
        throw std::runtime_error{"cannot start " + command.front()};
    }
}

process::~process()
{
    kill();
}

void process::send(int signal) const
{
    if (pid_ > 0) {
        ::kill(pid_, signal);
    }
}

void process::kill()
{
    if (pid_ <= 0) {
        return;
    }
    ::kill(pid_, SIGKILL);
    ::waitpid(pid_, nullptr, 0);
    pid_ = -1;
    exit_code_ = 128 + SIGKILL;
}

int process::exit_code()
{
    int status = 0;
    if (pid_ > 0 && ::waitpid(pid_, &status, WNOHANG) == pid_) {
        pid_ = -1;
        exit_code_ = WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
    }
    return exit_code_;
}

} // namespace endivelatch::review
