#pragma once

#include "endivelatch/base/result.hpp"
#include "endivelatch/membership/member.hpp"
#include "endivelatch/net/io_watcher.hpp"

#include <memory>
#include <string>
#include <string_view>

namespace endivelatch {

/// What a stream reports. A stream must not be deleted inside of its own callbacks.
struct tcp_stream_callbacks {
    std::function<void()> on_open;                     ///< The connection was made.
    std::function<void(std::string_view)> on_data;     ///< Bytes arrived.
    std::function<void()> on_written;                  ///< All appended bytes were written.
    std::function<void(const std::string&)> on_closed; ///< It ended, with the reason.
};

/// One TCP connection. Bytes appended within one loop iteration are written together.
class tcp_stream {
public:
    /// Takes a connected socket.
    tcp_stream(event_loop& loop, int fd, tcp_stream_callbacks callbacks);

    /// Starts to connect.
    tcp_stream(event_loop& loop, const endpoint& to, tcp_stream_callbacks callbacks);

    ~tcp_stream();
    tcp_stream(const tcp_stream&) = delete;
    tcp_stream(tcp_stream&&) = delete;
    tcp_stream& operator=(const tcp_stream&) = delete;
    tcp_stream& operator=(tcp_stream&&) = delete;

    /// Returns the buffer of unwritten bytes, to append to; call `flush_soon` after.
    std::string& out() { return out_; }

    /// Writes the buffer at the end of this loop iteration.
    void flush_soon();

    /// Closes the connection; nothing more is reported.
    void close();

    /// Ends the connection when the other end has been silent for about this time, idle or not.
    void set_unresponsive_timeout(duration limit);

    /// Stops or resumes reading, to slow the other end down. While stopped, its close goes
    /// unnoticed.
    void pause_reading(bool is_paused);

    /// Returns whether the other end closed its side in order, without a reset.
    bool has_received_eof() const { return has_received_eof_; }

    /// Returns whether the connection can carry bytes.
    bool is_open() const { return is_open_; }

private:
    void on_ready(io_interest ready);
    void finish_connecting();
    void read_all();
    void flush();
    /// Closes the connection and reports why.
    void fail(const std::string& reason);

    event_loop* loop_;
    tcp_stream_callbacks callbacks_;
    int fd_ = -1;
    bool is_open_ = false;
    bool is_flush_posted_ = false;
    bool is_paused_ = false;
    bool has_received_eof_ = false;
    std::string out_;
    std::unique_ptr<io_watcher> watcher_;
    std::shared_ptr<bool> is_alive_ = std::make_shared<bool>(true); ///< For posted calls.
};

/// Accepts TCP connections on one address.
class tcp_listener {
public:
    tcp_listener(event_loop& loop, std::function<void(int)> on_accepted);
    ~tcp_listener();
    tcp_listener(const tcp_listener&) = delete;
    tcp_listener(tcp_listener&&) = delete;
    tcp_listener& operator=(const tcp_listener&) = delete;
    tcp_listener& operator=(tcp_listener&&) = delete;

    /// Binds the address; port zero takes any.
    findings start(const endpoint& where);

    /// Returns the address in use.
    const endpoint& listening() const { return address_; }

private:
    void accept_all();

    event_loop* loop_;
    std::function<void(int)> on_accepted_;
    endpoint address_;
    int fd_ = -1;
    std::unique_ptr<io_watcher> watcher_;
};

} // namespace endivelatch
