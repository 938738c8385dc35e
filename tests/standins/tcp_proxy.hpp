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

/// Forwards TCP connections and can cut, silence or delay them.
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
        acceptor_ = std::make_unique<io_watcher>(loop, fd_, [this](io_interest) { accept_one(); });
        acceptor_->watch({true, false});
    }
    ~tcp_proxy()
    {
        links_.clear();
        acceptor_.reset();
        close(fd_);
    }
    tcp_proxy(const tcp_proxy&) = delete;
    tcp_proxy(tcp_proxy&&) = delete;
    tcp_proxy& operator=(const tcp_proxy&) = delete;
    tcp_proxy& operator=(tcp_proxy&&) = delete;

    /// Returns whether the address could be bound.
    bool is_bound() const { return is_bound_; }

    /// Returns the port in use.
    std::uint16_t port() const
    {
        sockaddr_in address{};
        socklen_t size = sizeof address;
        getsockname(fd_, reinterpret_cast<sockaddr*>(&address), &size);
        return ntohs(address.sin_port);
    }

    /// Stops carrying bytes on all open connections, for good and without closing them.
    void stall_open_connections()
    {
        for (const auto& it : links_) {
            it->is_silent = true;
            it->update();
        }
    }

    /// Stops carrying bytes on connections accepted from now on, or carries them again.
    void stall_new_connections(bool is_silent) { silences_new_ = is_silent; }

    /// Holds back what the server sends, or carries it again: the path is cut one way.
    void mute_server(bool is_muted)
    {
        mutes_server_ = is_muted;
        for (const auto& it : links_) {
            it->flush(client_side);
            it->update();
        }
    }

    /// Closes all open connections.
    void close_open_connections()
    {
        for (const auto& it : links_) {
            it->close_both();
        }
    }

    /// Delays all bytes received from now on.
    void set_delay(duration delay) { delay_ = delay; }

    /// Returns the number of connections accepted so far.
    std::uint64_t accepted() const { return accepted_; }

private:
    /// Bytes read ahead per direction.
    static constexpr std::size_t max_buffered = 65'536;
    /// Index of the side that connected to the proxy.
    static constexpr std::size_t client_side = 0;

    /// One side of a connection.
    struct side {
        int fd = -1;
        std::string out; ///< Bytes to be written to it.
        std::size_t delayed = 0;
        time_point due{};       ///< When the last of the delayed bytes is written.
        bool has_ended = false; ///< No more bytes can be read from it.
        std::unique_ptr<io_watcher> watcher;
    };

    /// A connection from a client with its connection to the server.
    struct link : std::enable_shared_from_this<link> {
        tcp_proxy* proxy = nullptr;
        std::array<side, 2> sides;
        bool is_silent = false;
        bool is_closed = false;

        link() = default;
        link(const link&) = delete;
        link(link&&) = delete;
        link& operator=(const link&) = delete;
        link& operator=(link&&) = delete;
        ~link()
        {
            for (auto& it : sides) {
                it.watcher.reset();
                close(it.fd);
            }
        }

        void on_ready(std::size_t index, io_interest ready)
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
            // Bytes that are overdue may still wait for the timer.
            const bool is_first = sides.at(other).delayed == 0;
            sides.at(other).delayed += static_cast<std::size_t>(n);
            // Bytes keep their order also when the delay becomes shorter.
            auto& due = sides.at(other).due;
            due = std::max(due, proxy->loop_->now() + proxy->delay_);
            auto pass_on = [self = shared_from_this(), other,
                            bytes = std::string{buf.data(), static_cast<std::size_t>(n)}] {
                self->sides.at(other).delayed -= bytes.size();
                self->sides.at(other).out += bytes;
                self->flush(other);
                self->update();
            };
            if (is_first && proxy->delay_ <= duration{}) {
                pass_on();
                return;
            }
            proxy->delays_.at(due, std::move(pass_on));
        }

        void flush(std::size_t index)
        {
            side& it = sides.at(index);
            const bool is_muted = index == client_side && proxy->mutes_server_;
            if (is_silent || is_closed || is_muted || it.out.empty()) {
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
            if (other.out.empty() && other.delayed == 0) {
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
            proxy->loop_->post([self = shared_from_this()] { self->proxy->links_.remove(self); });
        }

        void update()
        {
            if (is_closed) {
                return;
            }
            for (std::size_t i = 0; i < sides.size(); ++i) {
                side& it = sides.at(i);
                const side& other = sides.at(1 - i);
                if (it.has_ended && other.out.empty() && other.delayed == 0) {
                    close_both();
                    return;
                }
                const bool has_room = other.out.size() + other.delayed < max_buffered;
                const bool is_muted = i == client_side && proxy->mutes_server_;
                it.watcher->watch({!is_silent && !it.has_ended && has_room,
                                   !is_silent && !is_muted && !it.out.empty()});
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

    void accept_one()
    {
        const int client = accept4(fd_, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (client < 0) {
            return;
        }
        ++accepted_;
        auto it = std::make_shared<link>();
        it->proxy = this;
        it->is_silent = silences_new_;
        it->sides[0].fd = client;
        it->sides[1].fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
        if (connect(it->sides[1].fd, reinterpret_cast<const sockaddr*>(&to_), sizeof to_) != 0 &&
            errno != EINPROGRESS) {
            return;
        }
        for (std::size_t i = 0; i < it->sides.size(); ++i) {
            it->sides.at(i).watcher = std::make_unique<io_watcher>(
                *loop_, it->sides.at(i).fd,
                [raw = it.get(), i](io_interest ready) { raw->on_ready(i, ready); });
        }
        it->update();
        links_.push_back(std::move(it));
    }

    event_loop* loop_;
    std::list<std::shared_ptr<link>> links_;
    delayed_calls delays_;
    sockaddr_in to_;
    int fd_ = -1;
    bool is_bound_ = false;
    bool silences_new_ = false;
    bool mutes_server_ = false;
    duration delay_{};
    std::uint64_t accepted_ = 0;
    std::unique_ptr<io_watcher> acceptor_;
};

} // namespace endivelatch::standins
