#include "endivelatch/net/http_client.hpp"

#include "endivelatch/http1/head_check.hpp"
#include "endivelatch/net/io_watcher.hpp"
#include "endivelatch/net/tcp_stream.hpp"

#include "socket_state.hpp"

#include <algorithm>
#include <mutex>
#include <utility>

#include <curl/curl.h>
#include <unistd.h>

namespace endivelatch {

namespace {

/// Interval between checks of the idle timeouts.
constexpr duration idle_check_interval{100'000};

/// Size of the connection cache of the multi handle.
constexpr long max_cached_connections = 1'024;

/// Receive buffer size in bytes; limits the size of a body part passed to `on_data`.
constexpr long receive_buffer_size = 16'384;

/// Idle easy handles kept for reuse.
constexpr std::size_t max_idle_handles = 256;

constexpr int first_final_status = 200;
constexpr int switching_protocols = 101;
constexpr int no_content = 204;
constexpr int not_modified = 304;

constexpr const char* reset_during_request =
    "the connection was reset before the whole request was received";

/// Returns `HOST:PORT` of a URL, or the whole text when it has no scheme.
std::string host_and_port_of(std::string_view url)
{
    const auto scheme = url.find("://");
    if (scheme == std::string_view::npos) {
        return std::string{url};
    }
    url.remove_prefix(scheme + 3);
    return std::string{url.substr(0, url.find('/'))};
}

/// Returns the line without the characters that end it.
std::string_view without_line_end(std::string_view line)
{
    if (line.ends_with('\n')) {
        line.remove_suffix(1);
    }
    if (line.ends_with('\r')) {
        line.remove_suffix(1);
    }
    return line;
}

} // namespace

std::string_view to_string(call_failure_kind kind)
{
    switch (kind) {
    case call_failure_kind::refused:
        return "refused";
    case call_failure_kind::not_reached:
        return "not_reached";
    case call_failure_kind::silent:
        return "silent";
    case call_failure_kind::broken:
        return "broken";
    }
    return "broken";
}

/// State of a call in progress.
struct http_client::call_state {
    call_id id;
    http_client* client = nullptr;
    CURL* handle = nullptr;
    curl_slist* sent_headers = nullptr;
    std::string host;
    payload body;
    duration idle_timeout{};
    time_point last_received;
    http_headers headers;
    int status = 0;
    std::string fault; ///< Why the response is malformed; empty if it is not.
    int fd = -1;       ///< The socket in use.
    /// Sends the rest of the request after the response has ended; null unless it is needed.
    std::unique_ptr<tcp_stream> rest;
    bool was_reset = false; ///< The connection was reset after the end of the response.
    bool awaits_status_line = true;
    bool is_head_reported = false;
    bool is_paused = false;
    bool is_cancelled = false;
};

/// Watchers of the sockets of libcurl.
struct http_client::socket_watchers {
    std::unordered_map<int, std::unique_ptr<io_watcher>> by_fd;
    /// Destroyed in a posted call, outside of their callbacks.
    std::vector<std::unique_ptr<io_watcher>> removed;
};

/// Functions called by libcurl.
struct http_client::hooks {
    static int on_socket(CURL* handle, curl_socket_t fd, int what, void* client, void* /*socket*/)
    {
        auto& self = *static_cast<http_client*>(client);
        call_state* call = nullptr;
        curl_easy_getinfo(handle, CURLINFO_PRIVATE, &call);
        if (call != nullptr && what != CURL_POLL_REMOVE) {
            call->fd = fd;
        }
        auto& all = self.sockets_->by_fd;
        const auto found = all.find(fd);
        if (what == CURL_POLL_REMOVE) {
            if (found != all.end()) {
                found->second->watch({});
                self.sockets_->removed.push_back(std::move(found->second));
                all.erase(found);
            }
            return 0;
        }
        auto& watcher = found == all.end() ? all[fd] : found->second;
        if (watcher == nullptr) {
            watcher = std::make_unique<io_watcher>(*self.loop_, fd, [&self, fd](io_interest ready) {
                const int events =
                    (ready.read ? CURL_CSELECT_IN : 0) | (ready.write ? CURL_CSELECT_OUT : 0);
                self.handle_socket_action(fd, events);
            });
        }
        watcher->watch({what == CURL_POLL_IN || what == CURL_POLL_INOUT,
                        what == CURL_POLL_OUT || what == CURL_POLL_INOUT});
        return 0;
    }

