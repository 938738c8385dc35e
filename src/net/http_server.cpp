#include "http_server_parts.hpp"

#include "socket_address.hpp"

#include <array>
#include <cerrno>
#include <cstring>
#include <utility>

#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace endivelatch {

namespace {

/// Closed connections handled per wake-up.
constexpr int max_hang_ups_per_wakeup = 64;

/// Consecutive runs of a daemon; bounded so that it cannot block the loop.
constexpr int max_consecutive_runs = 4;

} // namespace

http_server::http_server(event_loop& loop, http_server_settings settings,
                         http_server_callbacks callbacks)
    : loop_{&loop}, settings_{std::move(settings)}, callbacks_{std::move(callbacks)},
      hang_up_epoll_{epoll_create1(EPOLL_CLOEXEC)},
      incomplete_{std::make_unique<incomplete_requests>()}, expiry_{loop,
                                                                    [this] { close_expired(); }}
{
    hang_up_watcher_ = std::make_unique<io_watcher>(
        loop, hang_up_epoll_, [this](io_interest /*unused*/) { check_hang_ups(); });
    hang_up_watcher_->watch({true, false});
}

http_server::~http_server()
{
    callbacks_ = {};
    for (const auto& [id, it] : exchanges_) {
        it->is_aborted = true;
        resume(*it);
    }
    for (const auto& it : listeners_) {
        it->watcher.reset();
        it->timeout.reset();
        if (it->daemon != nullptr) {
            MHD_run(it->daemon);
            MHD_stop_daemon(it->daemon);
        }
    }
    hang_up_watcher_.reset();
    close(hang_up_epoll_);
}

findings http_server::start()
{
    findings found;
    for (const auto& it : settings_.listen) {
        auto acceptor = std::make_unique<listener>();
        acceptor->server = this;
        acceptor->address = it;
        const auto address = make_socket_address(it);
        if (!address) {
            found.push_back({to_string(it), "\"" + it.address + "\" is not an IP address"});
            continue;
        }
        const unsigned family_flag = address->is_v6() ? unsigned{MHD_USE_IPv6} : 0U;
        acceptor->daemon = MHD_start_daemon(
            MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME | family_flag, it.port, nullptr, nullptr,
            &hooks::on_access, acceptor.get(), MHD_OPTION_SOCK_ADDR, address->get(),
            MHD_OPTION_CONNECTION_LIMIT, static_cast<unsigned>(settings_.max_connections),
            MHD_OPTION_CONNECTION_MEMORY_LIMIT, settings_.connection_memory,
            MHD_OPTION_NOTIFY_CONNECTION, &hooks::on_connection, this, MHD_OPTION_NOTIFY_COMPLETED,
            &hooks::on_completed, this, MHD_OPTION_END);
        if (acceptor->daemon == nullptr) {
            found.push_back({to_string(it), std::string{"cannot listen: "} + std::strerror(errno)});
            continue;
        }
        acceptor->address.port =
            MHD_get_daemon_info(acceptor->daemon, MHD_DAEMON_INFO_BIND_PORT)->port;
        listener* raw = acceptor.get();
        acceptor->timeout = std::make_unique<timer>(*loop_, [this, raw] { run(*raw); });
        acceptor->watcher = std::make_unique<io_watcher>(
            *loop_, MHD_get_daemon_info(raw->daemon, MHD_DAEMON_INFO_EPOLL_FD)->epoll_fd,
            [this, raw](io_interest /*unused*/) { run(*raw); });
        acceptor->watcher->watch({true, false});
        listeners_.push_back(std::move(acceptor));
    }
    return found;
}

void http_server::stop_listening()
{
    for (const auto& it : listeners_) {
        const int fd = MHD_quiesce_daemon(it->daemon);
        if (fd >= 0) {
            close(fd);
        }
    }
}

std::vector<endpoint> http_server::listening() const
{
    std::vector<endpoint> all;
    for (const auto& it : listeners_) {
        all.push_back(it->address);
    }
    return all;
}

void http_server::respond(exchange_id id, int status, const http_headers& headers, std::string body)
{
    exchange* it = find(id);
    if (it == nullptr || it->state != response_state::pending) {
        return;
    }
    it->body = std::move(body);
    it->response =
        MHD_create_response_from_buffer(it->body.size(), it->body.data(), MHD_RESPMEM_PERSISTENT);
    for (const auto& header : headers) {
        MHD_add_response_header(it->response, header.name.c_str(), header.value.c_str());
    }
    it->status = status;
    it->is_finished = true;
    it->state = response_state::ready;
    resume(*it);
}

