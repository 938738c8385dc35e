#include "endivelatch/entry/request_server.hpp"

#include "endivelatch/http1/message_writer.hpp"

#include <algorithm>
#include <utility>
#include <vector>

namespace endivelatch {

/// A connection of a client.
struct request_server::connection {
    connection(std::uint64_t n, request_limits sizes) : number{n}, reader{sizes} {}

    std::uint64_t number;
    std::unique_ptr<tcp_stream> stream;
    request_reader reader;
    std::string pending; ///< Received bytes that are not parsed yet.
    exchange_number exchange;
    bool is_busy = false;             ///< A request has no complete answer yet.
    bool keeps_alive = true;          ///< Accepts another request after this answer.
    bool is_chunked = false;          ///< The answer uses the chunked transfer coding.
    bool has_no_body = false;         ///< The answer has no body, as for HEAD.
    bool closes_when_written = false; ///< Closes once all bytes are written.
    time_point last_activity{};       ///< Start of the last request or end of the last answer.
};

request_server::request_server(event_loop& loop, request_server_callbacks callbacks)
    : loop_{&loop}, callbacks_{std::move(callbacks)}, expiry_{loop, [this] { expire(); }}
{
}

request_server::~request_server() = default;

findings request_server::start(const endpoint& address)
{
    listener_ = std::make_unique<tcp_listener>(*loop_, [this](int fd) { accept(fd); });
    auto errors = listener_->start(address);
    address_ = listener_->listening();
    expiry_.start(expiry_interval);
    return errors;
}

void request_server::stop_listening()
{
    listener_.reset();
}

void request_server::set_limits(const request_server_limits& limits)
{
    limits_ = limits;
    for (auto& [number, conn] : connections_) {
        conn->reader.set_limits(limits.sizes);
    }
}

void request_server::accept(int fd)
{
    const auto number = ++last_connection_;
    auto created = std::make_unique<connection>(number, limits_.sizes);
    auto& conn = *created;
    connections_.emplace(number, std::move(created));
    conn.last_activity = loop_->now();
    conn.stream = std::make_unique<tcp_stream>(
        *loop_, fd,
        tcp_stream_callbacks{{},
                             [this, &conn](std::string_view bytes) { on_data(conn, bytes); },
                             [this, &conn] { on_written(conn); },
                             [this, &conn](const std::string&) { on_closed(conn); }});
    conn.stream->set_unresponsive_timeout(silence_limit);
}

void request_server::on_data(connection& conn, std::string_view bytes)
{
    if (conn.closes_when_written) {
        return;
    }
    conn.pending.append(bytes);
    if (!conn.is_busy) {
        read_requests(conn);
    }
    if (conn.is_busy && conn.pending.size() > max_pending_bytes) {
        conn.stream->pause_reading(true);
    }
}

void request_server::read_requests(connection& conn)
{
    if (!conn.reader.has_started() && !conn.pending.empty()) {
        conn.last_activity = loop_->now();
    }
    conn.pending.erase(0, conn.reader.feed(conn.pending));
    if (conn.reader.error() != request_parse_error::none) {
        reject(conn);
        return;
    }
    if (!conn.reader.is_complete()) {
        return;
    }
    auto head = conn.reader.head();
    auto body = conn.reader.take_body();
    conn.reader.next();
    conn.is_busy = true;
    conn.keeps_alive = head.keeps_alive;
    conn.has_no_body = head.method == "HEAD";
    conn.exchange = exchange_number{++last_exchange_};
    exchanges_.emplace(conn.exchange, &conn);
    callbacks_.on_request(conn.exchange, std::move(head), std::move(body));
}

void request_server::reject(connection& conn)
{
    int status = 400;
    if (conn.reader.error() == request_parse_error::head_too_large) {
        status = 431;
    }
    else if (conn.reader.error() == request_parse_error::body_too_large) {
        status = 413;
    }
    auto& out = conn.stream->out();
    append_status_line(out, status);
    out += "Content-Length: 0\r\nConnection: close\r\n\r\n";
    conn.pending.clear();
    close_after_writing(conn);
}

void request_server::close_after_writing(connection& conn)
{
    conn.closes_when_written = true;
    if (conn.stream->out().empty()) {
        drop(conn);
        return;
    }
    conn.stream->flush_soon();
}

void request_server::on_written(connection& conn)
{
    if (conn.closes_when_written) {
        drop(conn);
    }
    else if (conn.is_busy && callbacks_.on_drained) {
        callbacks_.on_drained(conn.exchange);
    }
}

void request_server::on_closed(connection& conn)
{
    if (conn.is_busy) {
        exchanges_.erase(conn.exchange);
        callbacks_.on_closed(conn.exchange);
    }
    drop(conn);
}

void request_server::drop(connection& conn)
{
    if (conn.is_busy) {
        exchanges_.erase(conn.exchange);
    }
    conn.stream->close();
    const auto found = connections_.find(conn.number);
    if (found == connections_.end()) {
        return; // Dropped before.
    }
    // Destroyed later, since the caller may be a callback of the stream.
    loop_->post([dropped = std::shared_ptr<connection>{std::move(found->second)}] {});
    connections_.erase(found);
}

request_server::connection* request_server::find(exchange_number id)
{
    const auto it = exchanges_.find(id);
    return it == exchanges_.end() ? nullptr : it->second;
}

void request_server::begin(exchange_number id, int status, const http_headers& headers,
                           std::optional<std::uint64_t> length)
{
    auto* conn = find(id);
    if (conn == nullptr) {
        return;
    }
    auto& out = conn->stream->out();
    append_status_line(out, status);
    append_headers(out, headers);
    conn->is_chunked = !length;
    if (length) {
        append_header(out, "Content-Length", std::to_string(*length));
    }
    else {
        append_header(out, "Transfer-Encoding", "chunked");
    }
    conn->keeps_alive = conn->keeps_alive && !(is_closing_ && conn->pending.empty());
    if (!conn->keeps_alive) {
        append_header(out, "Connection", "close");
    }
    out += "\r\n";
    conn->stream->flush_soon();
}

void request_server::write(exchange_number id, std::string_view bytes)
{
    auto* conn = find(id);
    if (conn == nullptr || conn->has_no_body) {
        return;
    }
    if (conn->is_chunked) {
        append_chunk(conn->stream->out(), bytes);
    }
    else {
        conn->stream->out().append(bytes);
    }
    conn->stream->flush_soon();
}

void request_server::finish(exchange_number id)
{
    auto* conn = find(id);
    if (conn == nullptr) {
        return;
    }
    if (conn->is_chunked && !conn->has_no_body) {
        conn->stream->out().append(last_chunk);
    }
    exchanges_.erase(id);
    conn->is_busy = false;
    conn->last_activity = loop_->now();
    conn->stream->pause_reading(false);
    if (!conn->keeps_alive) {
        close_after_writing(*conn);
        return;
    }
    conn->stream->flush_soon();
    if (!conn->pending.empty()) {
        const auto number = conn->number;
        loop_->post([this, number] {
            const auto found = connections_.find(number);
            if (found != connections_.end() && !found->second->is_busy &&
                !found->second->closes_when_written) {
                read_requests(*found->second);
            }
        });
    }
}

void request_server::respond(exchange_number id, int status, const http_headers& headers,
                             std::string_view body)
{
    begin(id, status, headers, body.size());
    if (!body.empty()) {
        write(id, body);
    }
    finish(id);
}

void request_server::abort(exchange_number id)
{
    auto* conn = find(id);
    if (conn != nullptr) {
        drop(*conn);
    }
}

std::size_t request_server::unsent_bytes(exchange_number id)
{
    auto* conn = find(id);
    return conn == nullptr ? 0 : conn->stream->out().size();
}

bool request_server::has_unfinished_work() const
{
    return std::any_of(connections_.begin(), connections_.end(), [](const auto& entry) {
        const auto& conn = *entry.second;
        return !conn.stream->out().empty() || !conn.pending.empty();
    });
}

void request_server::close_connections()
{
    is_closing_ = true;
    std::vector<connection*> idle;
    for (const auto& [number, conn] : connections_) {
        if (!conn->is_busy && !conn->reader.has_started() && conn->pending.empty()) {
            idle.push_back(conn.get());
        }
    }
    for (auto* conn : idle) {
        drop(*conn);
    }
}

void request_server::expire()
{
    expiry_.start(expiry_interval);
    const auto now = loop_->now();
    std::vector<connection*> expired;
    for (const auto& [number, conn] : connections_) {
        if (conn->is_busy) {
            continue;
        }
        const auto limit =
            conn->reader.has_started() ? limits_.request_timeout : limits_.idle_timeout;
        if (now - conn->last_activity > limit) {
            expired.push_back(conn.get());
        }
    }
    for (auto* conn : expired) {
        drop(*conn);
    }
}

} // namespace endivelatch
