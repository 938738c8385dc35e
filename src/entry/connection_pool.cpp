#include "endivelatch/entry/connection_pool.hpp"

#include <algorithm>
#include <charconv>
#include <utility>

namespace endivelatch {

namespace {

/// Returns the `timeout` parameter of the `Keep-Alive` header.
std::optional<duration> keep_alive_timeout(const http_headers& headers)
{
    constexpr std::string_view name = "timeout=";
    const auto* value = find_header_ignoring_case(headers, "keep-alive");
    if (value == nullptr) {
        return std::nullopt;
    }
    for (const auto part : split_list(*value)) {
        std::int64_t seconds = 0;
        if (part.starts_with(name) &&
            std::from_chars(part.data() + name.size(), part.data() + part.size(), seconds).ec ==
                std::errc{}) {
            return std::chrono::seconds{seconds};
        }
    }
    return std::nullopt;
}

duration fraction_of(duration total, double fraction)
{
    return std::chrono::duration_cast<duration>(total * fraction);
}

} // namespace

/// One connection to a target.
struct connection_pool::connection {
    std::uint64_t number = 0;
    endpoint to;
    std::unique_ptr<tcp_stream> stream;
    std::unique_ptr<response_reader> reader;
    outgoing_id request;
    bool is_busy = false;
    bool is_connected = false;      ///< The TCP connection is established.
    bool has_answer_bytes = false;  ///< Bytes of the answer were received.
    bool is_skipping = false;       ///< The current answer belongs to another request.
    bool is_reusable = false;       ///< The connection can be kept after this answer.
    bool is_desynchronised = false; ///< An answer to another request was received.
    int skipped_answers = 0;        ///< Answers to other requests, since the request was sent.
    duration idle_time{default_idle_time};
    time_point idle_since{};
    time_point deadline{}; ///< Of connecting, then of the answer; zero for none.
    duration timeout{};
    std::uint64_t body_size = 0; ///< Bytes of the current answer's body so far.
    std::uint64_t max_body_size = 0;
};

connection_pool::connection_pool(event_loop& loop, connection_pool_callbacks callbacks)
    : loop_{&loop}, callbacks_{std::move(callbacks)}, expiry_{loop, [this] { expire(); }}
{
    schedule_expiry(loop.now() + expiry_interval);
}

connection_pool::~connection_pool() = default;

outgoing_id connection_pool::send(outgoing_request&& request)
{
    auto* idle = take_idle(request);
    auto& conn = idle == nullptr ? open(request.to) : *idle;
    start(conn, std::move(request));
    return conn.request;
}

connection_pool::connection* connection_pool::take_idle(const outgoing_request& request)
{
    const auto found = idle_.find(request.to);
    if (found == idle_.end()) {
        return nullptr;
    }
    auto& idle = found->second;
    const auto usable_fraction =
        request.is_idempotent ? idle_time_fraction : non_idempotent_idle_time_fraction;
    auto* const last = idle.empty() ? nullptr : idle.back();
    if (last == nullptr ||
        loop_->now() - last->idle_since > fraction_of(last->idle_time, usable_fraction)) {
        return nullptr;
    }
    idle.pop_back();
    return last;
}

connection_pool::connection& connection_pool::open(const endpoint& to)
{
    if (max_connections_ > 0 && connections_.size() >= max_connections_) {
        close_longest_idle();
    }
    auto created = std::make_unique<connection>();
    auto& conn = *created;
    conn.number = ++last_connection_;
    conn.to = to;
    connections_.emplace(conn.number, std::move(created));
    conn.reader = std::make_unique<response_reader>(
        response_callbacks{[this, &conn](response_head&& head) { on_head(conn, std::move(head)); },
                           [this, &conn](std::string_view bytes) {
                               conn.body_size += bytes.size();
                               if (!conn.is_skipping && conn.is_busy) {
                                   callbacks_.on_body(conn.request, bytes);
                               }
                           },
                           [this, &conn] { on_complete(conn); }});
    conn.stream = std::make_unique<tcp_stream>(
        *loop_, to,
        tcp_stream_callbacks{
            [this, &conn] {
                conn.is_connected = true;
                set_answer_deadline(conn);
            },
            [this, &conn](std::string_view bytes) { on_data(conn, bytes); },
            {},
            [this, &conn](const std::string& reason) { on_stream_closed(conn, reason); }});
    conn.stream->set_unresponsive_timeout(silence_limit);
    conn.stream->limit_reads(read_limit_);
    ++opened_;
    return conn;
}

void connection_pool::start(connection& conn, outgoing_request&& request)
{
    conn.request = outgoing_id{++last_request_};
    conn.is_busy = true;
    conn.has_answer_bytes = false;
    conn.is_skipping = false;
    conn.is_reusable = false;
    conn.timeout = request.timeout;
    conn.body_size = 0;
    conn.skipped_answers = 0;
    conn.max_body_size = request.max_body_size;
    set_answer_deadline(conn);
    if (!conn.is_connected) {
        conn.deadline = loop_->now() + connect_timeout;
        schedule_expiry(conn.deadline);
    }
    conn.reader->next(request.is_head);
    requests_.emplace(conn.request, &conn);
    conn.stream->out() = std::move(request.bytes);
    if (request.body != nullptr) {
        conn.stream->send_after_out(std::move(request.body));
    }
    conn.stream->flush_soon();
}

void connection_pool::close_longest_idle()
{
    connection* longest = nullptr;
    for (const auto& [to, connections] : idle_) {
        auto* const first = connections.empty() ? nullptr : connections.front();
        if (first != nullptr && (longest == nullptr || first->idle_since < longest->idle_since)) {
            longest = first;
        }
    }
    if (longest != nullptr) {
        drop(*longest);
    }
}

void connection_pool::set_answer_deadline(connection& conn)
{
    conn.deadline = conn.timeout == duration{} ? time_point{} : loop_->now() + conn.timeout;
}

void connection_pool::on_data(connection& conn, std::string_view bytes)
{
    if (!conn.is_busy) {
        drop(conn); // Unsolicited bytes.
        return;
    }
    conn.has_answer_bytes = true;
    const auto number = conn.number;
    while (!bytes.empty()) {
        bytes.remove_prefix(conn.reader->feed(bytes));
        if (!connections_.contains(number)) {
            return; // Cancelled by a callback; drop() defers the destruction of the connection.
        }
        if (conn.reader->has_failed()) {
            fail(conn, "the answer is not HTTP");
            return;
        }
        if (conn.is_busy && conn.max_body_size > 0 && conn.body_size > conn.max_body_size) {
            fail(conn, "the answer is too large");
            return;
        }
        if (conn.is_skipping &&
            (conn.skipped_answers > max_skipped_answers || conn.body_size > max_skipped_bytes)) {
            fail(conn, "answers to other requests without end");
            return;
        }
        if (!conn.reader->is_complete()) {
            return;
        }
        if (conn.is_skipping) {
            conn.is_skipping = false;
            conn.reader->next(false);
            continue;
        }
        // Surplus bytes belong to no request, so the connection is not reused.
        conn.is_reusable = conn.is_reusable && bytes.empty();
        release(conn);
        return;
    }
}

void connection_pool::on_head(connection& conn, response_head&& head)
{
    conn.is_reusable = head.keeps_alive && !head.is_close_delimited && !conn.is_desynchronised;
    conn.idle_time = keep_alive_timeout(head.headers).value_or(default_idle_time);
    if (head.is_close_delimited) {
        conn.stream->confirm_end_by_delivery();
    }
    if (conn.is_busy) {
        callbacks_.on_head(conn.request, std::move(head));
    }
}

void connection_pool::on_complete(connection& conn)
{
    if (conn.is_skipping || !conn.is_busy) {
        return;
    }
    conn.is_busy = false;
    requests_.erase(conn.request);
    callbacks_.on_complete(conn.request);
}

void connection_pool::release(connection& conn)
{
    // A target that answers before it has read the whole request still expects the rest.
    if (!conn.is_reusable || conn.stream->unsent() > 0 || !conn.stream->is_open()) {
        drop(conn);
        return;
    }
    conn.stream->pause_reading(false); // Paused for a caller that read the answer slowly.
    conn.deadline = time_point{};
    conn.idle_since = loop_->now();
    idle_[conn.to].push_back(&conn);
}

void connection_pool::on_stream_closed(connection& conn, const std::string& reason)
{
    if (conn.is_busy && conn.has_answer_bytes && conn.stream->has_received_eof() &&
        !conn.is_skipping) {
        const auto number = conn.number;
        conn.reader->end_of_input();
        if (!connections_.contains(number)) {
            return;
        }
    }
    if (!conn.is_busy) {
        drop(conn);
        return;
    }
    fail(conn, reason);
}

void connection_pool::fail(connection& conn, const std::string& reason)
{
    const auto id = conn.request;
    auto stage = attempt_stage::sent;
    if (!conn.is_connected) {
        stage = attempt_stage::not_sent;
    }
    else if (conn.has_answer_bytes) {
        stage = attempt_stage::answering;
    }
    const bool is_closed_by_peer = conn.stream->was_closed_by_peer();
    drop(conn);
    callbacks_.on_failed(id, {stage, reason, is_closed_by_peer});
}

void connection_pool::drop(connection& conn)
{
    if (conn.is_busy) {
        requests_.erase(conn.request);
        conn.is_busy = false;
    }
    const auto found = idle_.find(conn.to);
    if (found != idle_.end()) {
        std::erase(found->second, &conn);
        if (found->second.empty()) {
            idle_.erase(found);
        }
    }
    conn.stream->close();
    const auto found_connection = connections_.find(conn.number);
    if (found_connection == connections_.end()) {
        return; // Dropped before.
    }
    // Destroyed later, since the caller may be a callback of the stream.
    loop_->post([dropped = std::shared_ptr<connection>{std::move(found_connection->second)}] {});
    connections_.erase(found_connection);
}

void connection_pool::cancel(outgoing_id id)
{
    const auto it = requests_.find(id);
    if (it != requests_.end()) {
        drop(*it->second);
    }
}

void connection_pool::skip_answer(outgoing_id id)
{
    const auto it = requests_.find(id);
    if (it != requests_.end()) {
        it->second->is_skipping = true;
        it->second->is_desynchronised = true;
        ++it->second->skipped_answers;
    }
}

void connection_pool::pause_reading(outgoing_id id, bool is_paused)
{
    const auto it = requests_.find(id);
    if (it != requests_.end()) {
        it->second->stream->pause_reading(is_paused);
    }
}

void connection_pool::close_idle_except(const std::set<endpoint>& addresses)
{
    std::vector<connection*> to_close;
    for (const auto& [to, connections] : idle_) {
        if (!addresses.contains(to)) {
            to_close.insert(to_close.end(), connections.begin(), connections.end());
        }
    }
    for (auto* conn : to_close) {
        drop(*conn);
    }
}

void connection_pool::schedule_expiry(time_point when)
{
    if (expiry_.is_active() && next_expiry_ <= when) {
        return;
    }
    next_expiry_ = when;
    expiry_.start(std::max(when - loop_->now(), duration{}));
}

void connection_pool::expire()
{
    const auto now = loop_->now();
    schedule_expiry(now + expiry_interval);
    std::vector<connection*> idle;
    std::vector<std::uint64_t> timed_out;
    for (const auto& [number, conn] : connections_) {
        if (!conn->is_busy &&
            now - conn->idle_since > fraction_of(conn->idle_time, idle_time_fraction)) {
            idle.push_back(conn.get());
        }
        if (conn->is_busy && conn->deadline != time_point{}) {
            if (now >= conn->deadline) {
                timed_out.push_back(number);
            }
            else {
                schedule_expiry(conn->deadline);
            }
        }
    }
    for (auto* conn : idle) {
        drop(*conn);
    }
    for (const auto number : timed_out) {
        // The callback of one failure may have cancelled another request that timed out.
        const auto found = connections_.find(number);
        if (found != connections_.end()) {
            auto& conn = *found->second;
            fail(conn, conn.is_connected ? "timed out" : "connecting timed out");
        }
    }
}

} // namespace endivelatch
