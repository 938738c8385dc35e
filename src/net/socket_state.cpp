#include "socket_state.hpp"

#include <linux/sockios.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

namespace endivelatch {

int take_socket_error(int fd)
{
    int error = 0;
    socklen_t size = sizeof error;
    getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size);
    return error;
}

bool has_unacknowledged_bytes(int fd)
{
    int count = 0;
    return ioctl(fd, SIOCOUTQ, &count) == 0 && count > 0;
}

} // namespace endivelatch
