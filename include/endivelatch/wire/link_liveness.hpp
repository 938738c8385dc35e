#pragma once

#include "endivelatch/base/hash.hpp"
#include "endivelatch/base/strong_id.hpp"
#include "endivelatch/base/time.hpp"
#include "endivelatch/wire/message.hpp"

#include <chrono>
#include <cstdint>
#include <optional>
#include <variant>
#include <vector>

/// Failure detection and reconnection for the link to a peer.
namespace endivelatch {

/// Sequence number of a connection within its link.
using connection_number = number_id<struct connection_number_tag>;

/// Intervals and timeouts of a link.
struct link_settings {
    duration heartbeat_interval{std::chrono::milliseconds{500}};
    /// Time without a message after which a second connection is opened.
    duration receive_timeout{std::chrono::milliseconds{1'500}};
    /// Time from opening a connection to its first message.
    duration connect_timeout{std::chrono::seconds{2}};
    duration first_backoff{std::chrono::milliseconds{100}};
    duration max_backoff{std::chrono::seconds{5}};
    /// Time without a message after which the link is reported as lost.
    duration lost_timeout{std::chrono::seconds{5}};
};

/// Instructs the caller to open a connection with this number to the peer.
struct open_connection {
    connection_number connection;
};

/// Instructs the caller to close the connection and to ignore what still arrives on it.
struct drop_connection {
    connection_number connection;
};

/// Instructs the caller to send the heartbeat on the connection.
struct send_heartbeat {
    connection_number connection;
    heartbeat message;
};

/// Instructs the caller to send on this connection from now on, and to resend what was not
/// acknowledged on the previous one.
struct use_connection {
    connection_number connection;
};

/// Reports that no connection delivers messages. Reported once, until the next `use_connection`.
struct link_lost {};

using link_effect =
    std::variant<open_connection, drop_connection, send_heartbeat, use_connection, link_lost>;
using link_effects = std::vector<link_effect>;

/// Monitors the link from this router to one peer and replaces failed connections.
///
/// A connection becomes active when the first message arrives on it. If the active connection
/// stays silent, a candidate is opened beside it. The first of the two to deliver a message is
/// kept and the other one is closed.
class link_liveness {
public:
    /// Takes a seed for the jitter of the retry delay.
    link_liveness(const link_settings& settings, std::uint64_t seed)
        : settings_{settings}, random_{seed}
    {
    }

    /// Opens the first connection.
    link_effects start(time_point now);

    /// Handles an established connection.
    link_effects connected(connection_number connection, time_point now);

    /// Handles a connection that was refused, closed or lost.
    link_effects closed(connection_number connection, time_point now);

    /// Handles a message other than a heartbeat.
    link_effects received(connection_number connection, time_point now);

    /// Handles a heartbeat and replies to it unless it is a reply.
    link_effects received(connection_number connection, const heartbeat& message, time_point now);

    /// Handles all timers that are due.
    link_effects tick(time_point now);

    /// Returns the time at which `tick` has to be called next.
    time_point next_timer() const;

    /// Returns the active connection, if there is one.
    std::optional<connection_number> active() const;

private:
    /// State of one connection.
    struct connection_state {
        connection_number number;
        bool is_connected = false;
        time_point last_received;  ///< Time of the last message; initially that of opening.
        time_point next_heartbeat; ///< Valid once connected.
    };

    void on_message_received(connection_number connection, time_point now);
    void open_candidate(time_point now);
    void schedule_retry(time_point now);
    void drop_if_open(std::optional<connection_state>& it);
    void queue_heartbeat(connection_state& it, time_point now);
    void check_active(time_point now);
    void check_candidate(time_point now);
    void restart_timeouts_after_pause(time_point now);
    connection_state* find(connection_number connection);
    link_effects take_effects();

    link_settings settings_;
    random_source random_;
    std::optional<connection_state> active_;
    std::optional<connection_state> candidate_;
    std::optional<time_point> retry_at_;
    duration backoff_{};
    time_point last_received_{};
    bool is_lost_ = false;
    connection_number last_number_;
    std::uint64_t sequence_ = 0;
    link_effects effects_;
};

} // namespace endivelatch
