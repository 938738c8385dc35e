#include "endivelatch/entry/request_server.hpp"

#include "endivelatch/http1/message_writer.hpp"

#include <utility>
#include <vector>

namespace endivelatch {

/// One caller's connection.
struct request_server::connection {
    connection(std::uint64_t n, request_limits sizes) : number{n}, reader{sizes} {}

    std::uint64_t number;
    std::unique_ptr<tcp_stream> stream;
    request_reader reader;
    std::string pending; ///< Bytes received after the request being answered.
    exchange_number exchange;
    bool is_busy = false;     ///< A request waits for the end of its answer.
    bool keeps_alive = true;  ///< Takes another request after this answer.
    bool is_chunked = false;  ///< The answer is sent in chunks.
    bool has_no_body = false; ///< The answer has no body, as for HEAD.
    bool is_ending = false;   ///< Closes as soon as all is written.
    time_point active_at{};   ///< Last request begun or answer ended.
};

request_server::request_server(event_loop& loop, request_server_callbacks callbacks)
    : loop_{&loop}, callbacks_{std::move(callbacks)}, expiry_{loop, [this] { expire(); }}
{
}

request_server::~request_server() = default;

findings request_server::start(const endpoint& where)
{
    listener_ = std::make_unique<tcp_listener>(*loop_, [this](int fd) { accept(fd); });
    auto faults = listener_->start(where);
    address_ = listener_->listening();
    expiry_.start(expiry_interval);
    return faults;
}

void request_server::stop_listening()
{
    listener_.reset();
}

void request_server::set_limits(const request_server_limits& limits)
{
    limits_ = limits;
    for (auto& [number, it] : connections_) {
        it->reader.set_limits(limits.sizes);
    }
}

void request_server::accept(int fd)
{
    const auto number = ++last_connection_;
    auto made = std::make_unique<connection>(number, limits_.sizes);
    auto& it = *made;
    connections_.emplace(number, std::move(made));
    it.active_at = loop_->now();
    it.stream = std::make_unique<tcp_stream>(
        *loop_, fd,
        tcp_stream_callbacks{{},
                             [this, &it](std::string_view bytes) { on_data(it, bytes); },
                             [this, &it] { on_written(it); },
                             [this, &it](const std::string&) { on_closed(it); }});
    it.stream->set_unresponsive_timeout(silence_limit);
}

void request_server::on_data(connection& it, std::string_view bytes)
{
    if (it.is_ending) {
        return;
    }
    it.pending.append(bytes);
    if (!it.is_busy) {
        read_requests(it);
    }
    if (it.is_busy && it.pending.size() > most_pending_bytes) {
        it.stream->pause_reading(true);
    }
}

void request_server::read_requests(connection& it)
{
    if (!it.reader.has_started() && !it.pending.empty()) {
        it.active_at = loop_->now();
    }
    it.pending.erase(0, it.reader.feed(it.pending));
    if (it.reader.error() != request_parse_error::none) {
        reject(it);
        return;
    }
    if (!it.reader.is_complete()) {
        return;
    }
    auto head = it.reader.head();
    auto body = it.reader.take_body();
    it.reader.next();
    it.is_busy = true;
    it.keeps_alive = head.keeps_alive;
    it.has_no_body = head.method == "HEAD";
    it.exchange = exchange_number{++last_exchange_};
    exchanges_.emplace(it.exchange, &it);
    callbacks_.on_request(it.exchange, std::move(head), std::move(body));
}

void request_server::reject(connection& it)
{
    int status = 400;
    if (it.reader.error() == request_parse_error::head_too_large) {
        status = 431;
    }
    else if (it.reader.error() == request_parse_error::body_too_large) {
        status = 413;
    }
    auto& out = it.stream->out();
    append_status_line(out, status);
    out += "Content-Length: 0\r\nConnection: close\r\n\r\n";
    it.pending.clear();
    close_after_writing(it);
}

void request_server::close_after_writing(connection& it)
{
    it.is_ending = true;
    if (it.stream->out().empty()) {
        drop(it);
        return;
    }
    it.stream->flush_soon();
}

void request_server::on_written(connection& it)
{
    if (it.is_ending) {
        drop(it);
    }
    else if (it.is_busy && callbacks_.on_drained) {
        callbacks_.on_drained(it.exchange);
    }
}

void request_server::on_closed(connection& it)
{
    if (it.is_busy) {
        exchanges_.erase(it.exchange);
        callbacks_.on_closed(it.exchange);
    }
    drop(it);
}

void request_server::drop(connection& it)
{
    if (it.is_busy) {
        exchanges_.erase(it.exchange);
    }
    it.stream->close();
    const auto found = connections_.find(it.number);
    // The stream may be running one of its callbacks.
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
    auto* it = find(id);
    if (it == nullptr) {
        return;
    }
    auto& out = it->stream->out();
    append_status_line(out, status);
    append_headers(out, headers);
    it->is_chunked = !length;
    if (length) {
        append_header(out, "Content-Length", std::to_string(*length));
    }
    else {
        append_header(out, "Transfer-Encoding", "chunked");
    }
    it->keeps_alive = it->keeps_alive && !is_closing_;
    if (!it->keeps_alive) {
        append_header(out, "Connection", "close");
    }
    out += "\r\n";
    it->stream->flush_soon();
}

void request_server::write(exchange_number id, std::string_view bytes)
{
    auto* it = find(id);
    if (it == nullptr || it->has_no_body) {
        return;
    }
    if (it->is_chunked) {
        append_chunk(it->stream->out(), bytes);
    }
    else {
        it->stream->out().append(bytes);
    }
    it->stream->flush_soon();
}

void request_server::finish(exchange_number id)
{
    auto* it = find(id);
    if (it == nullptr) {
        return;
    }
    if (it->is_chunked && !it->has_no_body) {
        it->stream->out().append(last_chunk);
    }
    exchanges_.erase(id);
    it->is_busy = false;
    it->active_at = loop_->now();
    it->stream->pause_reading(false);
    if (!it->keeps_alive) {
        close_after_writing(*it);
        return;
    }
    it->stream->flush_soon();
    if (!it->pending.empty()) {
        const auto number = it->number;
        loop_->post([this, number] {
            const auto found = connections_.find(number);
            if (found != connections_.end() && !found->second->is_busy) {
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
    auto* it = find(id);
    if (it != nullptr) {
        drop(*it);
    }
}

std::size_t request_server::unsent(exchange_number id)
{
    auto* it = find(id);
    return it == nullptr ? 0 : it->stream->out().size();
}

void request_server::close_connections()
{
    is_closing_ = true;
    std::vector<connection*> idle;
    for (const auto& [number, it] : connections_) {
        if (!it->is_busy && !it->reader.has_started() && it->pending.empty()) {
            idle.push_back(it.get());
        }
    }
    for (auto* it : idle) {
        drop(*it);
    }
}

void request_server::expire()
{
    expiry_.start(expiry_interval);
    const auto now = loop_->now();
    std::vector<connection*> expired;
    for (const auto& [number, it] : connections_) {
        if (it->is_busy) {
            continue;
        }
        const auto limit = it->reader.has_started() ? limits_.head_timeout : limits_.idle_timeout;
        if (now - it->active_at > limit) {
            expired.push_back(it.get());
        }
    }
    for (auto* it : expired) {
        drop(*it);
    }
}

} // namespace endivelatch
