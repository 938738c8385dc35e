#include "secure_random.hpp"

#include <stdexcept>
#include <sys/random.h>

namespace endivelatch {

std::string secure_random_bytes(std::size_t n)
{
    std::string buffer(n, '\0');
    std::size_t filled = 0;
    while (filled < n) {
        const auto got = getrandom(buffer.data() + filled, n - filled, 0);
        if (got <= 0) {
            throw std::runtime_error{"getrandom returned no bytes"};
        }
        filled += static_cast<std::size_t>(got);
    }
    return buffer;
}

} // namespace endivelatch
