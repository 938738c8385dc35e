#include "child_process.hpp"

#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <spawn.h>
#include <stdexcept>
#include <sys/wait.h>

extern char** environ; // NOLINT(readability-identifier-naming)

namespace endivelatch::failures {

child_process::child_process(const std::vector<std::string>& command, const std::string& log_file)
{
    std::vector<char*> argv;
    for (const auto& it : command) {
        argv.push_back(const_cast<char*>(it.c_str())); // NOLINT: posix_spawn takes char*
    }
    argv.push_back(nullptr);
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    constexpr int mode = 0600;
    posix_spawn_file_actions_addopen(&actions, 1, log_file.c_str(), O_WRONLY | O_CREAT | O_TRUNC,
                                     mode);
    posix_spawn_file_actions_adddup2(&actions, 1, 2);
    const int ec = posix_spawn(&pid_, argv.front(), &actions, nullptr, argv.data(), environ);
    posix_spawn_file_actions_destroy(&actions);
    if (ec != 0) {
        throw std::runtime_error{"cannot start " + command.front()};
    }
}

child_process::~child_process()
{
    kill();
}

void child_process::send(int signal) const
{
    if (pid_ > 0) {
        ::kill(pid_, signal);
    }
}

void child_process::kill()
{
    if (pid_ <= 0) {
        return;
    }
    ::kill(pid_, SIGKILL);
    ::waitpid(pid_, nullptr, 0);
    pid_ = -1;
}

int child_process::exit_code()
{
    int status = 0;
    if (pid_ > 0 && ::waitpid(pid_, &status, WNOHANG) == pid_) {
        pid_ = -1;
        exit_code_ = WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
    }
    return exit_code_;
}

std::size_t child_process::peak_memory() const
{
    constexpr std::size_t bytes_per_kb = 1'024;
    const std::string field = "VmHWM:";
    std::ifstream in{"/proc/" + std::to_string(pid_) + "/status"};
    for (std::string line; std::getline(in, line);) {
        if (line.starts_with(field)) {
            return std::stoul(line.substr(field.size())) * bytes_per_kb;
        }
    }
    return 0;
}

std::size_t child_process::open_descriptors() const
{
    std::error_code ec;
    const std::filesystem::directory_iterator entries{"/proc/" + std::to_string(pid_) + "/fd", ec};
    return static_cast<std::size_t>(std::distance(begin(entries), end(entries)));
}

} // namespace endivelatch::failures
