#pragma once

#include "endivelatch/base/result.hpp"
#include "endivelatch/membership/member.hpp"
#include "endivelatch/net/io_watcher.hpp"

#include <memory>
#include <string_view>

namespace endivelatch {

/// Maximum datagram size in bytes; larger datagrams are neither sent nor delivered.
constexpr std::size_t max_datagram = 1'400;

/// A UDP socket bound to one address.
class udp_socket {
public:
    /// `on_datagram` is called with the sender and the content of each datagram.
    udp_socket(event_loop& loop,
               std::function<void(const endpoint&, std::string_view)> on_datagram);
    ~udp_socket();
    udp_socket(const udp_socket&) = delete;
    udp_socket(udp_socket&&) = delete;
    udp_socket& operator=(const udp_socket&) = delete;
    udp_socket& operator=(udp_socket&&) = delete;

    /// Binds the address; port zero selects a free port.
    findings start(const endpoint& local);

    /// Sends a datagram; returns false when it is too large or the system call fails.
    bool send(const endpoint& to, std::string_view bytes);

    /// Returns the bound address.
    const endpoint& listening() const { return address_; }

private:
    void receive_all();

    event_loop* loop_;
    std::function<void(const endpoint&, std::string_view)> on_datagram_;
    endpoint address_;
    int fd_ = -1;
    std::unique_ptr<io_watcher> watcher_;
};

} // namespace endivelatch
