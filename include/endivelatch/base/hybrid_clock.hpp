#pragma once

#include "endivelatch/base/time.hpp"

#include <compare>
#include <cstdint>

namespace endivelatch {

/// Timestamp of a hybrid logical clock: wall time, then a counter. Its order is consistent with
/// causality across processes.
struct hybrid_time {
    std::int64_t wall_us = 0;  ///< Microseconds since 1970.
    std::uint32_t counter = 0; ///< Orders events with the same wall time.

    friend auto operator<=>(const hybrid_time&, const hybrid_time&) = default;
};

/// A hybrid logical clock: follows wall time, and every timestamp that it issues is greater than
/// all that it has issued or received before.
class hybrid_clock {
public:
    /// Returns the timestamp of a local event.
    hybrid_time local(wall_time wall);

    /// Returns the timestamp for receiving a message with the timestamp `remote`.
    hybrid_time received(wall_time wall, const hybrid_time& remote);

private:
    hybrid_time last_;
};

} // namespace endivelatch