    /// Closes a socket, unless the rest of a request is still sent on it.
    static int on_close_socket(void* client, curl_socket_t fd)
    {
        auto& self = *static_cast<http_client*>(client);
        for (const auto& [id, it] : self.calls_) {
            if (it->fd != fd) {
                continue;
            }
            it->fd = -1;
            if (ends_with_connection(*it) && send_rest(*it, fd)) {
                return 0;
            }
        }
        return ::close(fd);
    }

    /// Returns whether only the end of the connection marks the end of the response.
    static bool ends_with_connection(const call_state& it)
    {
        return it.is_head_reported && it.status != no_content && it.status != not_modified &&
               find_header(it.headers, "content-length") == nullptr &&
               find_header(it.headers, "transfer-encoding") == nullptr;
    }

    /// Goes on sending a request whose response has ended, which libcurl does not: a reset in the
    /// meantime shows that the response may have been cut off. Returns whether it took over the
    /// socket.
    static bool send_rest(call_state& it, int fd)
    {
        curl_off_t sent = 0;
        curl_easy_getinfo(it.handle, CURLINFO_SIZE_UPLOAD_T, &sent);
        const std::string_view body = it.body == nullptr ? std::string_view{} : *it.body;
        const auto unsent = body.substr(std::min(body.size(), static_cast<std::size_t>(sent)));
        it.was_reset = take_socket_error(fd) != 0;
        if (it.was_reset || (unsent.empty() && !has_unacknowledged_bytes(fd))) {
            return false;
        }
        tcp_stream_callbacks callbacks;
        callbacks.on_data = [](std::string_view) {};
        callbacks.on_closed = [&it](const std::string&) { it.client->end_after_rest(it.id); };
        it.rest = std::make_unique<tcp_stream>(*it.client->loop_, fd, std::move(callbacks));
        it.rest->confirm_end_by_delivery();
        it.rest->out() = unsent;
        it.rest->flush_soon();
        return true;
    }

    static int on_timeout(CURLM* /*multi*/, long wait_ms, void* client)
    {
        auto& self = *static_cast<http_client*>(client);
        if (wait_ms < 0) {
            self.timeout_.stop();
        }
        else {
            self.timeout_.start(std::chrono::milliseconds{wait_ms});
        }
        return 0;
    }

    static std::size_t on_header(char* text, std::size_t /*size*/, std::size_t count,
                                 void* user_data)
    {
        auto& it = *static_cast<call_state*>(user_data);
        it.last_received = it.client->loop_->now();
        const auto line = without_line_end({text, count});
        const bool is_valid =
            it.awaits_status_line ? read_status_line(it, line) : read_header_line(it, line);
        return is_valid && !it.is_cancelled ? count : 0;
    }

    /// Starts a head. Returns whether the status line is valid; libcurl accepts any number as a
    /// status.
    static bool read_status_line(call_state& it, std::string_view line)
    {
        const auto status = parse_status_line(line);
        // No request asks to switch protocols.
        if (!status || *status == switching_protocols) {
            it.fault = "the status line is invalid";
            return false;
        }
        it.awaits_status_line = false;
        it.headers.clear();
        it.status = *status;
        return true;
    }

    /// Reads a line of the head after the first one, or of the trailer, which is dropped. Returns
    /// whether it is valid; libcurl passes on any line, and ignores those that it cannot read.
    static bool read_header_line(call_state& it, std::string_view line)
    {
        if (line.empty()) {
            if (!has_unambiguous_length(it.headers)) {
                it.fault = "the length of the body is ambiguous";
                return false;
            }
            it.awaits_status_line = it.status < first_final_status;
            if (!it.awaits_status_line) {
                report_head(it);
            }
            return true;
        }
        if (!is_header_line(line)) {
            it.fault = "a header line is invalid";
            return false;
        }
        const auto colon = line.find(':');
        if (!it.is_head_reported) {
            it.headers.push_back({to_lower(line.substr(0, colon)),
                                  std::string{without_blanks(line.substr(colon + 1))}});
        }
        return true;
    }

