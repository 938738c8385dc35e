#include "sealed_link_codec.hpp"

#include "endivelatch/wire/codec.hpp"

#include <utility>

namespace endivelatch {

namespace {

constexpr std::size_t max_frame_content = max_message_size + 64; ///< Bytes, with the link header.

} // namespace

sealed_link_codec::sealed_link_codec(std::string fleet_key, link_peer self, std::string nonce)
    : fleet_key_{std::move(fleet_key)}, hello_{std::move(self.id), self.run, std::move(nonce)},
      reader_{std::make_unique<frame_reader>(fleet_key_, max_hello_size)}
{
}

void sealed_link_codec::append_hello(std::string& out) const
{
    frame_writer{fleet_key_}.append(out, encode(hello_));
}

std::optional<result<std::string_view>> sealed_link_codec::next()
{
    auto content = reader_->next();
    if (is_open() || !content || !has_value(*content)) {
        return content;
    }
    if (auto errors = accept_hello(value_of(*content))) {
        return result<std::string_view>{std::move(*errors)};
    }
    return std::nullopt;
}

std::optional<findings> sealed_link_codec::accept_hello(std::string_view content)
{
    auto decoded = decode_hello(content);
    if (!has_value(decoded)) {
        return findings_of(decoded);
    }
    if (reader_->buffered_bytes() > 0) {
        return one_finding("hello", "is followed by data before the handshake is complete");
    }
    const auto& other = value_of(decoded);
    peer_ = {other.from, other.from_run};
    reader_ = std::make_unique<frame_reader>(derive_frame_key(fleet_key_, other, hello_),
                                             max_frame_content);
    writer_ = std::make_unique<frame_writer>(derive_frame_key(fleet_key_, hello_, other));
    return std::nullopt;
}

} // namespace endivelatch
