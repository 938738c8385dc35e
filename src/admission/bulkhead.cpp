#include "endivelatch/admission/bulkhead.hpp"

#include <algorithm>

namespace endivelatch {

bool bulkhead::try_start_call()
{
    if (!has_free_call()) {
        return false;
    }
    ++calls_;
    return true;
}

void bulkhead::end_call()
{
    calls_ -= std::min<std::uint32_t>(calls_, 1);
}

bool bulkhead::try_enqueue()
{
    if (queued_ >= limits_.queue_length) {
        return false;
    }
    ++queued_;
    return true;
}

void bulkhead::dequeue()
{
    queued_ -= std::min<std::uint32_t>(queued_, 1);
}

bool bulkhead::try_reserve_buffer(std::uint64_t bytes, std::uint64_t stream_buffered)
{
    const auto fits_stream =
        stream_buffered + bytes <= limits_.stream_bytes || stream_buffered == 0;
    if (!fits_stream || buffered_ + bytes > limits_.buffered_bytes) {
        return false;
    }
    buffered_ += bytes;
    return true;
}

void bulkhead::release_buffer(std::uint64_t bytes)
{
    buffered_ -= std::min(buffered_, bytes);
}

} // namespace endivelatch
