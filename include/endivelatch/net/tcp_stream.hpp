#pragma once

#include "endivelatch/base/result.hpp"
#include "endivelatch/membership/member.hpp"
#include "endivelatch/net/io_watcher.hpp"
#include "endivelatch/net/timer.hpp"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace endivelatch {

/// Callbacks of a tcp_stream, which must not be destroyed from within any of them.
struct tcp_stream_callbacks {
    std::function<void()> on_open;                     ///< The connection was established.
    std::function<void(std::string_view)> on_data;     ///< Bytes were received.
    std::function<void()> on_written;                  ///< The output buffer is empty.
    std::function<void(const std::string&)> on_closed; ///< The connection ended.
};

/// A TCP connection with buffered output. Bytes appended within one loop iteration are written
/// together.
class tcp_stream {
public:
    /// Takes ownership of a connected non-blocking socket.
    tcp_stream(event_loop& loop, int fd, tcp_stream_callbacks callbacks);

    /// Starts connecting to an address.
    tcp_stream(event_loop& loop, const endpoint& to, tcp_stream_callbacks callbacks);

    ~tcp_stream();
    tcp_stream(const tcp_stream&) = delete;
    tcp_stream(tcp_stream&&) = delete;
    tcp_stream& operator=(const tcp_stream&) = delete;
    tcp_stream& operator=(tcp_stream&&) = delete;

    /// Returns the output buffer, to append to. Call `flush_soon` afterwards. It may still hold
    /// bytes that were written; `unsent` tells how many were not.
    std::string& out() { return out_; }

    /// Sends a text after the output buffer without copying it. Nothing may be appended to the
    /// output before it has been sent.
    void send_after_out(std::shared_ptr<const std::string> text);

    /// Returns the number of bytes that were not written to the socket yet.
    std::size_t unsent() const;

    /// Returns the number of bytes written to the socket so far.
    std::uint64_t written() const { return written_; }

    /// Limits the bytes of one read, which the receiver may have to hold.
    void limit_reads(std::size_t bytes);

    /// Writes the output buffer at the end of this loop iteration.
    void flush_soon();

    /// Ends the sending side, so that the peer sees the end of what was written.
    void shutdown_writing();

    /// Closes the connection without calling `on_closed`.
    void close();

    /// Closes the connection when the peer has not responded for about this time, with keep-alive
    /// probes while it is idle.
    void set_unresponsive_timeout(duration limit);

    /// Stops or resumes reading, to apply backpressure. While paused, a close by the peer is not
    /// detected.
    void pause_reading(bool is_paused);

    /// From now on, reports the end of the peer's bytes as orderly only once the peer has received
    /// all output, which goes on being sent. If the connection fails before, the failure is
    /// reported instead: a peer that resets the connection may have ended its bytes too early.
    void confirm_end_by_delivery() { confirms_end_ = true; }

    /// Returns whether the peer closed its sending side orderly (FIN), not with a reset.
    bool has_received_eof() const { return has_received_eof_; }

    /// Returns whether the peer closed or reset the connection, in contrast to a timeout.
    bool was_closed_by_peer() const { return was_closed_by_peer_; }

    /// Returns whether the connection is established.
    bool is_open() const { return is_open_; }

    /// Bytes of one read unless limited.
    static constexpr std::size_t max_read_size = 65'536;
    /// Capacity in bytes above which an empty output buffer is given back.
    static constexpr std::size_t max_kept_capacity = 4'096;
    /// Interval between checks whether the peer has received all output.
    static constexpr duration delivery_check_interval{10'000};

private:
    void on_ready(io_interest ready);
    void finish_connecting();
    void read_all();
    void on_end_of_input();
    /// Reports the end of the peer's bytes if it has received all output; else checks again later.
    void check_delivery();
    void report_end_of_input();
    /// Watches the socket for what can be read and written now.
    void watch_socket();
    void flush();
    /// Writes as much as the socket takes; returns the number of bytes or nothing if the connection
    /// failed.
    std::optional<std::size_t> write_some(std::string_view bytes);
    void remove_written();
    /// Closes the connection and reports the reason.
    void fail(const std::string& reason);

    event_loop* loop_;
    tcp_stream_callbacks callbacks_;
    int fd_ = -1;
    bool is_open_ = false;
    bool is_flush_posted_ = false;
    bool is_paused_ = false;
    bool confirms_end_ = false;
    bool has_input_ended_ = false; ///< Nothing is read any more, but output is still sent.
    bool has_received_eof_ = false;
    bool was_closed_by_peer_ = false;
    std::string out_;
    std::size_t out_written_ = 0;             ///< Bytes of the output buffer that were written.
    std::shared_ptr<const std::string> tail_; ///< Sent after the output buffer; may be null.
    std::size_t tail_written_ = 0;
    std::uint64_t written_ = 0;
    std::size_t read_limit_ = max_read_size;
    std::unique_ptr<io_watcher> watcher_;
    std::unique_ptr<timer> delivery_timer_; ///< Null until it is needed.
    /// Checked by posted calls, which may outlive the stream.
    std::shared_ptr<bool> is_alive_ = std::make_shared<bool>(true);
};

/// Accepts TCP connections on one address and hands their sockets to a function.
class tcp_listener {
public:
    tcp_listener(event_loop& loop, std::function<void(int)> on_accepted);
    ~tcp_listener();
    tcp_listener(const tcp_listener&) = delete;
    tcp_listener(tcp_listener&&) = delete;
    tcp_listener& operator=(const tcp_listener&) = delete;
    tcp_listener& operator=(tcp_listener&&) = delete;

    /// Binds the address and starts listening; port zero selects a free port.
    findings start(const endpoint& local);

    /// Returns the bound address.
    const endpoint& listening() const { return address_; }

private:
    void accept_all();

    event_loop* loop_;
    std::function<void(int)> on_accepted_;
    endpoint address_;
    int fd_ = -1;
    std::unique_ptr<io_watcher> watcher_;
    timer resume_; ///< Accepts again after descriptors were missing.
};

} // namespace endivelatch
