#pragma once

#include "endivelatch/net/link_frame.hpp"

#include <string>

namespace endivelatch {

/// A codec without encryption or authentication: frames have a 4-byte length prefix, the hello
/// is `ID RUN`.
class plain_link_codec {
public:
    explicit plain_link_codec(link_peer self) : self_{std::move(self)} {}

    /// Maximum frame size in bytes.
    static constexpr std::size_t max_frame = 1'000'000;

    void append_hello(std::string& out)
    {
        append(out, self_.id.str() + " " + std::to_string(self_.run.value()));
    }

    void append(std::string& out, std::string_view bytes)
    {
        for (unsigned shift = 32; shift > 0; shift -= 8) {
            out += static_cast<char>(bytes.size() >> (shift - 8) & 0xFFU);
        }
        out += bytes;
    }

    void feed(std::string_view bytes) { buf_.erase(0, std::exchange(consumed_, 0)) += bytes; }

    std::optional<result<std::string_view>> next()
    {
        const std::string_view rest = std::string_view{buf_}.substr(consumed_);
        if (rest.size() < 4) {
            return std::nullopt;
        }
        std::size_t size = 0;
        for (const char c : rest.substr(0, 4)) {
            size = size << 8U | static_cast<unsigned char>(c);
        }
        if (size > max_frame) {
            return one_finding("frame", "too large");
        }
        if (rest.size() < size + 4) {
            return std::nullopt;
        }
        consumed_ += size + 4;
        const auto content = rest.substr(4, size);
        if (is_open_) {
            return content;
        }
        return parse_hello(content);
    }

    bool is_open() const { return is_open_; }
    const link_peer& peer() const { return peer_; }

private:
    std::optional<result<std::string_view>> parse_hello(std::string_view hello)
    {
        const auto space = hello.find(' ');
        if (space == std::string_view::npos) {
            return one_finding("hello", "malformed");
        }
        peer_.id = router_id{std::string{hello.substr(0, space)}};
        peer_.run = incarnation{std::stoull(std::string{hello.substr(space + 1)})};
        is_open_ = true;
        return next();
    }

    link_peer self_;
    link_peer peer_;
    bool is_open_ = false;
    std::string buf_;
    std::size_t consumed_ = 0;
};

static_assert(link_codec<plain_link_codec>);

} // namespace endivelatch
