#include "request_server_connection.hpp"

#include "endivelatch/http1/message_writer.hpp"

#include <algorithm>
#include <utility>
#include <vector>

#include <unistd.h>

namespace endivelatch {

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

void request_server::set_budget(memory_budget& budget, memory_use requests, memory_use answers)
{
    budget_ = &budget;
    request_use_ = requests;
    answer_use_ = answers;
}

void request_server::accept(int fd)
{
    if (!make_room_for_connection()) {
        ::close(fd);
        return;
    }
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

/// Returns whether another connection may be accepted; closes others if there are too many.
bool request_server::make_room_for_connection()
{
    const auto limit = limits_.max_connections;
    if (limit == 0 || connections_.size() < limit) {
        return true;
    }
    std::vector<open_connection> open;
    open.reserve(connections_.size());
    for (const auto& [number, conn] : connections_) {
        open.push_back({number, state_of(*conn), conn->last_activity});
    }
    for (const auto number : choose_connections_to_close(open, closed_together, loop_->now())) {
        count_refusal(connection_refusal::no_descriptor);
        drop(*connections_.at(number));
    }
    if (connections_.size() < limit) {
        return true;
    }
    count_refusal(connection_refusal::no_descriptor);
    return false;
}

void request_server::on_data(connection& conn, std::string_view bytes)
{
    if (conn.is_refused) {
        discard(conn, bytes.size());
        return;
    }
    if (conn.closes_when_written || conn.has_lost_input) {
        return;
    }
    if (conn.is_busy || !conn.pending.empty()) {
        keep_pending(conn, bytes);
        return;
    }
    receive(conn, bytes);
}

/// Keeps bytes of requests behind the current one.
void request_server::keep_pending(connection& conn, std::string_view bytes)
{
    conn.pending.append(bytes);
    if (!hold(conn)) {
        if (!conn.is_busy) {
            reject(conn, connection_refusal::no_memory);
            return;
        }
        // The current request is still answered; the connection is closed after that.
        count_refusal(connection_refusal::no_memory);
        conn.keeps_alive = false;
        conn.has_lost_input = true;
        std::string{}.swap(conn.pending);
    }
    if (conn.is_busy && conn.pending.size() > max_pending_bytes) {
        conn.stream->pause_reading(true);
    }
}

void request_server::receive(connection& conn, std::string_view bytes)
{
    const bool had_started = conn.reader.has_started();
    const bool had_head = conn.reader.has_head();
    const auto rest = bytes.substr(conn.reader.feed(bytes));
    if (!had_started && conn.reader.has_started()) {
        conn.last_activity = loop_->now();
    }
    if (conn.reader.error() != request_parse_error::none) {
        reject_unreadable(conn);
        return;
    }
    conn.pending = std::string{rest};
    if (!hold(conn)) {
        reject(conn, connection_refusal::no_memory);
        return;
    }
    if (conn.reader.is_complete()) {
        dispatch(conn);
        return;
    }
    if (!had_head && conn.reader.has_head()) {
        conn.body.start(loop_->now());
    }
}

void request_server::receive_pending(connection& conn)
{
    const auto bytes = std::exchange(conn.pending, {});
    receive(conn, bytes);
}

/// Passes a complete request on.
void request_server::dispatch(connection& conn)
{
    auto head = conn.reader.take_head();
    auto body = conn.reader.take_body();
    conn.reader.next();
    conn.request_held = conn.held - std::min(conn.held, conn.pending.size());
    conn.is_busy = true;
    conn.keeps_alive = head.keeps_alive;
    conn.has_no_body = head.method == "HEAD";
    conn.stream->limit_reads(pipelined_read_size);
    conn.exchange = exchange_number{++last_exchange_};
    exchanges_.emplace(conn.exchange, &conn);
    if (conn.pending.size() > max_pending_bytes) {
        conn.stream->pause_reading(true);
    }
    callbacks_.on_request(conn.exchange, std::move(head), std::move(body));
}

void request_server::close_after_writing(connection& conn)
{
    conn.closes_when_written = true;
    if (conn.stream->unsent() == 0) {
        drop(conn);
        return;
    }
    count_unsent(conn);
    conn.stream->flush_soon();
}

void request_server::on_written(connection& conn)
{
    count_unsent(conn);
    if (conn.is_refused) {
        conn.stream->shutdown_writing();
    }
    else if (conn.closes_when_written) {
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
        conn.is_busy = false;
        callbacks_.on_closed(conn.exchange);
    }
    drop(conn);
}

void request_server::drop(connection& conn)
{
    if (conn.is_busy) {
        exchanges_.erase(conn.exchange);
        conn.is_busy = false;
    }
    conn.stream->close();
    release(conn, 0);
    budget_->release(answer_use_, std::exchange(conn.unsent, 0));
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
    count_unsent(*conn);
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
    release(*conn, conn->pending.size());
    count_unsent(*conn);
    conn->stream->pause_reading(false);
    conn->stream->limit_reads(tcp_stream::max_read_size);
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
                receive_pending(*found->second);
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
    return conn == nullptr ? 0 : conn->stream->unsent();
}

bool request_server::has_unfinished_work() const
{
    return std::any_of(connections_.begin(), connections_.end(), [](const auto& entry) {
        const auto& conn = *entry.second;
        return conn.stream->unsent() > 0 || !conn.pending.empty();
    });
}

void request_server::close_connections()
{
    is_closing_ = true;
    std::vector<connection*> idle;
    for (const auto& [number, conn] : connections_) {
        if (state_of(*conn) == connection_state::idle && !conn->is_refused) {
            idle.push_back(conn.get());
        }
    }
    for (auto* conn : idle) {
        drop(*conn);
    }
}

} // namespace endivelatch
