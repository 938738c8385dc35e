#pragma once

#include "endivelatch/net/tcp_stream.hpp"

#include <algorithm>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace endivelatch::serve {

/// What a caller of a crowd sends. The connection stays open afterwards.
struct caller_script {
    std::string head;       ///< Sent first; `ID` is replaced by the number of the caller.
    std::string piece;      ///< Sent after it, again and again.
    std::size_t pieces = 0; ///< Number of pieces.
    std::string end;        ///< Sent last.
    bool reads = true;      ///< Reads what it is sent.
};

/// Callers that each send the same script at once and wait for nothing.
class caller_crowd {
public:
    caller_crowd(event_loop& loop, const endpoint& to, caller_script script, int callers)
        : script_{std::move(script)}, to_{to}
    {
        for (int n = 0; n < callers; ++n) {
            callers_.push_back(std::make_unique<caller>());
            connect(loop, *callers_.back(), n);
        }
    }

    /// Returns whether each caller has sent everything or was closed by the router.
    bool is_done() const
    {
        return std::all_of(callers_.begin(), callers_.end(), [](const auto& it) {
            return it->is_closed || (it->has_sent_end && it->is_written);
        });
    }

    /// Returns how many callers got an answer that starts with the status.
    auto answered(int status) const
    {
        const auto start = "HTTP/1.1 " + std::to_string(status);
        return std::count_if(callers_.begin(), callers_.end(),
                             [&](const auto& it) { return it->received.starts_with(start); });
    }

    /// Returns how many connections the router closed.
    auto closed() const
    {
        return std::count_if(callers_.begin(), callers_.end(),
                             [](const auto& it) { return it->is_closed; });
    }

    /// Closes all connections.
    void leave() { callers_.clear(); }

private:
    /// Bytes of pieces that are handed to the connection at once, and bytes of the answer kept.
    static constexpr std::size_t block_size = 65'536;

    struct caller {
        std::unique_ptr<tcp_stream> stream;
        std::string received;
        std::size_t sent_pieces = 0;
        bool has_sent_end = false;
        bool is_written = false;
        bool is_closed = false;
    };

    void connect(event_loop& loop, caller& it, int number)
    {
        it.stream = std::make_unique<tcp_stream>(
            loop, to_,
            tcp_stream_callbacks{[this, &it] {
                                     it.stream->pause_reading(!script_.reads);
                                     write_more(it);
                                 },
                                 [&it](std::string_view bytes) {
                                     if (it.received.size() < block_size) {
                                         it.received += bytes;
                                     }
                                 },
                                 [this, &it] { write_more(it); },
                                 [&it](const std::string&) { it.is_closed = true; }});
        auto head = script_.head;
        const std::string placeholder = "ID";
        if (const auto at = head.find(placeholder); at != std::string::npos) {
            head.replace(at, placeholder.size(), std::to_string(number));
        }
        it.stream->out() = head;
    }

    void write_more(caller& it)
    {
        if (it.has_sent_end) {
            it.is_written = true;
            return;
        }
        auto& out = it.stream->out();
        const auto enough = out.size() + (script_.piece.size() > 1 ? block_size : 1);
        while (it.sent_pieces < script_.pieces && out.size() < enough) {
            out += script_.piece;
            ++it.sent_pieces;
        }
        if (it.sent_pieces == script_.pieces) {
            out += script_.end;
            it.has_sent_end = true;
        }
        if (out.empty()) {
            it.is_written = true;
        }
        it.stream->flush_soon();
    }

    caller_script script_;
    endpoint to_;
    std::vector<std::unique_ptr<caller>> callers_;
};

} // namespace endivelatch::serve
