#pragma once

#include "endivelatch/net/tcp_stream.hpp"

#include "standins/delayed_calls.hpp"

#include <algorithm>
#include <charconv>
#include <cstdio>
#include <list>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

/// Source and sink of event streams for the relay benchmarks; each runs in a separate process.
namespace endivelatch::bench {

/// Parameters of one benchmark phase.
struct relay_phase {
    std::string name;
    int relayed = 0;           ///< Streams through the relay.
    int direct = 0;            ///< Streams directly from source to sink.
    int events = 0;            ///< Events per stream.
    duration interval{61'000}; ///< Between the events of a stream.
    duration idle_at_end{};    ///< Time that a stream stays open after its last event.
    /// HTTP request that the sink sends to open a stream.
    std::string request = "GET /stream HTTP/1.1\r\nHost: relay\r\n\r\n";
};

/// JSON field name that precedes the send time in an event.
constexpr std::string_view timestamp_field = "\"sent_us\":";

/// Returns microseconds since boot.
inline std::int64_t now_us()
{
    return boot_clock::now().time_since_epoch().count();
}

/// Returns an HTTP chunk with one event of the typical size of a token event.
inline std::string make_chunk(int number)
{
    const std::string event = "id: " + std::to_string(number) + "\ndata: {" +
                              std::string{timestamp_field} + std::to_string(now_us()) +
                              ",\"choices\":[{\"index\":0,\"delta\":{\"content\":\"a token\"}}]}"
                              "\n\n";
    char size[16];
    std::snprintf(size, sizeof size, "%zx\r\n", event.size());
    return size + event + "\r\n";
}

/// Responds to every request with a stream of events at the interval of the phase.
class stream_source {
public:
    stream_source(event_loop& loop, relay_phase phase)
        : loop_{&loop}, phase_{std::move(phase)}, delays_{loop}, listener_{loop, [this](int fd) {
                                                                               accept(fd);
                                                                           }}
    {
        listener_.start({"127.0.0.1", 0});
    }

    /// Returns the port that the source listens on.
    std::uint16_t port() const { return listener_.listening().port; }

private:
    struct connection {
        std::unique_ptr<tcp_stream> stream;
        int sent = 0;
        time_point due;
        duration::rep index = 0; ///< Staggers the streams over the interval.
        bool is_started = false;
    };

    void accept(int fd)
    {
        auto& it = connections_.emplace_back();
        it.index = static_cast<duration::rep>(connections_.size());
        it.stream = std::make_unique<tcp_stream>(
            *loop_, fd,
            tcp_stream_callbacks{{}, [this, &it](std::string_view) { begin(it); }, {}, {}});
    }

    void begin(connection& it)
    {
        if (it.is_started) {
            return;
        }
        it.is_started = true;
        it.stream->out() += "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                            "Transfer-Encoding: chunked\r\n\r\n";
        it.stream->flush_soon();
        const auto share = it.index * 7'919;
        it.due = loop_->now() + duration{share % phase_.interval.count() + 1};
        delays_.after(it.due - loop_->now(), [this, &it] { send_next(it); });
    }

    void send_next(connection& it)
    {
        if (!it.stream->is_open()) {
            return;
        }
        if (it.sent == phase_.events) {
            delays_.after(phase_.idle_at_end, [&it] {
                it.stream->out() += "0\r\n\r\n";
                it.stream->flush_soon();
            });
            return;
        }
        it.stream->out() += make_chunk(++it.sent);
        it.stream->flush_soon();
        // Advances from the previous due time, not from now, so that late events cause no drift and
        // streams do not synchronise.
        it.due += phase_.interval;
        delays_.after(std::max(it.due - loop_->now(), duration{1}), [this, &it] { send_next(it); });
    }

    event_loop* loop_;
    relay_phase phase_;
    standins::delayed_calls delays_;
    tcp_listener listener_;
    std::list<connection> connections_;
};

/// Latencies of the events of the direct or the relayed streams.
struct delay_list {
    std::vector<std::int64_t> us;

    /// Returns a quantile of the latencies; `share` is between 0 and 1.
    std::int64_t quantile(double share)
    {
        if (us.empty()) {
            return 0;
        }
        const auto rank = static_cast<std::size_t>(share * static_cast<double>(us.size() - 1));
        std::nth_element(us.begin(), us.begin() + static_cast<std::ptrdiff_t>(rank), us.end());
        return us[rank];
    }
};

/// Opens all streams of a phase and records the latency of each event.
class stream_sink {
public:
    stream_sink(event_loop& loop, const relay_phase& phase, std::uint16_t source,
                std::uint16_t relay)
        : loop_{&loop}, open_streams_{phase.relayed + phase.direct},
          skipped_events_{phase.events / 3}, request_{phase.request}
    {
        for (int i = 0; i < phase.relayed; ++i) {
            connect(relay, relayed);
        }
        for (int i = 0; i < phase.direct; ++i) {
            connect(source, direct);
        }
    }

    delay_list relayed;
    delay_list direct;

private:
    struct connection {
        std::unique_ptr<tcp_stream> stream;
        std::string unparsed;
        int events = 0;
        bool is_done = false;
    };

    void connect(std::uint16_t port, delay_list& delays)
    {
        auto& it = connections_.emplace_back();
        it.stream = std::make_unique<tcp_stream>(
            *loop_, endpoint{"127.0.0.1", port},
            tcp_stream_callbacks{
                [this, &it] {
                    it.stream->out() += request_;
                    it.stream->flush_soon();
                },
                [this, &it, &delays](std::string_view bytes) { receive(it, delays, bytes); },
                {},
                [this, &it](const std::string&) { end(it); }});
    }

    void receive(connection& it, delay_list& delays, std::string_view bytes)
    {
        const std::int64_t now = now_us();
        it.unparsed += bytes;
        std::size_t begin = 0;
        while (true) {
            const auto field = it.unparsed.find(timestamp_field, begin);
            const auto line_end =
                field == std::string::npos ? field : it.unparsed.find('\n', field);
            if (line_end == std::string::npos) {
                break;
            }
            std::int64_t sent = 0;
            std::from_chars(it.unparsed.data() + field + timestamp_field.size(),
                            it.unparsed.data() + line_end, sent);
            if (++it.events > skipped_events_) {
                delays.us.push_back(now - sent);
            }
            begin = line_end;
        }
        it.unparsed.erase(0, begin);
        if (it.unparsed.find("\r\n0\r\n\r\n") != std::string::npos) {
            end(it);
        }
    }

    void end(connection& it)
    {
        if (it.is_done) {
            return;
        }
        it.is_done = true;
        if (--open_streams_ == 0) {
            loop_->stop();
        }
    }

    event_loop* loop_;
    int open_streams_;
    int skipped_events_; ///< First events of each stream, not recorded because streams are still
                         ///< opening.
    std::string request_;
    std::list<connection> connections_;
};

} // namespace endivelatch::bench
