#include "endivelatch/entry/bounded_sink.hpp"

#include <algorithm>
#include <climits>

#include <poll.h>
#include <unistd.h>

namespace endivelatch {

void bounded_sink::sink_it_(const spdlog::details::log_msg& msg)
{
    spdlog::memory_buf_t line;
    formatter_->format(msg, line);
    if (buffer_.size() + line.size() > max_buffered_bytes) {
        ++dropped_;
        ++unreported_drops_;
        return;
    }
    if (unreported_drops_ > 0 && buffer_.size() < max_buffered_bytes / 2) {
        buffer_ += "event=log_lines_dropped count=" + std::to_string(unreported_drops_) + '\n';
        unreported_drops_ = 0;
    }
    buffer_.append(line.data(), line.size());
}

void bounded_sink::write_buffered()
{
    std::size_t written = 0;
    while (written < buffer_.size()) {
        pollfd ready{fd_, POLLOUT, 0};
        if (poll(&ready, 1, 0) != 1 || (ready.revents & POLLOUT) == 0) {
            break;
        }
        // A pipe that polls as writable accepts PIPE_BUF bytes without blocking.
        const auto chunk_size = std::min<std::size_t>(buffer_.size() - written, PIPE_BUF);
        const auto result = ::write(fd_, buffer_.data() + written, chunk_size);
        if (result <= 0) {
            break;
        }
        written += static_cast<std::size_t>(result);
    }
    buffer_.erase(0, written);
}

std::shared_ptr<bounded_sink> make_stdout_sink()
{
    return std::make_shared<bounded_sink>(STDOUT_FILENO);
}

} // namespace endivelatch
