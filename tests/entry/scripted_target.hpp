#pragma once

#include "endivelatch/http1/request_reader.hpp"
#include "endivelatch/net/event_loop.hpp"
#include "endivelatch/net/tcp_stream.hpp"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <utility>

namespace endivelatch {

/// A target that counts requests and answers each by a script, byte for byte.
class scripted_target {
public:
    /// What to do when a whole request has arrived.
    struct reaction {
        std::string bytes;   ///< Sent as they are.
        bool closes = false; ///< Then closes the connection.
    };
    using script = std::function<reaction(int request, const request_head&)>;

    scripted_target(event_loop& loop, script answers)
        : loop_{&loop}, answers_{std::move(answers)}, listener_{loop,
                                                                [this](int fd) { accept(fd); }}
    {
        listener_.start({"127.0.0.1", 0});
    }

    /// Returns its address.
    endpoint address() const { return listener_.listening(); }

    /// Requests whose heads have been read.
    int requests = 0;
    /// Connections accepted.
    int connections = 0;
    /// Connections that the other end closed.
    int closed_by_peer = 0;
    /// Connections are closed as soon as a head has been read, before the body.
    bool closes_after_head = false;

private:
    struct connection {
        std::unique_ptr<tcp_stream> stream;
        request_reader reader{request_limits{}};
        bool has_counted = false;
    };

    void accept(int fd)
    {
        ++connections;
        auto made = std::make_unique<connection>();
        auto& it = *made;
        connections_.emplace(connections, std::move(made));
        it.stream = std::make_unique<tcp_stream>(
            *loop_, fd,
            tcp_stream_callbacks{{},
                                 [this, &it](std::string_view bytes) { read(it, bytes); },
                                 {},
                                 [this](const std::string&) { ++closed_by_peer; }});
    }

    void read(connection& it, std::string_view bytes)
    {
        it.reader.feed(bytes);
        if (it.reader.has_head() && !std::exchange(it.has_counted, true)) {
            ++requests;
            if (closes_after_head) {
                it.stream->close();
                return;
            }
        }
        if (!it.reader.is_complete()) {
            return;
        }
        const auto done = answers_(requests, it.reader.head());
        it.reader.next();
        it.has_counted = false;
        it.stream->out() += done.bytes;
        if (done.closes && done.bytes.empty()) {
            it.stream->close();
            return;
        }
        it.stream->flush_soon();
    }

    event_loop* loop_;
    script answers_;
    tcp_listener listener_;
    std::map<int, std::unique_ptr<connection>> connections_;
};

} // namespace endivelatch
