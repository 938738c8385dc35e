#include "endivelatch/net/udp_socket.hpp"

#include "socket_address.hpp"

#include <array>
#include <cerrno>
#include <cstring>
#include <utility>

#include <unistd.h>

namespace endivelatch {

namespace {

/// Datagrams read per wake-up.
constexpr int max_reads = 64;

} // namespace

udp_socket::udp_socket(event_loop& loop,
                       std::function<void(const endpoint&, std::string_view)> on_datagram)
    : loop_{&loop}, on_datagram_{std::move(on_datagram)}
{
}

udp_socket::~udp_socket()
{
    watcher_.reset();
    if (fd_ >= 0) {
        close(fd_);
    }
}

findings udp_socket::start(const endpoint& local)
{
    const auto address = make_socket_address(local);
    if (!address) {
        return one_finding(to_string(local), "\"" + local.address + "\" is not an IP address");
    }
    fd_ =
        socket(address->is_v6() ? AF_INET6 : AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (bind(fd_, address->get(), address->size()) != 0) {
        return one_finding(to_string(local), std::string{"cannot bind: "} + std::strerror(errno));
    }
    address_ = {local.address, local_port(fd_)};
    watcher_ = std::make_unique<io_watcher>(*loop_, fd_, [this](io_interest) { receive_all(); });
    watcher_->watch({true, false});
    return {};
}

bool udp_socket::send(const endpoint& to, std::string_view bytes)
{
    const auto address = make_socket_address(to);
    if (!address || bytes.size() > max_datagram) {
        return false;
    }
    const auto n =
        sendto(fd_, bytes.data(), bytes.size(), MSG_NOSIGNAL, address->get(), address->size());
    return n == static_cast<ssize_t>(bytes.size());
}

void udp_socket::receive_all()
{
    std::array<char, max_datagram + 1> buf{};
    for (int i = 0; i < max_reads; ++i) {
        sockaddr_storage from{};
        socklen_t size = sizeof from;
        const auto n =
            recvfrom(fd_, buf.data(), buf.size(), 0, reinterpret_cast<sockaddr*>(&from), &size);
        if (n < 0) {
            return;
        }
        if (static_cast<std::size_t>(n) > max_datagram) {
            continue;
        }
        on_datagram_(socket_address{from}.to_endpoint(), {buf.data(), static_cast<std::size_t>(n)});
    }
}

} // namespace endivelatch
