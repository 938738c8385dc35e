#pragma once

#include "endivelatch/membership/member.hpp"

#include <array>
#include <atomic>
#include <chrono>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace endivelatch {

/// What a raw target does with a connection once it has sent its answer.
enum class raw_ending {
    stays_open,
    closes,          ///< Ends its side, reads the rest of the request, and closes.
    resets,          ///< Resets the connection without reading the rest of the request.
    ends_then_resets ///< Ends its side first, and resets a moment later.
};

/// A target in trouble: answers each connection with fixed bytes as soon as the head of a request
/// was received. Runs in a thread of its own and uses plain sockets, so that it can reset
/// connections at a chosen moment.
class raw_target {
public:
    /// The text "{id}" in the answer is replaced by the request's `Endivelatch-Attempt-Id`.
    explicit raw_target(std::string answer, raw_ending ending = raw_ending::stays_open)
        : answer_{std::move(answer)}, ending_{ending}, listener_{socket(AF_INET, SOCK_STREAM, 0)}
    {
        // A small buffer, so that a long request is still being sent when the answer arrives.
        const int buffer_size = 4'096;
        setsockopt(listener_, SOL_SOCKET, SO_RCVBUF, &buffer_size, sizeof buffer_size);
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t size = sizeof address;
        const bool is_bound =
            bind(listener_, reinterpret_cast<const sockaddr*>(&address), size) == 0 &&
            listen(listener_, SOMAXCONN) == 0;
        EXPECT_TRUE(is_bound);
        getsockname(listener_, reinterpret_cast<sockaddr*>(&address), &size);
        port_ = ntohs(address.sin_port);
        thread_ = std::thread{[this] { run(); }};
    }

    ~raw_target()
    {
        is_stopping_ = true;
        thread_.join();
        close(listener_);
        for (const int fd : open_) {
            close(fd);
        }
    }
    raw_target(const raw_target&) = delete;
    raw_target(raw_target&&) = delete;
    raw_target& operator=(const raw_target&) = delete;
    raw_target& operator=(raw_target&&) = delete;

    endpoint address() const { return {"127.0.0.1", port_}; }

    /// Number of requests answered.
    std::atomic<int> answers = 0;

private:
    /// Time for the peer to read the answer before the connection is reset.
    static constexpr std::chrono::milliseconds reset_delay{50};
    static constexpr int poll_ms = 20;

    void run()
    {
        while (!is_stopping_) {
            if (is_readable(listener_)) {
                serve(accept(listener_, nullptr, nullptr));
            }
        }
    }

    static bool is_readable(int fd)
    {
        pollfd entry{fd, POLLIN, 0};
        return poll(&entry, 1, poll_ms) > 0;
    }

    void serve(int fd)
    {
        const auto head = receive_head(fd);
        if (head.empty()) {
            close(fd);
            return;
        }
        const auto answer = answer_to(head);
        send(fd, answer.data(), answer.size(), MSG_NOSIGNAL);
        ++answers;
        switch (ending_) {
        case raw_ending::stays_open:
            open_.push_back(fd);
            return;
        case raw_ending::closes:
            shutdown(fd, SHUT_WR);
            discard_rest(fd);
            close(fd);
            return;
        case raw_ending::ends_then_resets:
            shutdown(fd, SHUT_WR);
            break;
        case raw_ending::resets:
            break;
        }
        std::this_thread::sleep_for(reset_delay);
        const linger no_wait{1, 0};
        setsockopt(fd, SOL_SOCKET, SO_LINGER, &no_wait, sizeof no_wait);
        close(fd);
    }

    /// Returns the bytes up to the end of the head at least, or nothing if the peer closes.
    std::string receive_head(int fd)
    {
        std::string received;
        std::array<char, 1'024> buf{};
        while (!is_stopping_ && received.find("\r\n\r\n") == std::string::npos) {
            if (!is_readable(fd)) {
                continue;
            }
            const auto n = recv(fd, buf.data(), buf.size(), 0);
            if (n <= 0) {
                return {};
            }
            received.append(buf.data(), static_cast<std::size_t>(n));
        }
        return received;
    }

    void discard_rest(int fd)
    {
        std::array<char, 65'536> buf{};
        while (!is_stopping_ && (!is_readable(fd) || recv(fd, buf.data(), buf.size(), 0) > 0)) {
        }
    }

    std::string answer_to(std::string_view request) const
    {
        constexpr std::string_view placeholder = "{id}";
        constexpr std::string_view header = "Endivelatch-Attempt-Id: ";
        auto answer = answer_;
        const auto at = answer.find(placeholder);
        const auto id = request.find(header);
        if (at == std::string::npos || id == std::string_view::npos) {
            return answer;
        }
        const auto value = request.substr(id + header.size());
        return answer.replace(at, placeholder.size(), value.substr(0, value.find("\r\n")));
    }

    std::string answer_;
    raw_ending ending_;
    int listener_;
    std::uint16_t port_ = 0;
    std::vector<int> open_;
    std::atomic<bool> is_stopping_ = false;
    std::thread thread_;
};

} // namespace endivelatch
