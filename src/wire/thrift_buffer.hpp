#pragma once

#include <endivelatch_types.h>

#include <thrift/TConfiguration.h>
#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>

/// Thrift's compact protocol on memory buffers.
namespace endivelatch {

using memory_buffer = apache::thrift::transport::TMemoryBuffer;
using compact_protocol = apache::thrift::protocol::TCompactProtocolT<memory_buffer>;

/// Largest number of elements of a list. Thrift allocates a list before it reads its elements, so
/// this limits what malformed input can allocate.
constexpr std::size_t max_list_size = 4'096;

/// Serialises structs one after another.
class thrift_writer {
public:
    thrift_writer();

    /// Appends a struct.
    template <class Struct>
    void write(const Struct& value)
    {
        value.write(&protocol_);
    }

    /// Returns the bytes written so far; valid until the next write.
    std::string_view bytes() const;

    /// Discards the bytes written and keeps the memory.
    void clear();

private:
    std::shared_ptr<memory_buffer> buffer_;
    compact_protocol protocol_;
};

/// Deserialises structs one after another. The bytes have to outlive the reader.
/// Throws Thrift's exceptions on malformed input.
class thrift_reader {
public:
    explicit thrift_reader(std::string_view bytes);

    /// Reads the next struct.
    template <class Struct>
    void read(Struct& value)
    {
        value.read(&protocol_);
    }

    /// Returns whether all bytes were read.
    bool at_end() const;

private:
    std::shared_ptr<memory_buffer> buffer_;
    compact_protocol protocol_;
};

} // namespace endivelatch
