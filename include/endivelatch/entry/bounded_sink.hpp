#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <mutex>
#include <string>

#include <spdlog/details/null_mutex.h>
#include <spdlog/sinks/base_sink.h>

namespace endivelatch {

/// Log sink that writes lines to a file descriptor without blocking. Lines that do not fit into the
/// buffer are dropped; a later line reports their number.
class bounded_sink : public spdlog::sinks::base_sink<spdlog::details::null_mutex> {
public:
    explicit bounded_sink(int fd) : fd_{fd} {}

    /// Writes buffered bytes until the descriptor would block.
    void write_buffered();

    /// Returns whether bytes wait to be written.
    bool has_buffered() const { return !buffer_.empty(); }

    /// Returns the number of lines dropped so far.
    std::uint64_t dropped() const { return dropped_; }

    /// Maximum size of the buffer, in bytes.
    static constexpr std::size_t max_buffered_bytes = 262'144;

protected:
    void sink_it_(const spdlog::details::log_msg& msg) override;
    void flush_() override { write_buffered(); }

private:
    int fd_;
    std::string buffer_;
    std::uint64_t dropped_ = 0;
    std::uint64_t unreported_drops_ = 0; ///< Lines dropped since the last report.
};

/// Creates the sink of the process log, which writes to the standard output.
std::shared_ptr<bounded_sink> make_stdout_sink();

} // namespace endivelatch
