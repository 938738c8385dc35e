#pragma once

#include "endivelatch/net/tcp_stream.hpp"
#include "net/loopback.hpp"

#include <atomic>
#include <memory>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

namespace endivelatch::serve {

/// Answers each request with a head and then repeats a text without end. Runs in a thread of its
/// own, so that the loop that measures the callers' times does not also have to produce the bytes.
class endless_replica {
public:
    endless_replica(std::string head, std::string_view repeated)
        : head_{std::move(head)}, listener_{loop_, [this](int fd) { accept(fd); }}
    {
        while (block_.size() < block_size) {
            block_ += repeated;
        }
        listener_.start({"127.0.0.1", 0});
        thread_ = std::thread{[this] {
            while (!is_stopping_) {
                run_for(loop_, stop_check_interval);
            }
        }};
    }

    ~endless_replica()
    {
        is_stopping_ = true;
        thread_.join();
    }
    endless_replica(const endless_replica&) = delete;
    endless_replica(endless_replica&&) = delete;
    endless_replica& operator=(const endless_replica&) = delete;
    endless_replica& operator=(endless_replica&&) = delete;

    endpoint address() const { return listener_.listening(); }

    /// Number of requests answered.
    std::atomic<int> answers = 0;
    /// Number of bytes sent.
    std::atomic<std::size_t> sent = 0;

private:
    static constexpr std::size_t block_size = 65'536;
    static constexpr duration stop_check_interval = std::chrono::milliseconds{20};

    struct connection {
        std::unique_ptr<tcp_stream> stream;
        std::string received;
        bool is_answering = false;
    };

    void accept(int fd)
    {
        connections_.push_back(std::make_unique<connection>());
        auto& conn = *connections_.back();
        conn.stream = std::make_unique<tcp_stream>(
            loop_, fd,
            tcp_stream_callbacks{{},
                                 [this, &conn](std::string_view bytes) { read(conn, bytes); },
                                 [this, &conn] { write_block(conn); },
                                 [](const std::string&) {}});
    }

    void read(connection& conn, std::string_view bytes)
    {
        const std::string id_header = "Endivelatch-Attempt-Id: ";
        conn.received += bytes;
        const auto at = conn.received.find(id_header);
        const auto end = conn.received.find("\r\n", at);
        if (conn.is_answering || at == std::string::npos || end == std::string::npos) {
            return;
        }
        conn.is_answering = true;
        ++answers;
        auto head = head_;
        const std::string placeholder = "ID";
        const auto id = head.find(placeholder);
        if (id != std::string::npos) {
            head.replace(id, placeholder.size(),
                         conn.received.substr(at + id_header.size(), end - at - id_header.size()));
        }
        conn.stream->out() += head;
        write_block(conn);
    }

    void write_block(connection& conn)
    {
        sent += block_.size();
        conn.stream->out() += block_;
        conn.stream->flush_soon();
    }

    event_loop loop_;
    std::string head_;
    std::string block_;
    tcp_listener listener_;
    std::vector<std::unique_ptr<connection>> connections_;
    std::atomic<bool> is_stopping_ = false;
    std::thread thread_;
};

} // namespace endivelatch::serve
