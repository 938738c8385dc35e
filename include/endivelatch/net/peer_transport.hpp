#pragma once

#include "endivelatch/base/hash.hpp"
#include "endivelatch/net/link_frame.hpp"
#include "endivelatch/net/send_window.hpp"
#include "endivelatch/net/tcp_stream.hpp"
#include "endivelatch/net/timer.hpp"

#include <algorithm>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <utility>

/// Reliable frame delivery between routers over TCP.
namespace endivelatch {

/// Limits and timeouts of the links.
struct peer_transport_settings {
    endpoint listen;
    std::size_t max_unacknowledged = 8'388'608; ///< Bytes per receiver; `send` fails above.
    std::size_t max_incoming = 4'096;           ///< Concurrent accepted connections.
    duration check_interval{50'000};            ///< Interval between checks of all links.
    duration connect_timeout{1'000'000};        ///< Covers TCP connect and hello.
    duration ping_after{500'000};               ///< Time without received bytes before a ping.
    duration silence_timeout{1'500'000}; ///< Time without received bytes before reconnecting.
    duration give_up_after{10'000'000};  ///< Time without contact before frames are dropped.
    duration idle_timeout{60'000'000};   ///< Time without frames before a link is closed.
    duration acknowledge_after{50'000};  ///< Maximum acknowledgement delay.
    duration min_retry_delay{50'000};    ///< Backoff after the first failed attempt.
    duration max_retry_delay{3'000'000}; ///< Upper bound of the backoff.
    std::uint64_t seed = 1;              ///< Seeds the backoff jitter.
};

/// Callbacks of a peer_transport. Any of them may be empty.
struct peer_transport_callbacks {
    /// A frame was received. The view is valid during the callback only.
    std::function<void(const link_peer&, std::string_view)> on_frame;
    /// An outgoing connection completed its handshake.
    std::function<void(const endpoint&, const link_peer&)> on_link_up;
    /// Frames to a router were dropped for the given reason.
    std::function<void(const endpoint&, const std::string&, std::vector<lost_frame>&&)> on_lost;
};

/// Counters of all links since the start.
struct peer_transport_counts {
    std::uint64_t connected = 0;    ///< Outgoing connections that completed the handshake.
    std::uint64_t silent = 0;       ///< Connections replaced after the silence timeout.
    std::uint64_t malformed = 0;    ///< Connections closed because of malformed bytes.
    std::uint64_t duplicates = 0;   ///< Frames dropped as already received.
    std::uint64_t refused = 0;      ///< Frames refused because the send window was full.
    std::uint64_t bytes_queued = 0; ///< Bytes appended to streams, including hellos.
};

/// Delivers frames to other routers exactly once and in order while both processes run.
/// Each router opens the connections that it sends data on; acknowledgements return on the same
/// connection. After a reconnect, `SendWindow` retransmits unacknowledged frames and
/// `ReceiveWindow` discards duplicates. A link without unacknowledged frames carries no traffic.
template <link_codec Codec, class SendWindow = send_window, class ReceiveWindow = receive_window>
class peer_transport {
public:
    /// `make_codec` creates the codec of each new connection.
    peer_transport(event_loop& loop, peer_transport_settings settings,
                   std::function<Codec()> make_codec, peer_transport_callbacks callbacks)
        : loop_{&loop}, settings_{std::move(settings)}, make_codec_{std::move(make_codec)},
          callbacks_{std::move(callbacks)}, random_{settings_.seed}, listener_{loop,
                                                                               [this](int fd) {
                                                                                   accept(fd);
                                                                               }},
          check_timer_{loop, [this] { check_all(); }}, acknowledge_timer_{
                                                           loop, [this] { acknowledge_all(); }}
    {
    }

    /// Binds the listening address and starts the periodic checks.
    findings start()
    {
        last_check_ = loop_->now();
        check_timer_.start(settings_.check_interval);
        return listener_.start(settings_.listen);
    }

    /// Returns the bound listening address.
    const endpoint& listening() const { return listener_.listening(); }

    /// Queues a frame for a router and connects if needed. Returns false when its window is full.
    bool send(const endpoint& to, std::string content)
    {
        auto& link = find_or_add(to);
        if (link.window.empty()) {
            link.last_contact = loop_->now();
        }
        if (!link.window.push(std::move(content))) {
            ++counts_.refused;
            return false;
        }
        link.last_used = loop_->now();
        if (link.is_up()) {
            write_soon(link);
        }
        else if (link.stream == nullptr && link.retry_at <= loop_->now()) {
            connect(link);
        }
        return true;
    }

    /// Returns the number of unacknowledged bytes for a router.
    std::size_t unacknowledged(const endpoint& to) const
    {
        const auto it = outgoing_.find(to);
        return it == outgoing_.end() ? 0 : it->second.window.bytes();
    }

    /// Returns the counters.
    const peer_transport_counts& counts() const { return counts_; }

private:
    /// Bytes buffered in a stream above which no further frames are encoded.
    static constexpr std::size_t max_stream_buffer = 262'144;
    /// Number of received frames after which an acknowledgement is sent without delay.
    static constexpr std::size_t max_frames_per_acknowledgement = 256;

    /// An outgoing link, with the window of frames for its receiver.
    struct outgoing_link {
        explicit outgoing_link(std::size_t max_bytes) : window{max_bytes} {}

        bool is_up() const { return stream != nullptr && codec && codec->is_open(); }

        endpoint to;
        SendWindow window;
        std::unique_ptr<tcp_stream> stream;
        std::optional<Codec> codec;
        std::optional<link_peer> peer; ///< Last peer that completed a handshake at this address.
        time_point connect_started;    ///< Start of the current connection attempt.
        /// Time of the last received bytes, or when a frame was added to an empty window.
        time_point last_contact;
        time_point last_ping;
        time_point last_used;
        time_point retry_at;
        unsigned consecutive_failures = 0;
        bool is_write_posted = false;
    };

    /// An accepted connection.
    struct incoming_link {
        std::unique_ptr<tcp_stream> stream;
        std::optional<Codec> codec;
        time_point last_contact;
        std::size_t unacknowledged = 0; ///< Frames received since the last acknowledgement.
        typename std::list<incoming_link>::iterator self;
    };

    outgoing_link& find_or_add(const endpoint& to)
    {
        const auto [it, is_new] = outgoing_.try_emplace(to, settings_.max_unacknowledged);
        it->second.to = to;
        return it->second;
    }

    void connect(outgoing_link& link)
    {
        link.connect_started = loop_->now();
        link.codec.emplace(make_codec_());
        link.stream = std::make_unique<tcp_stream>(
            *loop_, link.to,
            tcp_stream_callbacks{[this, &link] { send_hello(*link.stream, *link.codec); },
                                 [this, &link](std::string_view bytes) { receive(link, bytes); },
                                 [this, &link] { write_soon(link); },
                                 [this, &link](const std::string&) { retry_later(link); }});
    }

    void send_hello(tcp_stream& stream, Codec& codec)
    {
        codec.append_hello(stream.out());
        counts_.bytes_queued += stream.out().size();
        stream.flush_soon();
    }

    /// Closes the connection of a link and schedules a reconnect with exponential backoff.
    void retry_later(outgoing_link& link)
    {
        close_stream(link.stream);
        link.codec.reset();
        const unsigned exponent = std::min(link.consecutive_failures, 16U);
        const auto max_delay =
            std::min(settings_.min_retry_delay * (1U << exponent), settings_.max_retry_delay);
        const double jitter_factor = 0.5 + random_.fraction() / 2;
        link.retry_at =
            loop_->now() + std::chrono::duration_cast<duration>(max_delay * jitter_factor);
        ++link.consecutive_failures;
    }

    void receive(outgoing_link& link, std::string_view bytes)
    {
        link.last_contact = loop_->now();
        const bool was_up = link.codec->is_open();
        link.codec->feed(bytes);
        while (auto next = link.codec->next()) {
            const auto frame = has_value(*next) ? decode_link_frame(value_of(*next)) : std::nullopt;
            if (!frame || frame->kind != link_frame_kind::acknowledgement) {
                ++counts_.malformed;
                retry_later(link);
                return;
            }
            link.window.acknowledge(frame->number);
        }
        if (!was_up && link.codec->is_open()) {
            on_connected(link);
        }
    }

    /// Starts sending on a connection after the hello of the peer has been received.
    void on_connected(outgoing_link& link)
    {
        const link_peer peer = link.codec->peer();
        ++counts_.connected;
        link.consecutive_failures = 0;
        link.window.rewind();
        if (link.peer && *link.peer != peer) {
            report_lost(link, "the router was replaced by another run", link.window.drop_written());
        }
        link.peer = peer;
        if (callbacks_.on_link_up) {
            callbacks_.on_link_up(link.to, peer);
        }
        write_soon(link);
    }

    void report_lost(outgoing_link& link, const std::string& reason, std::vector<lost_frame>&& lost)
    {
        if (!lost.empty() && callbacks_.on_lost) {
            callbacks_.on_lost(link.to, reason, std::move(lost));
        }
    }

    /// Writes unwritten frames at the end of this loop iteration. Outgoing links are never
    /// removed, so the posted call may capture a reference.
    void write_soon(outgoing_link& link)
    {
        if (link.is_write_posted || !link.window.has_unwritten()) {
            return;
        }
        link.is_write_posted = true;
        loop_->post([this, &link] {
            link.is_write_posted = false;
            write(link);
        });
    }

    void write(outgoing_link& link)
    {
        if (!link.is_up()) {
            return;
        }
        std::string& out = link.stream->out();
        const std::size_t before = out.size();
        while (out.size() < max_stream_buffer) {
            const auto* frame = link.window.next();
            if (frame == nullptr) {
                break;
            }
            link.codec->append(
                out, encode_link_frame({link_frame_kind::data, frame->number, frame->content}));
        }
        counts_.bytes_queued += out.size() - before;
        link.stream->flush_soon();
    }

    void check_all()
    {
        const time_point now = loop_->now();
        // If this process was suspended, do not count that time as silence of the peers.
        const duration pause = now - last_check_ - settings_.check_interval;
        last_check_ = now;
        for (auto& [to, link] : outgoing_) {
            if (pause > settings_.check_interval) {
                link.last_contact += pause;
                link.connect_started += pause;
            }
            check(link, now);
        }
        check_incoming(now);
        check_timer_.start(settings_.check_interval);
    }

    void check(outgoing_link& link, time_point now)
    {
        if (!link.window.empty() && now - link.last_contact > settings_.give_up_after) {
            retry_later(link);
            report_lost(link, "no contact with the router", link.window.drop_all());
            return;
        }
        if (link.stream == nullptr) {
            if (!link.window.empty() && link.retry_at <= now) {
                connect(link);
            }
            return;
        }
        if (!link.is_up()) {
            if (now - link.connect_started > settings_.connect_timeout) {
                retry_later(link);
            }
            return;
        }
        check_open(link, now);
    }

    void check_open(outgoing_link& link, time_point now)
    {
        if (link.window.empty()) {
            if (now - link.last_used > settings_.idle_timeout) {
                close_stream(link.stream);
                link.codec.reset();
            }
            return;
        }
        const time_point since = std::max(link.last_contact, link.connect_started);
        if (now - since > settings_.silence_timeout) {
            ++counts_.silent;
            retry_later(link);
            link.retry_at = now;
            connect(link);
            return;
        }
        if (now - since > settings_.ping_after && now - link.last_ping > settings_.ping_after) {
            link.last_ping = now;
            send_control(*link.stream, *link.codec, {link_frame_kind::ping, 0, {}});
        }
    }

    void send_control(tcp_stream& stream, Codec& codec, const link_frame& frame)
    {
        const std::size_t before = stream.out().size();
        codec.append(stream.out(), encode_link_frame(frame));
        counts_.bytes_queued += stream.out().size() - before;
        stream.flush_soon();
    }

    void accept(int fd)
    {
        incoming_.emplace_front();
        auto& link = incoming_.front();
        link.self = incoming_.begin();
        link.last_contact = loop_->now();
        link.codec.emplace(make_codec_());
        link.stream = std::make_unique<tcp_stream>(
            *loop_, fd,
            tcp_stream_callbacks{{},
                                 [this, &link](std::string_view bytes) { receive(link, bytes); },
                                 {},
                                 [this, &link](const std::string&) { close_incoming(link); }});
        if (incoming_.size() > settings_.max_incoming) {
            close_incoming(link);
        }
    }

    void receive(incoming_link& link, std::string_view bytes)
    {
        link.last_contact = loop_->now();
        const bool was_open = link.codec->is_open();
        link.codec->feed(bytes);
        while (auto next = link.codec->next()) {
            const auto frame = has_value(*next) ? decode_link_frame(value_of(*next)) : std::nullopt;
            if (!frame || frame->kind == link_frame_kind::acknowledgement) {
                ++counts_.malformed;
                close_incoming(link);
                return;
            }
            handle_frame(link, *frame);
        }
        if (!was_open && link.codec->is_open()) {
            send_hello(*link.stream, *link.codec);
        }
    }

    void handle_frame(incoming_link& link, const link_frame& frame)
    {
        if (frame.kind == link_frame_kind::ping) {
            acknowledge(link);
            return;
        }
        const link_peer peer = link.codec->peer();
        if (!received_.accept(peer.id, peer.run, frame.number)) {
            ++counts_.duplicates;
        }
        else if (callbacks_.on_frame) {
            callbacks_.on_frame(peer, frame.content);
        }
        ++link.unacknowledged;
        if (link.unacknowledged >= max_frames_per_acknowledgement) {
            acknowledge(link);
        }
        else if (!acknowledge_timer_.is_active()) {
            acknowledge_timer_.start(settings_.acknowledge_after);
        }
    }

    void acknowledge(incoming_link& link)
    {
        link.unacknowledged = 0;
        const link_peer peer = link.codec->peer();
        const std::uint64_t number = received_.received(peer.id, peer.run);
        send_control(*link.stream, *link.codec, {link_frame_kind::acknowledgement, number, {}});
    }

    void acknowledge_all()
    {
        for (auto& link : incoming_) {
            if (link.unacknowledged > 0) {
                acknowledge(link);
            }
        }
    }

    /// Closes incoming connections whose hello is overdue or that have been idle too long.
    void check_incoming(time_point now)
    {
        for (auto it = incoming_.begin(); it != incoming_.end();) {
            auto& link = *it++;
            const duration timeout = link.codec->is_open()
                                         ? settings_.idle_timeout + settings_.give_up_after
                                         : settings_.connect_timeout;
            if (now - link.last_contact > timeout) {
                close_incoming(link);
            }
        }
    }

    void close_incoming(incoming_link& link)
    {
        close_stream(link.stream);
        closed_.splice(closed_.end(), incoming_, link.self);
        loop_->post([this] { closed_.clear(); });
    }

    /// Closes a stream and defers its destruction, since this may run in one of its callbacks.
    void close_stream(std::unique_ptr<tcp_stream>& stream)
    {
        if (stream == nullptr) {
            return;
        }
        stream->close();
        loop_->post([dropped = std::shared_ptr<tcp_stream>{std::move(stream)}] {});
    }

    event_loop* loop_;
    peer_transport_settings settings_;
    std::function<Codec()> make_codec_;
    peer_transport_callbacks callbacks_;
    random_source random_;
    std::map<endpoint, outgoing_link> outgoing_;
    std::list<incoming_link> incoming_;
    std::list<incoming_link> closed_; ///< Destroyed in a posted call, outside of their callbacks.
    ReceiveWindow received_;
    peer_transport_counts counts_;
    tcp_listener listener_;
    timer check_timer_;
    timer acknowledge_timer_;
    time_point last_check_;
};

} // namespace endivelatch
