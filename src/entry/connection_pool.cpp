#include "endivelatch/entry/connection_pool.hpp"

#include <algorithm>
#include <charconv>
#include <utility>

namespace endivelatch {

namespace {

/// Returns the idle time that a `Keep-Alive` header states.
std::optional<duration> stated_idle_time(const http_headers& headers)
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

duration share_of(duration whole, double share)
{
    return std::chrono::duration_cast<duration>(whole * share);
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
    bool is_open = false;     ///< Connected.
    bool has_begun = false;   ///< Bytes of an answer have come.
    bool is_skipping = false; ///< The answer being read belongs to another request.
    bool is_reusable = false; ///< The answer allows another request.
    bool has_strayed = false; ///< An answer to another request has come.
    duration idle_time{default_idle_time};
    time_point idle_since{};
    time_point deadline{}; ///< For connecting, then for the answer; zero for none.
    duration timeout{};
};

connection_pool::connection_pool(event_loop& loop, connection_pool_callbacks callbacks)
    : loop_{&loop}, callbacks_{std::move(callbacks)}, expiry_{loop, [this] { expire(); }}
{
    check_at(loop.now() + expiry_interval);
}

connection_pool::~connection_pool() = default;

outgoing_id connection_pool::send(outgoing_request&& request)
{
    auto* it = take_idle(request);
    auto& used = it == nullptr ? open(request.to) : *it;
    start(used, std::move(request));
    return used.request;
}

connection_pool::connection* connection_pool::take_idle(const outgoing_request& request)
{
    const auto found = idle_.find(request.to);
    if (found == idle_.end()) {
        return nullptr;
    }
    auto& idle = found->second;
    const auto use = request.is_idempotent ? idle_time_use : unsafe_idle_time_use;
    auto* const last = idle.empty() ? nullptr : idle.back();
    if (last == nullptr || loop_->now() - last->idle_since > share_of(last->idle_time, use)) {
        return nullptr;
    }
    idle.pop_back();
    return last;
}

connection_pool::connection& connection_pool::open(const endpoint& to)
{
    auto made = std::make_unique<connection>();
    auto& it = *made;
    it.number = ++last_number_;
    it.to = to;
    connections_.emplace(it.number, std::move(made));
    it.reader = std::make_unique<response_reader>(
        response_callbacks{[this, &it](response_head&& head) { on_head(it, std::move(head)); },
                           [this, &it](std::string_view bytes) {
                               if (!it.is_skipping && it.is_busy) {
                                   callbacks_.on_body(it.request, bytes);
                               }
                           },
                           [this, &it] { on_complete(it); }});
    it.stream = std::make_unique<tcp_stream>(
        *loop_, to,
        tcp_stream_callbacks{
            [this, &it] {
                it.is_open = true;
                set_answer_deadline(it);
            },
            [this, &it](std::string_view bytes) { on_data(it, bytes); },
            {},
            [this, &it](const std::string& reason) { on_stream_closed(it, reason); }});
    it.stream->set_unresponsive_timeout(silence_limit);
    ++opened_;
    return it;
}

void connection_pool::start(connection& it, outgoing_request&& request)
{
    it.request = outgoing_id{++last_request_};
    it.is_busy = true;
    it.has_begun = false;
    it.is_skipping = false;
    it.is_reusable = false;
    it.timeout = request.timeout;
    set_answer_deadline(it);
    if (!it.is_open) {
        it.deadline = loop_->now() + connect_timeout;
        check_at(it.deadline);
    }
    it.reader->next(request.is_head);
    requests_.emplace(it.request, &it);
    it.stream->out() = std::move(request.bytes);
    it.stream->flush_soon();
}

void connection_pool::set_answer_deadline(connection& it)
{
    it.deadline = it.timeout == duration{} ? time_point{} : loop_->now() + it.timeout;
}

void connection_pool::on_data(connection& it, std::string_view bytes)
{
    if (!it.is_busy) {
        drop(it); // Nobody waits for these bytes.
        return;
    }
    it.has_begun = true;
    const auto number = it.number;
    while (!bytes.empty()) {
        bytes.remove_prefix(it.reader->feed(bytes));
        if (!connections_.contains(number)) {
            return; // Cancelled meanwhile; the connection is kept until the loop goes on.
        }
        if (it.reader->has_failed()) {
            broken(it, "the answer is not HTTP");
            return;
        }
        if (!it.reader->is_complete()) {
            return;
        }
        if (it.is_skipping) {
            it.is_skipping = false;
            it.reader->next(false);
            continue;
        }
        // Bytes after the answer belong to no request.
        it.is_reusable = it.is_reusable && bytes.empty();
        release(it);
        return;
    }
}

void connection_pool::on_head(connection& it, response_head&& head)
{
    it.is_reusable = head.keeps_alive && !head.is_close_delimited && !it.has_strayed;
    it.idle_time = stated_idle_time(head.headers).value_or(default_idle_time);
    if (it.is_busy) {
        callbacks_.on_head(it.request, std::move(head));
    }
}

void connection_pool::on_complete(connection& it)
{
    if (it.is_skipping || !it.is_busy) {
        return;
    }
    it.is_busy = false;
    requests_.erase(it.request);
    callbacks_.on_complete(it.request);
}

void connection_pool::release(connection& it)
{
    // A target that answers before it has read the whole request expects the rest of it.
    if (!it.is_reusable || !it.stream->out().empty() || !it.stream->is_open()) {
        drop(it);
        return;
    }
    it.deadline = time_point{};
    it.idle_since = loop_->now();
    idle_[it.to].push_back(&it);
}

void connection_pool::on_stream_closed(connection& it, const std::string& reason)
{
    if (it.is_busy && it.has_begun && it.stream->has_received_eof() && !it.is_skipping) {
        const auto number = it.number;
        it.reader->end_of_input();
        if (!connections_.contains(number)) {
            return;
        }
    }
    if (!it.is_busy) {
        drop(it);
        return;
    }
    broken(it, reason);
}

void connection_pool::broken(connection& it, const std::string& reason)
{
    const auto id = it.request;
    auto stage = attempt_stage::sent;
    if (!it.is_open) {
        stage = attempt_stage::not_sent;
    }
    else if (it.has_begun) {
        stage = attempt_stage::answering;
    }
    drop(it);
    callbacks_.on_broken(id, stage, reason);
}

void connection_pool::drop(connection& it)
{
    if (it.is_busy) {
        requests_.erase(it.request);
        it.is_busy = false;
    }
    const auto found = idle_.find(it.to);
    if (found != idle_.end()) {
        std::erase(found->second, &it);
        if (found->second.empty()) {
            idle_.erase(found);
        }
    }
    it.stream->close();
    const auto kept = connections_.find(it.number);
    // The stream may be running one of its callbacks.
    loop_->post([dropped = std::shared_ptr<connection>{std::move(kept->second)}] {});
    connections_.erase(kept);
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
        it->second->has_strayed = true;
    }
}

void connection_pool::pause_reading(outgoing_id id, bool is_paused)
{
    const auto it = requests_.find(id);
    if (it != requests_.end()) {
        it->second->stream->pause_reading(is_paused);
    }
}

void connection_pool::keep_only(const std::set<endpoint>& addresses)
{
    std::vector<connection*> closed;
    for (const auto& [to, all] : idle_) {
        if (!addresses.contains(to)) {
            closed.insert(closed.end(), all.begin(), all.end());
        }
    }
    for (auto* it : closed) {
        drop(*it);
    }
}

void connection_pool::check_at(time_point when)
{
    if (expiry_.is_active() && next_check_ <= when) {
        return;
    }
    next_check_ = when;
    expiry_.start(std::max(when - loop_->now(), duration{}));
}

void connection_pool::expire()
{
    const auto now = loop_->now();
    check_at(now + expiry_interval);
    std::vector<connection*> idle;
    std::vector<connection*> late;
    for (const auto& [number, it] : connections_) {
        if (!it->is_busy && now - it->idle_since > share_of(it->idle_time, idle_time_use)) {
            idle.push_back(it.get());
        }
        if (it->is_busy && it->deadline != time_point{}) {
            if (now >= it->deadline) {
                late.push_back(it.get());
            }
            else {
                check_at(it->deadline);
            }
        }
    }
    for (auto* it : idle) {
        drop(*it);
    }
    for (auto* it : late) {
        broken(*it, it->is_open ? "timed out" : "connecting timed out");
    }
}

} // namespace endivelatch
