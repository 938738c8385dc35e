#include "socket_address.hpp"

#include <array>
#include <cstring>

#include <arpa/inet.h>

namespace endivelatch {

const sockaddr* socket_address::get() const
{
    return reinterpret_cast<const sockaddr*>(&storage_);
}

endpoint socket_address::to_endpoint() const
{
    std::array<char, INET6_ADDRSTRLEN> buf{};
    if (is_v6()) {
        sockaddr_in6 v6{};
        std::memcpy(&v6, &storage_, sizeof v6);
        inet_ntop(AF_INET6, &v6.sin6_addr, buf.data(), buf.size());
        return {buf.data(), ntohs(v6.sin6_port)};
    }
    sockaddr_in v4{};
    std::memcpy(&v4, &storage_, sizeof v4);
    inet_ntop(AF_INET, &v4.sin_addr, buf.data(), buf.size());
    return {buf.data(), ntohs(v4.sin_port)};
}

std::optional<socket_address> make_socket_address(const endpoint& from)
{
    sockaddr_storage storage{};
    sockaddr_in v4{};
    if (inet_pton(AF_INET, from.address.c_str(), &v4.sin_addr) == 1) {
        v4.sin_family = AF_INET;
        v4.sin_port = htons(from.port);
        std::memcpy(&storage, &v4, sizeof v4);
        return socket_address{storage};
    }
    sockaddr_in6 v6{};
    if (inet_pton(AF_INET6, from.address.c_str(), &v6.sin6_addr) == 1) {
        v6.sin6_family = AF_INET6;
        v6.sin6_port = htons(from.port);
        std::memcpy(&storage, &v6, sizeof v6);
        return socket_address{storage};
    }
    return std::nullopt;
}

std::string to_string(const endpoint& from)
{
    const bool is_v6 = from.address.find(':') != std::string::npos;
    const std::string host = is_v6 ? "[" + from.address + "]" : from.address;
    return host + ":" + std::to_string(from.port);
}

std::uint16_t local_port(int fd)
{
    sockaddr_storage storage{};
    socklen_t size = sizeof storage;
    if (getsockname(fd, reinterpret_cast<sockaddr*>(&storage), &size) != 0) {
        return 0;
    }
    return socket_address{storage}.to_endpoint().port;
}

} // namespace endivelatch
