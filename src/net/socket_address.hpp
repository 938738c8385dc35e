#pragma once

#include "endivelatch/membership/member.hpp"

#include <optional>
#include <string>

#include <netinet/in.h>
#include <sys/socket.h>

namespace endivelatch {

/// An IPv4 or IPv6 socket address.
class socket_address {
public:
    explicit socket_address(const sockaddr_storage& storage) : storage_{storage} {}

    /// Returns the address to be passed to system calls.
    const sockaddr* get() const;

    /// Returns the address length to be passed to system calls.
    socklen_t size() const { return is_v6() ? sizeof(sockaddr_in6) : sizeof(sockaddr_in); }

    /// Returns whether this is an IPv6 address.
    bool is_v6() const { return storage_.ss_family == AF_INET6; }

    /// Returns the address and port in text form.
    endpoint to_endpoint() const;

private:
    sockaddr_storage storage_;
};

/// Returns the socket address, or nullopt when the text is not an IP address.
std::optional<socket_address> make_socket_address(const endpoint& from);

/// Formats an endpoint as `ADDRESS:PORT`, with an IPv6 address in brackets.
std::string to_string(const endpoint& from);

/// Returns the local port of a bound socket; zero when it is not bound.
std::uint16_t local_port(int fd);

} // namespace endivelatch
