#include "request_server_connection.hpp"

#include "endivelatch/http1/message_writer.hpp"

#include <utility>
#include <vector>

/// Members of request_server that bound what callers hold and how long they take.
namespace endivelatch {

namespace {

/// Interval between searches for requests that may yield, after one that found none.
constexpr duration search_interval{100'000};

/// Returns the status that tells the caller, or zero if the connection is just closed.
int status_of(connection_refusal reason)
{
    switch (reason) {
    case connection_refusal::malformed:
        return 400;
    case connection_refusal::head_too_large:
        return 431;
    case connection_refusal::body_too_large:
        return 413;
    case connection_refusal::slow_head:
    case connection_refusal::slow_body:
        return 408;
    case connection_refusal::no_memory:
        return 503;
    case connection_refusal::no_descriptor:
    case connection_refusal::reader_stalled:
        break;
    }
    return 0;
}

} // namespace

std::string_view to_string(connection_refusal refusal)
{
    switch (refusal) {
    case connection_refusal::malformed:
        return "malformed";
    case connection_refusal::head_too_large:
        return "head_too_large";
    case connection_refusal::body_too_large:
        return "body_too_large";
    case connection_refusal::slow_head:
        return "slow_head";
    case connection_refusal::slow_body:
        return "slow_body";
    case connection_refusal::no_memory:
        return "no_memory";
    case connection_refusal::no_descriptor:
        return "no_descriptor";
    case connection_refusal::reader_stalled:
        return "reader_stalled";
    }
    return "unknown";
}

connection_state request_server::state_of(const connection& conn)
{
    if (conn.is_refused) {
        return connection_state::idle;
    }
    if (conn.is_busy || conn.closes_when_written || conn.stream->unsent() > 0 ||
        !conn.pending.empty()) {
        return connection_state::answering;
    }
    if (conn.reader.has_head()) {
        return connection_state::receiving_body;
    }
    return conn.reader.has_started() ? connection_state::receiving_head : connection_state::idle;
}

/// Counts what the connection's requests take now; returns false if there is no room for it.
bool request_server::hold(connection& conn)
{
    const auto current = conn.is_busy ? conn.request_held : conn.reader.held();
    const auto wanted = current + conn.pending.size();
    if (wanted <= conn.held) {
        release(conn, wanted);
        return true;
    }
    const auto bytes = wanted - conn.held;
    if (!budget_->try_hold(request_use_, conn.held, bytes) && !find_memory(conn, bytes)) {
        return false;
    }
    conn.held = wanted;
    return true;
}

/// Refuses requests that are received too slowly until there is room.
bool request_server::find_memory(const connection& conn, std::size_t bytes)
{
    const auto now = loop_->now();
    if (now < next_search_) {
        return false;
    }
    std::vector<incoming_request> incoming;
    for (const auto& [number, it] : connections_) {
        const auto state = state_of(*it);
        const bool is_receiving =
            state == connection_state::receiving_head || state == connection_state::receiving_body;
        if (is_receiving && it->number != conn.number && it->held > 0) {
            incoming.push_back({number, it->held, it->reader.payload(), it->last_activity});
        }
    }
    while (const auto chosen = choose_yielding(incoming, now)) {
        reject(*connections_.at(*chosen), connection_refusal::no_memory);
        if (budget_->try_hold(request_use_, conn.held, bytes)) {
            return true;
        }
        std::erase_if(incoming, [&](const auto& it) { return it.connection == *chosen; });
    }
    next_search_ = now + search_interval;
    return false;
}

/// Reduces what the connection's requests count as to `kept` bytes.
void request_server::release(connection& conn, std::size_t kept)
{
    if (kept < conn.held) {
        budget_->release(request_use_, conn.held - kept);
        conn.held = kept;
    }
}

/// Counts the unsent bytes of the connection's answers.
void request_server::count_unsent(connection& conn)
{
    const auto unsent = conn.stream->unsent();
    if (unsent > conn.unsent) {
        budget_->hold(answer_use_, unsent - conn.unsent);
    }
    else {
        budget_->release(answer_use_, conn.unsent - unsent);
    }
    conn.unsent = unsent;
}

void request_server::count_refusal(connection_refusal reason)
{
    ++refused_[static_cast<std::size_t>(reason)];
}

void request_server::reject_unreadable(connection& conn)
{
    switch (conn.reader.error()) {
    case request_parse_error::head_too_large:
        reject(conn, connection_refusal::head_too_large);
        return;
    case request_parse_error::body_too_large:
        reject(conn, connection_refusal::body_too_large);
        return;
    case request_parse_error::none:
    case request_parse_error::malformed:
        break;
    }
    reject(conn, connection_refusal::malformed);
}

/// Answers a request that was not passed on, and discards the rest of it.
void request_server::reject(connection& conn, connection_refusal reason)
{
    count_refusal(reason);
    auto& out = conn.stream->out();
    append_status_line(out, status_of(reason));
    if (reason == connection_refusal::no_memory) {
        append_header(out, "Retry-After", no_memory_retry_after);
    }
    out += "Content-Length: 0\r\nConnection: close\r\n\r\n";
    std::string{}.swap(conn.pending);
    conn.reader = request_reader{limits_.sizes};
    release(conn, 0);
    conn.is_refused = true;
    conn.last_activity = loop_->now();
    conn.stream->flush_soon();
}

/// Counts bytes that arrived after a refusal; closes the connection when there are too many.
void request_server::discard(connection& conn, std::size_t bytes)
{
    conn.discarded += bytes;
    if (conn.discarded > limits_.sizes.body + max_discarded_overhead) {
        drop(conn);
    }
}

/// Returns whether the caller has taken nothing of its answer for too long.
bool request_server::has_stalled(connection& conn, time_point now)
{
    const auto& stream = *conn.stream;
    const auto stalled = conn.reading.stalled_for(stream.unsent(), stream.written(), now);
    const bool is_tight = budget_->is_used_up(answer_use_);
    return stalled >= (is_tight ? short_reader_stall_limit : reader_stall_limit);
}

void request_server::expire()
{
    expiry_.start(expiry_interval);
    const auto now = loop_->now();
    std::vector<std::uint64_t> numbers;
    numbers.reserve(connections_.size());
    for (const auto& [number, conn] : connections_) {
        numbers.push_back(number);
    }
    for (const auto number : numbers) {
        // Closing one connection may have closed others.
        const auto found = connections_.find(number);
        if (found != connections_.end()) {
            expire(*found->second, now);
        }
    }
}

void request_server::expire(connection& conn, time_point now)
{
    count_unsent(conn);
    if (conn.is_refused) {
        if (now - conn.last_activity > discard_time) {
            drop(conn);
        }
        return;
    }
    if (has_stalled(conn, now)) {
        count_refusal(connection_refusal::reader_stalled);
        on_closed(conn);
        return;
    }
    switch (state_of(conn)) {
    case connection_state::answering:
        conn.last_activity = now; // The idle time starts when the answer has been taken.
        return;
    case connection_state::idle:
        if (now - conn.last_activity > limits_.idle_timeout) {
            drop(conn);
        }
        return;
    case connection_state::receiving_head:
        if (now - conn.last_activity > limits_.header_timeout) {
            reject(conn, connection_refusal::slow_head);
        }
        return;
    case connection_state::receiving_body:
        if (conn.body.is_too_slow(conn.reader.payload(), now)) {
            reject(conn, connection_refusal::slow_body);
        }
        return;
    }
}

} // namespace endivelatch
