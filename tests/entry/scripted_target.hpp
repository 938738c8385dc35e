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

/// A target that counts requests and answers each with the raw bytes that a function returns.
class scripted_target {
public:
    /// Response to a complete request.
    struct scripted_response {
        std::string bytes;   ///< Sent unchanged.
        bool closes = false; ///< Closes the connection after the bytes.
    };
    using script = std::function<scripted_response(int request, const request_head&)>;

    scripted_target(event_loop& loop, script answers)
        : loop_{&loop}, answers_{std::move(answers)}, listener_{loop,
                                                                [this](int fd) { accept(fd); }}
    {
        listener_.start({"127.0.0.1", 0});
    }

    /// Returns the bound address.
    endpoint address() const { return listener_.listening(); }

    /// Sends bytes on all open connections.
    void send_to_all(std::string_view bytes)
    {
        for (auto& [number, it] : connections_) {
            it->stream->out() += bytes;
            it->stream->flush_soon();
        }
    }

    /// Number of requests whose head was received.
    int requests = 0;
    /// Number of connections accepted.
    int connections = 0;
    /// Number of connections closed by the peer.
    int closed_by_peer = 0;
    /// Whether connections are closed after the head of a request, before its body is read.
    bool closes_after_head = false;

private:
    struct connection {
        std::unique_ptr<tcp_stream> stream;
        request_reader reader{request_limits{}};
        bool is_counted = false;
    };

    void accept(int fd)
    {
        ++connections;
        auto created = std::make_unique<connection>();
        auto& conn = *created;
        connections_.emplace(connections, std::move(created));
        conn.stream = std::make_unique<tcp_stream>(
            *loop_, fd,
            tcp_stream_callbacks{{},
                                 [this, &conn](std::string_view bytes) { read(conn, bytes); },
                                 {},
                                 [this](const std::string&) { ++closed_by_peer; }});
    }

    void read(connection& conn, std::string_view bytes)
    {
        conn.reader.feed(bytes);
        if (conn.reader.has_head() && !std::exchange(conn.is_counted, true)) {
            ++requests;
            if (closes_after_head) {
                conn.stream->close();
                return;
            }
        }
        if (!conn.reader.is_complete()) {
            return;
        }
        const auto response = answers_(requests, conn.reader.head());
        conn.reader.next();
        conn.is_counted = false;
        conn.stream->out() += response.bytes;
        if (response.closes && response.bytes.empty()) {
            conn.stream->close();
            return;
        }
        conn.stream->flush_soon();
        if (response.closes) {
            loop_->post([&conn] { conn.stream->close(); });
        }
    }

    event_loop* loop_;
    script answers_;
    tcp_listener listener_;
    std::map<int, std::unique_ptr<connection>> connections_;
};

} // namespace endivelatch
