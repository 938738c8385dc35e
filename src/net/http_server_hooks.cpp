#include "http_server_parts.hpp"

#include "socket_address.hpp"

#include <algorithm>
#include <charconv>
#include <cstring>
#include <utility>

#include <netinet/tcp.h>
#include <sys/epoll.h>

namespace endivelatch {

namespace {

/// Returns all values of one kind in the request. Header names are converted to lower case.
http_headers values_of(MHD_Connection* handle, MHD_ValueKind kind)
{
    http_headers all;
    const auto append = [](void* list, MHD_ValueKind found, const char* key, const char* value) {
        std::string name = found == MHD_HEADER_KIND ? to_lower(key) : std::string{key};
        static_cast<http_headers*>(list)->push_back(
            {std::move(name), value == nullptr ? "" : value});
        return MHD_YES;
    };
    MHD_get_connection_values(handle, kind, append, &all);
    return all;
}

/// Returns the IP address of the client.
std::string remote_of(MHD_Connection* handle)
{
    const auto* info = MHD_get_connection_info(handle, MHD_CONNECTION_INFO_CLIENT_ADDRESS);
    sockaddr_storage storage{};
    const bool is_v6 = info->client_addr->sa_family == AF_INET6;
    std::memcpy(&storage, info->client_addr, is_v6 ? sizeof(sockaddr_in6) : sizeof(sockaddr_in));
    return socket_address{storage}.to_endpoint().address;
}

/// Returns whether the Content-Length header exceeds the limit.
bool content_length_exceeds(const http_headers& headers, std::size_t limit)
{
    const std::string* length = find_header(headers, "content-length");
    if (length == nullptr) {
        return false;
    }
    std::size_t n = 0;
    const auto [end, ec] = std::from_chars(length->data(), length->data() + length->size(), n);
    return ec == std::errc::result_out_of_range || n > limit;
}

} // namespace

void http_server::hooks::on_connection(void* server, MHD_Connection* handle, void** context,
                                       MHD_ConnectionNotificationCode code)
{
    auto& self = *static_cast<http_server*>(server);
    if (code == MHD_CONNECTION_NOTIFY_STARTED) {
        auto* it = new connection;
        it->fd = MHD_get_connection_info(handle, MHD_CONNECTION_INFO_CONNECTION_FD)->connect_fd;
        *context = it;
        epoll_event event{};
        event.events = EPOLLRDHUP | EPOLLET;
        event.data.ptr = it;
        epoll_ctl(self.hang_up_epoll_, EPOLL_CTL_ADD, it->fd, &event);
        ++self.connection_count_;
        self.start_request_timeout(*it);
        return;
    }
    auto* it = static_cast<connection*>(*context);
    epoll_ctl(self.hang_up_epoll_, EPOLL_CTL_DEL, it->fd, nullptr);
    if (it->incomplete_entry) {
        self.incomplete_->items.erase(*it->incomplete_entry);
    }
    --self.connection_count_;
    delete it;
}

MHD_Result http_server::hooks::on_access(void* acceptor, MHD_Connection* handle, const char* url,
                                         const char* method, const char* /*version*/,
                                         const char* upload, std::size_t* upload_size,
                                         void** context)
{
    if (*context == nullptr) {
        return begin(*static_cast<listener*>(acceptor), handle, url, method, context);
    }
    auto& it = *static_cast<exchange*>(*context);
    if (*upload_size > 0) {
        const std::size_t limit = it.acceptor->server->settings_.max_body;
        if (it.request.body.size() + *upload_size > limit) {
            it.error_status = MHD_HTTP_CONTENT_TOO_LARGE;
            it.request.body.clear();
        }
        if (it.error_status == 0) {
            it.request.body.append(upload, *upload_size);
        }
        *upload_size = 0;
        return MHD_YES;
    }
    if (it.error_status != 0) {
        return queue_error(it);
    }
    if (it.state == response_state::receiving) {
        return deliver(it);
    }
    return queue_or_suspend(it);
}

MHD_Result http_server::hooks::begin(listener& acceptor, MHD_Connection* handle, const char* url,
                                     const char* method, void** context)
{
    auto& self = *acceptor.server;
    auto* it = new exchange;
    *context = it;
    it->id = exchange_id{++self.last_exchange_};
    it->acceptor = &acceptor;
    it->handle = handle;
    it->conn = static_cast<connection*>(
        MHD_get_connection_info(handle, MHD_CONNECTION_INFO_SOCKET_CONTEXT)->socket_context);
    it->conn->current = it;
    it->request.id = it->id;
    it->request.method = method;
    it->request.path = url;
    it->request.headers = values_of(handle, MHD_HEADER_KIND);
    it->request.query = values_of(handle, MHD_GET_ARGUMENT_KIND);
    it->request.remote = remote_of(handle);
    if (content_length_exceeds(it->request.headers, self.settings_.max_body)) {
        it->error_status = MHD_HTTP_CONTENT_TOO_LARGE;
        return queue_error(*it);
    }
    return MHD_YES;
}

MHD_Result http_server::hooks::queue_error(exchange& it)
{
    MHD_Response* response = MHD_create_response_from_buffer(0, nullptr, MHD_RESPMEM_PERSISTENT);
    const auto queued = MHD_queue_response(it.handle, it.error_status, response);
    MHD_destroy_response(response);
    return queued;
}

MHD_Result http_server::hooks::deliver(exchange& it)
{
    auto& self = *it.acceptor->server;
    if (it.conn->is_hung_up) {
        return MHD_NO;
    }
    if (it.conn->incomplete_entry) {
        self.incomplete_->items.erase(*it.conn->incomplete_entry);
        it.conn->incomplete_entry.reset();
    }
    it.state = response_state::pending;
    self.exchanges_.emplace(it.id, &it);
    it.is_delivering = true;
    if (self.callbacks_.on_request) {
        self.callbacks_.on_request(std::move(it.request));
    }
    it.is_delivering = false;
    return queue_or_suspend(it);
}

MHD_Result http_server::hooks::queue_or_suspend(exchange& it)
{
    if (it.is_aborted) {
        return MHD_NO;
    }
    if (it.state == response_state::ready) {
        it.state = response_state::queued;
        const auto queued =
            MHD_queue_response(it.handle, static_cast<unsigned>(it.status), it.response);
        MHD_destroy_response(std::exchange(it.response, nullptr));
        return queued;
    }
    it.is_suspended = true;
    MHD_suspend_connection(it.handle);
    return MHD_YES;
}

void http_server::hooks::on_completed(void* server, MHD_Connection* /*handle*/, void** context,
                                      MHD_RequestTerminationCode code)
{
    auto& self = *static_cast<http_server*>(server);
    const std::unique_ptr<exchange> it{static_cast<exchange*>(*context)};
    if (it == nullptr) {
        return;
    }
    *context = nullptr;
    it->conn->current = nullptr;
    if (it->response != nullptr) {
        MHD_destroy_response(it->response);
    }
    if (!it->conn->incomplete_entry) {
        self.start_request_timeout(*it->conn);
    }
    const bool was_open = self.exchanges_.erase(it->id) > 0;
    if (was_open && code != MHD_REQUEST_TERMINATED_COMPLETED_OK && self.callbacks_.on_closed) {
        self.callbacks_.on_closed(it->id);
    }
}

ssize_t http_server::hooks::on_read(void* user_data, std::uint64_t /*position*/, char* buf,
                                    std::size_t size)
{
    auto& it = *static_cast<exchange*>(user_data);
    if (it.is_aborted) {
        return MHD_CONTENT_READER_END_WITH_ERROR;
    }
    std::size_t n = 0;
    while (n < size && !it.parts.empty()) {
        const std::string& part = *it.parts.front();
        const std::size_t count = std::min(size - n, part.size() - it.offset);
        std::copy_n(part.data() + it.offset, count, buf + n);
        n += count;
        it.offset += count;
        if (it.offset == part.size()) {
            it.parts.pop_front();
            it.offset = 0;
        }
    }
    it.buffered -= n;
    auto& self = *it.acceptor->server;
    if (it.was_above_threshold && it.buffered <= self.settings_.drain_threshold / 2) {
        it.was_above_threshold = false;
        if (self.callbacks_.on_drained) {
            self.callbacks_.on_drained(it.id, it.buffered);
        }
    }
    if (n > 0) {
        return static_cast<ssize_t>(n);
    }
    if (it.is_finished) {
        return MHD_CONTENT_READER_END_OF_STREAM;
    }
    it.is_suspended = true;
    MHD_suspend_connection(it.handle);
    return 0;
}

} // namespace endivelatch
