#include "http.hpp"

#include <algorithm>
#include <array>
#include <atomic>
#include <cctype>
#include <cerrno>
#include <cstdio>
#include <thread>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

namespace endivelatch::review {

namespace {

const auto program_start = std::chrono::steady_clock::now();

sockaddr_in make_address(const std::string& ip, int port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    return address;
}

const sockaddr* generic(const sockaddr_in& address)
{
    return reinterpret_cast<const sockaddr*>(&address); // NOLINT: the socket interface
}

void set_option(int fd, int level, int option, int value)
{
    setsockopt(fd, level, option, &value, sizeof value);
}

} // namespace

std::int64_t now_ms()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now() -
                                                                 program_start)
        .count();
}

void sleep_ms(std::int64_t ms)
{
    std::this_thread::sleep_for(std::chrono::milliseconds{ms});
}

recorder::recorder(const std::string& path)
    : fd_{::open(path.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0644)}
{
}

recorder::~recorder()
{
    if (fd_ >= 0) {
        ::close(fd_);
    }
}

void recorder::write(const std::string& line)
{
    std::array<char, 32> time{};
    std::snprintf(time.data(), time.size(), "%7.3f ", static_cast<double>(now_ms()) / 1'000);
    const std::lock_guard lock{mutex_};
    const auto text = time.data() + line + '\n';
    if (::write(fd_, text.data(), text.size()) < 0 ||
        ::write(STDOUT_FILENO, text.data(), text.size()) < 0) {
        return; // The exit code still tells the result.
    }
}

std::string lower(std::string_view text)
{
    std::string out{text};
    std::transform(out.begin(), out.end(), out.begin(),
                   [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return out;
}

std::string http_message::header(std::string_view name) const
{
    const auto it = std::find_if(headers.begin(), headers.end(),
                                 [&](const auto& h) { return lower(h.first) == lower(name); });
    return it == headers.end() ? std::string{} : it->second;
}

bool http_message::has_header(std::string_view name) const
{
    return std::any_of(headers.begin(), headers.end(),
                       [&](const auto& h) { return lower(h.first) == lower(name); });
}

connection::~connection()
{
    close();
}

connection::connection(connection&& other) noexcept
    : fd_{std::exchange(other.fd_, -1)}, was_reset_{other.was_reset_}, buffer_{
                                                                           std::move(other.buffer_)}
{
}

std::optional<connection> connection::open(const std::string& ip, int port, int receive_buffer)
{
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (receive_buffer > 0) {
        set_option(fd, SOL_SOCKET, SO_RCVBUF, receive_buffer);
    }
    const auto address = make_address(ip, port);
    if (connect(fd, generic(address), sizeof address) != 0) {
        ::close(fd);
        return std::nullopt;
    }
    set_option(fd, IPPROTO_TCP, TCP_NODELAY, 1);
    return connection{fd};
}

bool connection::send(std::string_view bytes) const
{
    while (!bytes.empty()) {
        const auto n = ::send(fd_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (n <= 0) {
            return false;
        }
        bytes.remove_prefix(static_cast<std::size_t>(n));
    }
    return true;
}

bool connection::read_more(std::size_t size)
{
    std::string bytes(size, '\0');
    const auto n = recv(fd_, bytes.data(), bytes.size(), 0);
    if (n <= 0) {
        was_reset_ = n < 0 && errno == ECONNRESET;
        return false;
    }
    buffer_.append(bytes, 0, static_cast<std::size_t>(n));
    return true;
}

bool connection::read_exactly(std::size_t size)
{
    while (buffer_.size() < size) {
        if (!read_more()) {
            return false;
        }
    }
    return true;
}

std::optional<http_message> connection::read_head()
{
    auto end = buffer_.find("\r\n\r\n");
    while (end == std::string::npos) {
        if (!read_more()) {
            return std::nullopt;
        }
        end = buffer_.find("\r\n\r\n");
    }
    const auto head = buffer_.substr(0, end + 2);
    buffer_.erase(0, end + 4);
    http_message message;
    std::size_t at = 0;
    while (at < head.size()) {
        const auto line_end = head.find("\r\n", at);
        const auto line = head.substr(at, line_end - at);
        at = line_end + 2;
        if (message.start_line.empty()) {
            message.start_line = line;
            continue;
        }
        const auto colon = line.find(':');
        const auto value = line.find_first_not_of(' ', colon + 1);
        message.headers.emplace_back(line.substr(0, colon),
                                     value == std::string::npos ? "" : line.substr(value));
    }
    return message;
}

bool connection::read_chunks(std::string& body)
{
    for (;;) {
        auto end = buffer_.find("\r\n");
        while (end == std::string::npos) {
            if (!read_more()) {
                return false;
            }
            end = buffer_.find("\r\n");
        }
        const auto size = std::stoul(buffer_.substr(0, end), nullptr, 16);
        buffer_.erase(0, end + 2);
        if (!read_exactly(size + 2)) {
            body += buffer_.substr(0, size);
            return false;
        }
        body += buffer_.substr(0, size);
        buffer_.erase(0, size + 2);
        if (size == 0) {
            return true;
        }
    }
}

std::optional<http_message> connection::read_message(bool is_answer)
{
    auto message = read_head();
    if (!message) {
        return std::nullopt;
    }
    if (lower(message->header("Transfer-Encoding")) == "chunked") {
        return read_chunks(message->body) ? message : std::nullopt;
    }
    if (message->has_header("Content-Length")) {
        const auto size = std::stoul(message->header("Content-Length"));
        if (!read_exactly(size)) {
            return std::nullopt;
        }
        message->body = buffer_.substr(0, size);
        buffer_.erase(0, size);
        return message;
    }
    if (is_answer) {
        while (read_more()) {
        }
        if (was_reset_) {
            return std::nullopt;
        }
        message->body = std::exchange(buffer_, {});
    }
    return message;
}

void connection::set_read_timeout(std::int64_t ms) const
{
    timeval limit{};
    limit.tv_sec = ms / 1'000;
    limit.tv_usec = ms % 1'000 * 1'000;
    setsockopt(fd_, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
}

bool connection::has_ended() const
{
    char byte = 0;
    const auto n = recv(fd_, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return n == 0 || (n < 0 && errno != EAGAIN && errno != EINTR);
}

void connection::shutdown() const
{
    ::shutdown(fd_, SHUT_RDWR);
}

void connection::close()
{
    if (fd_ >= 0) {
        ::close(std::exchange(fd_, -1));
    }
}

void connection::reset()
{
    const linger now{1, 0};
    setsockopt(fd_, SOL_SOCKET, SO_LINGER, &now, sizeof now);
    close();
}

struct server::state {
    std::function<void(connection&)> serve;
    int fd = -1;
    std::atomic<bool> is_stopping{false};
};

server::server(const std::string& ip, int port, std::function<void(connection&)> serve)
    : state_{new state} // NOLINT: the threads use it until the program ends
{
    state_->serve = std::move(serve);
    state_->fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    set_option(state_->fd, SOL_SOCKET, SO_REUSEADDR, 1);
    auto address = make_address(ip, port);
    if (bind(state_->fd, generic(address), sizeof address) != 0 || listen(state_->fd, 128) != 0) {
        std::perror("listen");
        std::_Exit(2);
    }
    socklen_t size = sizeof address;
    getsockname(state_->fd, reinterpret_cast<sockaddr*>(&address), &size); // NOLINT
    port_ = ntohs(address.sin_port);
    std::thread{[s = state_] {
        for (;;) {
            const int fd = accept4(s->fd, nullptr, nullptr, SOCK_CLOEXEC);
            if (fd < 0 || s->is_stopping) {
                return;
            }
            set_option(fd, IPPROTO_TCP, TCP_NODELAY, 1);
            std::thread{[s, fd] {
                connection conn{fd};
                s->serve(conn);
            }}.detach();
        }
    }}.detach();
}

server::~server()
{
    state_->is_stopping = true;
    ::shutdown(state_->fd, SHUT_RDWR);
    ::close(state_->fd);
}

int free_port()
{
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    auto address = make_address("127.0.0.1", 0);
    socklen_t size = sizeof address;
    if (bind(fd, generic(address), size) != 0) {
        std::perror("bind");
        std::_Exit(2);
    }
    getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size); // NOLINT
    ::close(fd);
    return ntohs(address.sin_port);
}

std::string format_head(const std::string& start_line, const header_list& headers)
{
    auto out = start_line + "\r\n";
    for (const auto& [name, value] : headers) {
        out += name;
        out += ": ";
        out += value;
        out += "\r\n";
    }
    return out + "\r\n";
}

std::string format_message(const std::string& start_line, const header_list& headers,
                           std::string_view body)
{
    auto all = headers;
    all.emplace_back("Content-Length", std::to_string(body.size()));
    return format_head(start_line, all) + std::string{body};
}

std::string format_chunk(std::string_view bytes)
{
    std::array<char, 32> size{};
    std::snprintf(size.data(), size.size(), "%zx\r\n", bytes.size());
    return size.data() + std::string{bytes} + "\r\n";
}

} // namespace endivelatch::review
