#pragma once

#include <compare>

namespace endivelatch {

/// Rate of requests.
struct request_rate {
    double per_second = 0;

    friend auto operator<=>(const request_rate&, const request_rate&) = default;
};

} // namespace endivelatch
