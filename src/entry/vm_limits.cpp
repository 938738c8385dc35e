#include "endivelatch/entry/vm_limits.hpp"

#include <algorithm>
#include <fstream>

#include <sys/resource.h>
#include <unistd.h>

namespace endivelatch {

std::size_t read_memory_limit()
{
    const auto pages = std::max(sysconf(_SC_PHYS_PAGES), 0L);
    auto limit = static_cast<std::size_t>(pages) * static_cast<std::size_t>(getpagesize());
    // Versions 2 and 1 of control groups; the file of version 2 holds "max" without a limit.
    for (const char* path :
         {"/sys/fs/cgroup/memory.max", "/sys/fs/cgroup/memory/memory.limit_in_bytes"}) {
        std::ifstream in{path};
        std::size_t bytes = 0;
        if (in >> bytes && bytes > 0) {
            limit = std::min(limit, bytes);
        }
    }
    return limit;
}

std::size_t read_descriptor_limit()
{
    rlimit limit{};
    if (getrlimit(RLIMIT_NOFILE, &limit) != 0) {
        return 0;
    }
    return static_cast<std::size_t>(limit.rlim_cur);
}

} // namespace endivelatch
