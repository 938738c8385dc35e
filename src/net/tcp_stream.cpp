#include "endivelatch/net/tcp_stream.hpp"

#include "socket_address.hpp"
#include "socket_state.hpp"

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstring>
#include <utility>

#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

namespace endivelatch {

namespace {

/// Reads per wake-up; bounded so that one connection cannot starve the others.
constexpr int max_reads = 4;

/// Time without accepting after a connection could not be accepted for want of a descriptor.
constexpr duration pause_without_descriptors{100'000};

/// Connections accepted per wake-up.
constexpr int max_accepts = 64;

/// Disables the Nagle algorithm.
void set_no_delay(int fd)
{
    const int on = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

} // namespace

tcp_stream::tcp_stream(event_loop& loop, int fd, tcp_stream_callbacks callbacks)
    : loop_{&loop}, callbacks_{std::move(callbacks)}, fd_{fd}, is_open_{true}
{
    set_no_delay(fd_);
    watcher_ = std::make_unique<io_watcher>(loop, fd_, [this](io_interest it) { on_ready(it); });
    watcher_->watch({true, false});
}

tcp_stream::tcp_stream(event_loop& loop, const endpoint& to, tcp_stream_callbacks callbacks)
    : loop_{&loop}, callbacks_{std::move(callbacks)}
{
    const auto address = make_socket_address(to);
    const int family = address && address->is_v6() ? AF_INET6 : AF_INET;
    fd_ = socket(family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    const bool is_started =
        address && fd_ >= 0 &&
        (connect(fd_, address->get(), address->size()) == 0 || errno == EINPROGRESS);
    if (!is_started) {
        loop_->post([this, alive = is_alive_] {
            if (*alive) {
                fail("cannot connect");
            }
        });
        return;
    }
    set_no_delay(fd_);
    watcher_ = std::make_unique<io_watcher>(loop, fd_, [this](io_interest it) { on_ready(it); });
    watcher_->watch({false, true});
}

tcp_stream::~tcp_stream()
{
    close();
    *is_alive_ = false;
}

void tcp_stream::flush_soon()
{
    if (is_flush_posted_ || !is_open_) {
        return;
    }
    is_flush_posted_ = true;
    loop_->post([this, alive = is_alive_] {
        if (*alive) {
            is_flush_posted_ = false;
            flush();
        }
    });
}

void tcp_stream::send_after_out(std::shared_ptr<const std::string> text)
{
    tail_ = std::move(text);
    tail_written_ = 0;
    flush_soon();
}

std::size_t tcp_stream::unsent() const
{
    const auto tail = tail_ == nullptr ? 0 : tail_->size() - tail_written_;
    return out_.size() - out_written_ + tail;
}

void tcp_stream::limit_reads(std::size_t bytes)
{
    read_limit_ = std::min(bytes, max_read_size);
}

void tcp_stream::shutdown_writing()
{
    if (is_open_) {
        ::shutdown(fd_, SHUT_WR);
    }
}

void tcp_stream::close()
{
    is_open_ = false;
    callbacks_.on_closed = nullptr;
    if (watcher_ != nullptr) {
        watcher_->watch({});
    }
    if (delivery_timer_ != nullptr) {
        delivery_timer_->stop();
    }
    if (fd_ >= 0) {
        ::close(std::exchange(fd_, -1));
    }
}

void tcp_stream::set_unresponsive_timeout(duration limit)
{
    constexpr int probes = 2;
    const auto ms = std::chrono::ceil<std::chrono::milliseconds>(limit).count();
    const auto user_timeout = static_cast<unsigned>(ms);
    const int interval = std::max(1, static_cast<int>(ms / 1'000 / (probes + 1)));
    const int on = 1;
    setsockopt(fd_, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof on);
    setsockopt(fd_, IPPROTO_TCP, TCP_KEEPIDLE, &interval, sizeof interval);
    setsockopt(fd_, IPPROTO_TCP, TCP_KEEPINTVL, &interval, sizeof interval);
    setsockopt(fd_, IPPROTO_TCP, TCP_KEEPCNT, &probes, sizeof probes);
    setsockopt(fd_, IPPROTO_TCP, TCP_USER_TIMEOUT, &user_timeout, sizeof user_timeout);
}

void tcp_stream::pause_reading(bool is_paused)
{
    is_paused_ = is_paused;
    if (is_open_) {
        watch_socket();
    }
}

void tcp_stream::watch_socket()
{
    watcher_->watch({!is_paused_ && !has_input_ended_, unsent() > 0});
}

void tcp_stream::on_ready(io_interest ready)
{
    if (!is_open_) {
        finish_connecting();
        return;
    }
    if (ready.write) {
        flush();
    }
    if (ready.read && is_open_) {
        read_all();
    }
}

void tcp_stream::finish_connecting()
{
    const int error = take_socket_error(fd_);
    if (error != 0) {
        fail(std::string{"cannot connect: "} + std::strerror(error));
        return;
    }
    is_open_ = true;
    watcher_->watch({true, false});
    if (callbacks_.on_open) {
        callbacks_.on_open();
    }
    flush_soon();
}

void tcp_stream::read_all()
{
    thread_local std::array<char, max_read_size> buf;
    for (int i = 0; i < max_reads && is_open_ && !is_paused_; ++i) {
        const auto n = recv(fd_, buf.data(), read_limit_, 0);
        if (n < 0 && (errno == EAGAIN || errno == EINTR)) {
            return;
        }
        if (n == 0) {
            on_end_of_input();
            return;
        }
        if (n < 0) {
            was_closed_by_peer_ = errno == ECONNRESET;
            fail(std::strerror(errno));
            return;
        }
        const auto wanted = read_limit_;
        callbacks_.on_data({buf.data(), static_cast<std::size_t>(n)});
        if (static_cast<std::size_t>(n) < wanted) {
            return;
        }
    }
}

void tcp_stream::on_end_of_input()
{
    if (!confirms_end_) {
        report_end_of_input();
        return;
    }
    has_input_ended_ = true;
    watch_socket();
    check_delivery();
}

void tcp_stream::check_delivery()
{
    // After the end, a reset shows only as a pending error; reads still return the end.
    const int error = take_socket_error(fd_);
    if (error != 0) {
        was_closed_by_peer_ = error == ECONNRESET || error == EPIPE;
        fail(std::strerror(error));
        return;
    }
    if (unsent() > 0 || has_unacknowledged_bytes(fd_)) {
        if (delivery_timer_ == nullptr) {
            delivery_timer_ = std::make_unique<timer>(*loop_, [this] { check_delivery(); });
        }
        delivery_timer_->start(delivery_check_interval);
        return;
    }
    report_end_of_input();
}

void tcp_stream::report_end_of_input()
{
    has_received_eof_ = true;
    was_closed_by_peer_ = true;
    fail("closed by the peer");
}

void tcp_stream::flush()
{
    if (!is_open_ || unsent() == 0) {
        return;
    }
    if (out_written_ < out_.size()) {
        const auto n = write_some(std::string_view{out_}.substr(out_written_));
        if (!n) {
            return;
        }
        out_written_ += *n;
    }
    if (out_written_ == out_.size() && tail_ != nullptr) {
        const auto n = write_some(std::string_view{*tail_}.substr(tail_written_));
        if (!n) {
            return;
        }
        tail_written_ += *n;
    }
    remove_written();
    watch_socket();
    if (unsent() == 0 && callbacks_.on_written) {
        callbacks_.on_written();
    }
}

std::optional<std::size_t> tcp_stream::write_some(std::string_view bytes)
{
    const auto n = send(fd_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    if (n < 0 && errno != EAGAIN && errno != EINTR) {
        was_closed_by_peer_ = errno == ECONNRESET || errno == EPIPE;
        fail(std::strerror(errno));
        return std::nullopt;
    }
    const auto count = n > 0 ? static_cast<std::size_t>(n) : 0;
    written_ += count;
    return count;
}

void tcp_stream::remove_written()
{
    if (tail_ != nullptr && tail_written_ == tail_->size()) {
        tail_ = nullptr;
        tail_written_ = 0;
    }
    if (out_written_ == out_.size()) {
        out_written_ = 0;
        if (out_.capacity() > max_kept_capacity) {
            std::string{}.swap(out_);
        }
        out_.clear();
    }
    else if (out_written_ * 2 > out_.size()) {
        // Moved only when less than half is left, so that each byte is moved once on average.
        out_.erase(0, out_written_);
        out_written_ = 0;
    }
}

void tcp_stream::fail(const std::string& reason)
{
    const auto report = std::move(callbacks_.on_closed);
    close();
    if (report) {
        report(reason);
    }
}

tcp_listener::tcp_listener(event_loop& loop, std::function<void(int)> on_accepted)
    : loop_{&loop}, on_accepted_{std::move(on_accepted)}, resume_{
                                                              loop, [this] {
                                                                  watcher_->watch({true, false});
                                                              }}
{
}

tcp_listener::~tcp_listener()
{
    watcher_.reset();
    if (fd_ >= 0) {
        close(fd_);
    }
}

findings tcp_listener::start(const endpoint& local)
{
    const auto address = make_socket_address(local);
    if (!address) {
        return one_finding(to_string(local), "\"" + local.address + "\" is not an IP address");
    }
    const int family = address->is_v6() ? AF_INET6 : AF_INET;
    fd_ = socket(family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(fd_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    if (bind(fd_, address->get(), address->size()) != 0 || listen(fd_, SOMAXCONN) != 0) {
        return one_finding(to_string(local), std::string{"cannot listen: "} + std::strerror(errno));
    }
    address_ = {local.address, local_port(fd_)};
    watcher_ = std::make_unique<io_watcher>(*loop_, fd_, [this](io_interest) { accept_all(); });
    watcher_->watch({true, false});
    return {};
}

void tcp_listener::accept_all()
{
    for (int i = 0; i < max_accepts; ++i) {
        const int fd = accept4(fd_, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (fd < 0) {
            if (errno == EMFILE || errno == ENFILE) {
                // The connection stays in the queue; without a pause the loop would spin.
                watcher_->watch({});
                resume_.start(pause_without_descriptors);
            }
            return;
        }
        on_accepted_(fd);
    }
}

} // namespace endivelatch
