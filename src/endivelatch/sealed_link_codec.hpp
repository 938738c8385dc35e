#pragma once

#include "endivelatch/net/link_frame.hpp"
#include "endivelatch/wire/frame.hpp"
#include "endivelatch/wire/hello.hpp"

#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace endivelatch {

/// Authenticates the frames of one connection between routers. The frame keys are derived from the
/// fleet key and the hellos of both ends.
class sealed_link_codec {
public:
    /// Takes the fleet key, the identity of this router and a nonce that is unique to the
    /// connection.
    sealed_link_codec(std::string fleet_key, link_peer self, std::string nonce);

    /// Appends this router's hello.
    void append_hello(std::string& out) const;

    /// Appends an authenticated frame. The codec must be open.
    void append(std::string& out, std::string_view content) { writer_->append(out, content); }

    /// Appends received bytes.
    void feed(std::string_view bytes) { reader_->feed(bytes); }

    /// Returns the content of the next frame after the hello, findings if the bytes are invalid, or
    /// nothing if more bytes are needed.
    std::optional<result<std::string_view>> next();

    /// Returns whether the peer's hello was received.
    bool is_open() const { return writer_ != nullptr; }

    /// Returns the peer. The codec must be open.
    link_peer peer() const { return peer_; }

private:
    /// Decodes the peer's hello and derives the frame keys; returns findings if it is malformed.
    std::optional<findings> accept_hello(std::string_view content);

    std::string fleet_key_;
    link_hello hello_;
    link_peer peer_;
    std::unique_ptr<frame_reader> reader_;
    std::unique_ptr<frame_writer> writer_;
};

} // namespace endivelatch
