#pragma once

namespace endivelatch {

/// Returns the pending error of a socket and clears it; zero if there is none.
int take_socket_error(int fd);

/// Returns whether the peer's TCP has not acknowledged all bytes written to the socket.
bool has_unacknowledged_bytes(int fd);

} // namespace endivelatch