void http_server::begin_stream(exchange_id id, int status, const http_headers& headers)
{
    exchange* it = find(id);
    if (it == nullptr || it->state != response_state::pending) {
        return;
    }
    it->response = MHD_create_response_from_callback(MHD_SIZE_UNKNOWN, settings_.stream_block,
                                                     &hooks::on_read, it, nullptr);
    for (const auto& header : headers) {
        MHD_add_response_header(it->response, header.name.c_str(), header.value.c_str());
    }
    it->status = status;
    it->state = response_state::ready;
    resume(*it);
}

void http_server::write(exchange_id id, payload part)
{
    exchange* it = find(id);
    if (it == nullptr || it->is_finished || part == nullptr || part->empty()) {
        return;
    }
    it->buffered += part->size();
    if (it->buffered > settings_.drain_threshold) {
        it->was_above_threshold = true;
    }
    it->parts.push_back(std::move(part));
    if (it->state == response_state::queued) {
        resume(*it);
    }
}

void http_server::finish(exchange_id id)
{
    exchange* it = find(id);
    if (it == nullptr || it->is_finished) {
        return;
    }
    it->is_finished = true;
    resume(*it);
}

void http_server::abort(exchange_id id)
{
    exchange* it = find(id);
    if (it != nullptr) {
        abort_exchange(*it);
    }
}

std::size_t http_server::buffered(exchange_id id) const
{
    const exchange* it = find(id);
    return it == nullptr ? 0 : it->buffered;
}

http_server::exchange* http_server::find(exchange_id id) const
{
    const auto it = exchanges_.find(id);
    return it == exchanges_.end() ? nullptr : it->second;
}

void http_server::resume(exchange& it)
{
    if (!it.is_suspended) {
        return;
    }
    it.is_suspended = false;
    MHD_resume_connection(it.handle);
    schedule(*it.acceptor);
}

void http_server::abort_exchange(exchange& it)
{
    exchanges_.erase(it.id);
    it.is_aborted = true;
    if (it.is_suspended) {
        resume(it);
    }
    else if (!it.is_delivering) {
        // The daemon waits for the socket to become writable; the shutdown ends that wait.
        shutdown(it.conn->fd, SHUT_RDWR);
    }
}

void http_server::schedule(listener& acceptor)
{
    if (acceptor.is_scheduled) {
        return;
    }
    acceptor.is_scheduled = true;
    loop_->post([this, raw = &acceptor] { run(*raw); });
}

void http_server::run(listener& acceptor)
{
    acceptor.is_scheduled = false;
    MHD_UNSIGNED_LONG_LONG wait_ms = 0;
    bool is_waiting = true;
    // A resumed connection becomes ready in one run and is written to in the next.
    for (int i = 0; i < max_consecutive_runs && is_waiting && wait_ms == 0; ++i) {
        MHD_run(acceptor.daemon);
        is_waiting = MHD_get_timeout(acceptor.daemon, &wait_ms) == MHD_YES;
    }
    if (!is_waiting) {
        acceptor.timeout->stop();
        return;
    }
    if (wait_ms == 0) {
        schedule(acceptor);
        return;
    }
    acceptor.timeout->start(std::chrono::milliseconds{wait_ms});
}

void http_server::check_hang_ups()
{
    std::array<epoll_event, max_hang_ups_per_wakeup> events{};
    const int n = epoll_wait(hang_up_epoll_, events.data(), max_hang_ups_per_wakeup, 0);
    for (int i = 0; i < n; ++i) {
        auto* it = static_cast<connection*>(events.at(static_cast<std::size_t>(i)).data.ptr);
        it->is_hung_up = true;
        exchange* current = it->current;
        if (current == nullptr || current->state == response_state::receiving ||
            current->is_aborted) {
            continue;
        }
        const exchange_id id = current->id;
        abort_exchange(*current);
        if (callbacks_.on_closed) {
            callbacks_.on_closed(id);
        }
    }
}

void http_server::start_request_timeout(connection& it)
{
    it.deadline = loop_->now() + settings_.request_timeout;
    it.incomplete_entry = incomplete_->items.insert(incomplete_->items.end(), &it);
    if (!expiry_.is_active()) {
        expiry_.start(settings_.request_timeout);
    }
}

void http_server::close_expired()
{
    const time_point now = loop_->now();
    auto& items = incomplete_->items;
    while (!items.empty() && items.front()->deadline <= now) {
        connection* it = items.front();
        items.pop_front();
        it->incomplete_entry.reset();
        shutdown(it->fd, SHUT_RDWR);
    }
    if (!items.empty()) {
        expiry_.start(items.front()->deadline - now);
    }
}

} // namespace endivelatch