    static std::size_t on_body(char* text, std::size_t /*size*/, std::size_t count, void* user_data)
    {
        auto& it = *static_cast<call_state*>(user_data);
        if (it.is_cancelled) {
            return 0;
        }
        if (it.is_paused) {
            return CURL_WRITEFUNC_PAUSE;
        }
        it.last_received = it.client->loop_->now();
        if (it.client->callbacks_.on_data) {
            it.client->callbacks_.on_data(it.id, {text, count});
        }
        return it.is_cancelled ? 0 : count;
    }

    static void report_head(call_state& it)
    {
        if (it.is_head_reported || it.is_cancelled) {
            return;
        }
        it.is_head_reported = true;
        if (it.client->callbacks_.on_head) {
            it.client->callbacks_.on_head(it.id, it.status, it.headers);
        }
    }
};

http_client::http_client(event_loop& loop, http_client_callbacks callbacks)
    : loop_{&loop}, callbacks_{std::move(callbacks)},
      timeout_{loop, [this] { handle_socket_action(CURL_SOCKET_TIMEOUT, 0); }},
      idle_check_timer_{loop, [this] { check_idle_timeouts(); }},
      sockets_{std::make_unique<socket_watchers>()}
{
    static std::once_flag initialised;
    std::call_once(initialised, [] { curl_global_init(CURL_GLOBAL_DEFAULT); });
    multi_ = curl_multi_init();
    curl_multi_setopt(multi_, CURLMOPT_SOCKETFUNCTION, &hooks::on_socket);
    curl_multi_setopt(multi_, CURLMOPT_SOCKETDATA, this);
    curl_multi_setopt(multi_, CURLMOPT_TIMERFUNCTION, &hooks::on_timeout);
    curl_multi_setopt(multi_, CURLMOPT_TIMERDATA, this);
    curl_multi_setopt(multi_, CURLMOPT_MAXCONNECTS, max_cached_connections);
    curl_multi_setopt(multi_, CURLMOPT_PIPELINING, CURLPIPE_NOTHING);
}

http_client::~http_client()
{
    callbacks_ = {};
    for (const auto& [id, it] : calls_) {
        it->fd = -1; // Nothing is sent any more.
        if (it->handle != nullptr) {
            curl_multi_remove_handle(multi_, it->handle);
            curl_easy_cleanup(it->handle);
        }
        curl_slist_free_all(it->sent_headers);
    }
    for (void* it : idle_handles_) {
        curl_easy_cleanup(it);
    }
    curl_multi_cleanup(multi_);
}

call_id http_client::start(http_call call)
{
    const call_id id{++last_call_};
    auto state = std::make_unique<call_state>();
    state->id = id;
    state->client = this;
    state->host = host_and_port_of(call.url);
    state->body = std::move(call.body);
    state->idle_timeout = call.idle_timeout;
    state->last_received = loop_->now();
    auto& it = *calls_.emplace(id, std::move(state)).first->second;
    auto& active = active_by_host_[it.host];
    ++active;
    if (call.max_concurrent != 0 && active > call.max_concurrent) {
        fail_later(id, {call_failure_kind::refused, false,
                        "too many calls to \"" + it.host + "\" at once"});
        return id;
    }
    it.handle = acquire_handle();
    CURL* handle = it.handle;
    curl_easy_setopt(handle, CURLOPT_URL, call.url.c_str());
    curl_easy_setopt(handle, CURLOPT_PROTOCOLS_STR, "http");
    curl_easy_setopt(handle, CURLOPT_PROXY, "");
    curl_easy_setopt(handle, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(handle, CURLOPT_HTTP_VERSION, CURL_HTTP_VERSION_1_1);
    curl_easy_setopt(handle, CURLOPT_BUFFERSIZE, receive_buffer_size);
    curl_easy_setopt(handle, CURLOPT_TCP_KEEPALIVE, 1L);
    curl_easy_setopt(handle, CURLOPT_PRIVATE, &it);
    curl_easy_setopt(handle, CURLOPT_HEADERFUNCTION, &hooks::on_header);
    curl_easy_setopt(handle, CURLOPT_HEADERDATA, &it);
    curl_easy_setopt(handle, CURLOPT_WRITEFUNCTION, &hooks::on_body);
    curl_easy_setopt(handle, CURLOPT_WRITEDATA, &it);
    curl_easy_setopt(handle, CURLOPT_CLOSESOCKETFUNCTION, &hooks::on_close_socket);
    curl_easy_setopt(handle, CURLOPT_CLOSESOCKETDATA, this);
    const auto connect_ms = std::chrono::ceil<std::chrono::milliseconds>(call.connect_timeout);
    curl_easy_setopt(handle, CURLOPT_CONNECTTIMEOUT_MS, static_cast<long>(connect_ms.count()));
    const bool needs_new_connection = call.fresh_connection || !call.may_repeat;
    curl_easy_setopt(handle, CURLOPT_FRESH_CONNECT, needs_new_connection ? 1L : 0L);
    if (it.body != nullptr) {
        curl_easy_setopt(handle, CURLOPT_POSTFIELDSIZE_LARGE,
                         static_cast<curl_off_t>(it.body->size()));
        curl_easy_setopt(handle, CURLOPT_POSTFIELDS, it.body->data());
    }
    else if (call.method == "HEAD") {
        curl_easy_setopt(handle, CURLOPT_NOBODY, 1L);
    }
    curl_easy_setopt(handle, CURLOPT_CUSTOMREQUEST, call.method.c_str());
    it.sent_headers = curl_slist_append(it.sent_headers, "Expect:");
    for (const auto& header : call.headers) {
        const std::string line = header.name + ": " + header.value;
        it.sent_headers = curl_slist_append(it.sent_headers, line.c_str());
    }
    curl_easy_setopt(handle, CURLOPT_HTTPHEADER, it.sent_headers);
    if (is_inside_libcurl_) {
        loop_->post([this, id] { add_to_multi(id); });
    }
    else {
        add_to_multi(id);
    }
    if (!idle_check_timer_.is_active()) {
        idle_check_timer_.start(idle_check_interval);
    }
    return id;
}

void http_client::cancel(call_id id)
{
    call_state* it = find(id);
    if (it == nullptr) {
        return;
    }
    it->is_cancelled = true;
    loop_->post([this, id] {
        const auto found = calls_.find(id);
        if (found != calls_.end()) {
            end(*found->second, call_finished{});
        }
    });
}

void http_client::pause(call_id id)
{
    call_state* it = find(id);
    if (it != nullptr) {
        it->is_paused = true;
    }
}

void http_client::resume(call_id id)
{
    call_state* it = find(id);
    if (it == nullptr || !it->is_paused) {
        return;
    }
    it->is_paused = false;
    it->last_received = loop_->now();
    loop_->post([this, id] {
        call_state* paused = find(id);
        if (paused != nullptr && paused->handle != nullptr && !paused->is_paused) {
            is_inside_libcurl_ = true;
            curl_easy_pause(paused->handle, CURLPAUSE_CONT);
            is_inside_libcurl_ = false;
            handle_socket_action(CURL_SOCKET_TIMEOUT, 0);
        }
    });
}

std::uint32_t http_client::active_at(const std::string& host) const
{
    const auto it = active_by_host_.find(host);
    return it == active_by_host_.end() ? 0 : it->second;
}

http_client::call_state* http_client::find(call_id id) const
{
    const auto it = calls_.find(id);
    if (it == calls_.end() || it->second->is_cancelled) {
        return nullptr;
    }
    return it->second.get();
}

void http_client::fail_later(call_id id, call_failure failure)
{
    loop_->post([this, id, failed = std::move(failure)]() mutable {
        call_state* it = find(id);
        if (it != nullptr) {
            end(*it, std::move(failed));
        }
    });
}

void http_client::add_to_multi(call_id id)
{
    call_state* it = find(id);
    if (it != nullptr) {
        curl_multi_add_handle(multi_, it->handle);
    }
}

void http_client::handle_socket_action(int fd, int events)
{
    int running = 0;
    is_inside_libcurl_ = true;
    curl_multi_socket_action(multi_, fd, events, &running);
    is_inside_libcurl_ = false;
    handle_completed_transfers();
}

void http_client::handle_completed_transfers()
{
    int left = 0;
    while (const CURLMsg* msg = curl_multi_info_read(multi_, &left)) {
        if (msg->msg != CURLMSG_DONE) {
            continue;
        }
        const CURLcode code = msg->data.result;
        call_state* it = nullptr;
        curl_easy_getinfo(msg->easy_handle, CURLINFO_PRIVATE, &it);
        if (code == CURLE_OK && !it->is_head_reported) {
            it->fault = "the response has no final head";
        }
        else if (code == CURLE_OK && it->was_reset) {
            it->fault = reset_during_request;
        }
        else if (code == CURLE_OK) {
            if (it->rest == nullptr) {
                end(*it, call_finished{});
            }
            continue;
        }
        long sent = 0;
        curl_off_t connected_us = 0;
        curl_easy_getinfo(it->handle, CURLINFO_REQUEST_SIZE, &sent);
        curl_easy_getinfo(it->handle, CURLINFO_CONNECT_TIME_T, &connected_us);
        const bool has_sent = sent > 0 || connected_us > 0;
        const auto kind = has_sent ? call_failure_kind::broken : call_failure_kind::not_reached;
        auto reason = it->fault.empty() ? std::string{curl_easy_strerror(code)} : it->fault;
        end(*it, call_failure{kind, has_sent, std::move(reason)});
    }
    if (!sockets_->removed.empty()) {
        loop_->post([this] { sockets_->removed.clear(); });
    }
}

void http_client::end_after_rest(call_id id)
{
    // Later, since the stream must not be destroyed within its callback.
    loop_->post([this, id] {
        call_state* it = find(id);
        if (it == nullptr) {
            return;
        }
        if (it->rest->has_received_eof()) {
            end(*it, call_finished{});
            return;
        }
        end(*it, call_failure{call_failure_kind::broken, true, reset_during_request});
    });
}

void http_client::check_idle_timeouts()
{
    const time_point now = loop_->now();
    std::vector<call_id> silent;
    for (const auto& [id, it] : calls_) {
        if (!it->is_paused && !it->is_cancelled && now - it->last_received >= it->idle_timeout) {
            silent.push_back(id);
        }
    }
    for (const call_id id : silent) {
        call_state* it = find(id);
        if (it == nullptr) {
            continue;
        }
        curl_off_t connected_us = 0;
        long sent = 0;
        if (it->handle != nullptr) {
            curl_easy_getinfo(it->handle, CURLINFO_CONNECT_TIME_T, &connected_us);
            curl_easy_getinfo(it->handle, CURLINFO_REQUEST_SIZE, &sent);
        }
        const bool has_sent = sent > 0 || connected_us > 0;
        end(*it, call_failure{call_failure_kind::silent, has_sent, "no byte was received in time"});
    }
    if (!calls_.empty()) {
        idle_check_timer_.start(idle_check_interval);
    }
}

void http_client::end(call_state& it, call_end result)
{
    const auto found = calls_.find(it.id);
    const std::unique_ptr<call_state> ended = std::move(found->second);
    calls_.erase(found);
    const auto host = active_by_host_.find(ended->host);
    if (--host->second == 0) {
        active_by_host_.erase(host);
    }
    if (ended->handle != nullptr) {
        curl_multi_remove_handle(multi_, ended->handle);
        curl_easy_reset(ended->handle);
        if (idle_handles_.size() < max_idle_handles) {
            idle_handles_.push_back(ended->handle);
        }
        else {
            curl_easy_cleanup(ended->handle);
        }
    }
    curl_slist_free_all(ended->sent_headers);
    if (!ended->is_cancelled && callbacks_.on_done) {
        callbacks_.on_done(ended->id, std::move(result));
    }
}

void* http_client::acquire_handle()
{
    if (idle_handles_.empty()) {
        return curl_easy_init();
    }
    void* handle = idle_handles_.back();
    idle_handles_.pop_back();
    return handle;
}

} // namespace endivelatch
