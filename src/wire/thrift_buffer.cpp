#include "wire/thrift_buffer.hpp"

#include "endivelatch/wire/codec.hpp"

#include <algorithm>

namespace endivelatch {
namespace {

constexpr int max_nesting = 8;

/// Returns the message size and nesting limits of all buffers.
const std::shared_ptr<apache::thrift::TConfiguration>& shared_limits()
{
    static const auto limits = std::make_shared<apache::thrift::TConfiguration>(
        static_cast<int>(max_message_size), static_cast<int>(max_message_size), max_nesting);
    return limits;
}

/// Returns a buffer that refers to the bytes without copying them. Thrift does not write to a
/// buffer in OBSERVE mode, so the const_cast is safe.
std::shared_ptr<memory_buffer> observe(std::string_view bytes)
{
    // NOLINTNEXTLINE(cppcoreguidelines-pro-type-const-cast)
    auto* data = const_cast<char*>(bytes.data());
    return std::make_shared<memory_buffer>(reinterpret_cast<std::uint8_t*>(data),
                                           static_cast<std::uint32_t>(bytes.size()),
                                           memory_buffer::OBSERVE, shared_limits());
}

/// Returns the largest number of list elements to accept: an element takes at least one byte.
std::int32_t list_limit(std::string_view bytes)
{
    return static_cast<std::int32_t>(std::clamp<std::size_t>(bytes.size(), 1, max_list_size));
}

/// Returns the largest string length to accept, in bytes.
std::int32_t string_limit(std::string_view bytes)
{
    return static_cast<std::int32_t>(std::clamp<std::size_t>(bytes.size(), 1, max_message_size));
}

} // namespace

thrift_writer::thrift_writer()
    : buffer_{std::make_shared<memory_buffer>(shared_limits())}, protocol_{buffer_}
{
}

std::string_view thrift_writer::bytes() const
{
    std::uint8_t* data = nullptr;
    std::uint32_t size = 0;
    buffer_->getBuffer(&data, &size);
    return {reinterpret_cast<const char*>(data), size};
}

void thrift_writer::clear()
{
    buffer_->resetBuffer();
}

thrift_reader::thrift_reader(std::string_view bytes)
    : buffer_{observe(bytes)}, protocol_{buffer_, string_limit(bytes), list_limit(bytes)}
{
}

bool thrift_reader::at_end() const
{
    return buffer_->available_read() == 0;
}

} // namespace endivelatch
