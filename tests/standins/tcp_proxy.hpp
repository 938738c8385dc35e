#pragma once

#include "delayed_calls.hpp"

#include "endivelatch/net/io_watcher.hpp"

#include <algorithm>
#include <array>
#include <cerrno>
#include <list>
#include <memory>
#include <string>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include "endivelatch/membership/member.hpp"

namespace endivelatch::standins {

/// Forwards TCP connections and can close, stall or delay them.
class tcp_proxy {
public:
    tcp_proxy(event_loop& loop, const endpoint& listen, const endpoint& to)
        : loop_{&loop}, delays_{loop}, to_{address_of(to)}
    {
        const sockaddr_in address = address_of(listen);
        fd_ = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
        const int on = 1;
        setsockopt(fd_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
        is_bound_ = bind(fd_, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0 &&
                    listen_on(fd_);
        acceptor_ =
            std::make_unique<io_watcher>(loop, fd_, [this](io_interest) { accept_connection(); });
        acceptor_->watch({true, false});
    }
    ~tcp_proxy()
    {
        connections_.clear();
        acceptor_.reset();
        close(fd_);
    }
    tcp_proxy(const tcp_proxy&) = delete;
    tcp_proxy(tcp_proxy&&) = delete;
    tcp_proxy& operator=(const tcp_proxy&) = delete;
    tcp_proxy& operator=(tcp_proxy&&) = delete;

    /// Returns whether the listening socket was bound.
    bool is_bound() const { return is_bound_; }

    /// Returns the listening port.
    std::uint16_t port() const
    {
        sockaddr_in address{};
        socklen_t size = sizeof address;
        getsockname(fd_, reinterpret_cast<sockaddr*>(&address), &size);
        return ntohs(address.sin_port);
    }

    /// Stops forwarding on all open connections, permanently and without closing them.
    void stall_open_connections()
    {
        for (const auto& it : connections_) {
            it->is_stalled = true;
            it->update();
        }
    }

    /// Enables or disables stalling of connections accepted from now on.
    void stall_new_connections(bool is_stalled) { stalls_new_connections_ = is_stalled; }

    /// Holds back or releases data from the server, to simulate a one-way partition.
    void stall_server_data(bool is_stalled)
    {
        stalls_server_data_ = is_stalled;
        for (const auto& it : connections_) {
            it->flush(client_side);
            it->update();
        }
    }

    /// Closes all open connections.
    void close_open_connections()
    {
        for (const auto& it : connections_) {
            it->close_both();
        }
    }

    /// Delays all bytes received from now on.
    void set_delay(duration delay) { delay_ = delay; }

    /// Returns the number of connections accepted so far.
    std::uint64_t accepted() const { return accepted_; }

private:
    /// Maximum number of buffered bytes per direction.
    static constexpr std::size_t max_buffered = 65'536;
    /// Index of the side that connects to the proxy.
    static constexpr std::size_t client_side = 0;

    /// One side of a connection.
    struct side {
        int fd = -1;
        std::string out; ///< Data waiting to be written.
        std::size_t delayed_bytes = 0;
        time_point due{};       ///< When the last delayed bytes are released.
        bool has_ended = false; ///< End of file or a read error was seen.
        std::unique_ptr<io_watcher> watcher;
    };

    /// A client connection paired with its connection to the server.
    struct connection : std::enable_shared_from_this<connection> {
        tcp_proxy* proxy = nullptr;
        std::array<side, 2> sides;
        bool is_stalled = false;
        bool is_closed = false;

        connection() = default;
        connection(const connection&) = delete;
        connection(connection&&) = delete;
        connection& operator=(const connection&) = delete;
        connection& operator=(connection&&) = delete;
        ~connection()
        {
            for (auto& it : sides) {
                it.watcher.reset();
                close(it.fd);
            }
        }

        void on_io_ready(std::size_t index, io_interest ready)
        {
            const auto self = shared_from_this();
            if (ready.write) {
                flush(index);
            }
            if (ready.read) {
                read_from(index);
            }
            update();
        }

        void read_from(std::size_t index)
        {
            std::array<char, 16'384> buf{};
            const auto n = recv(sides.at(index).fd, buf.data(), buf.size(), 0);
            if (n < 0 && (errno == EAGAIN || errno == EINTR)) {
                return;
            }
            if (n <= 0) {
                close_after_flush(index);
                return;
            }
            const std::size_t other = 1 - index;
            // Overdue bytes may still wait for the timer; new bytes must not overtake them.
            const bool is_first = sides.at(other).delayed_bytes == 0;
            sides.at(other).delayed_bytes += static_cast<std::size_t>(n);
            // Keeps the byte order when the delay is reduced.
            auto& due = sides.at(other).due;
            due = std::max(due, proxy->loop_->now() + proxy->delay_);
            auto forward = [self = shared_from_this(), other,
                            bytes = std::string{buf.data(), static_cast<std::size_t>(n)}] {
                self->sides.at(other).delayed_bytes -= bytes.size();
                self->sides.at(other).out += bytes;
                self->flush(other);
                self->update();
            };
            if (is_first && proxy->delay_ <= duration{}) {
                forward();
                return;
            }
            proxy->delays_.at(due, std::move(forward));
        }

        void flush(std::size_t index)
        {
            side& it = sides.at(index);
            const bool is_direction_stalled = index == client_side && proxy->stalls_server_data_;
            if (is_stalled || is_closed || is_direction_stalled || it.out.empty()) {
                return;
            }
            const auto n = send(it.fd, it.out.data(), it.out.size(), MSG_NOSIGNAL);
            if (n > 0) {
                it.out.erase(0, static_cast<std::size_t>(n));
            }
            else if (errno != EAGAIN && errno != EINTR) {
                close_both();
            }
        }

        void close_after_flush(std::size_t index)
        {
            sides.at(index).has_ended = true;
            const side& other = sides.at(1 - index);
            if (other.out.empty() && other.delayed_bytes == 0) {
                close_both();
            }
        }

        void close_both()
        {
            if (is_closed) {
                return;
            }
            is_closed = true;
            for (auto& it : sides) {
                it.watcher->watch({});
            }
            proxy->loop_->post(
                [self = shared_from_this()] { self->proxy->connections_.remove(self); });
        }

        void update()
        {
            if (is_closed) {
                return;
            }
            for (std::size_t i = 0; i < sides.size(); ++i) {
                side& it = sides.at(i);
                const side& other = sides.at(1 - i);
                if (it.has_ended && other.out.empty() && other.delayed_bytes == 0) {
                    close_both();
                    return;
                }
                const bool has_capacity = other.out.size() + other.delayed_bytes < max_buffered;
                const bool is_direction_stalled = i == client_side && proxy->stalls_server_data_;
                it.watcher->watch({!is_stalled && !it.has_ended && has_capacity,
                                   !is_stalled && !is_direction_stalled && !it.out.empty()});
            }
        }
    };

    static sockaddr_in address_of(const endpoint& where)
    {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(where.port);
        inet_pton(AF_INET, where.address.c_str(), &address.sin_addr);
        return address;
    }

    static bool listen_on(int fd) { return listen(fd, SOMAXCONN) == 0; }

    void accept_connection()
    {
        const int client = accept4(fd_, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (client < 0) {
            return;
        }
        ++accepted_;
        auto it = std::make_shared<connection>();
        it->proxy = this;
        it->is_stalled = stalls_new_connections_;
        it->sides[0].fd = client;
        it->sides[1].fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
        if (connect(it->sides[1].fd, reinterpret_cast<const sockaddr*>(&to_), sizeof to_) != 0 &&
            errno != EINPROGRESS) {
            return;
        }
        for (std::size_t i = 0; i < it->sides.size(); ++i) {
            it->sides.at(i).watcher = std::make_unique<io_watcher>(
                *loop_, it->sides.at(i).fd,
                [raw = it.get(), i](io_interest ready) { raw->on_io_ready(i, ready); });
        }
        it->update();
        connections_.push_back(std::move(it));
    }

    event_loop* loop_;
    std::list<std::shared_ptr<connection>> connections_;
    delayed_calls delays_;
    sockaddr_in to_;
    int fd_ = -1;
    bool is_bound_ = false;
    bool stalls_new_connections_ = false;
    bool stalls_server_data_ = false;
    duration delay_{};
    std::uint64_t accepted_ = 0;
    std::unique_ptr<io_watcher> acceptor_;
};

} // namespace endivelatch::standins
