#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <mutex>
#include <string>

#include <spdlog/details/null_mutex.h>
#include <spdlog/sinks/base_sink.h>

namespace endivelatch {

/// Writes log lines to a descriptor without ever waiting for its reader. Lines that do not fit
/// into the buffer are dropped and counted in a later line.
class bounded_sink : public spdlog::sinks::base_sink<spdlog::details::null_mutex> {
public:
    explicit bounded_sink(int fd) : fd_{fd} {}

    /// Writes as much as the reader takes at once.
    void write_buffered();

    /// Returns whether lines wait for the reader.
    bool has_buffered() const { return !buffer_.empty(); }

    /// Returns the number of lines dropped.
    std::uint64_t dropped() const { return dropped_; }

    /// Bytes kept for a slow reader.
    static constexpr std::size_t most_buffered = 262'144;

protected:
    void sink_it_(const spdlog::details::log_msg& msg) override;
    void flush_() override { write_buffered(); }

private:
    int fd_;
    std::string buffer_;
    std::uint64_t dropped_ = 0;
    std::uint64_t unreported_ = 0; ///< Dropped since the last line that says so.
};

/// Creates the process's logger on the standard output.
std::shared_ptr<bounded_sink> make_stdout_sink();

} // namespace endivelatch
