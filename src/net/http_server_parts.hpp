#pragma once

#include "endivelatch/net/http_server.hpp"
#include "endivelatch/net/io_watcher.hpp"

#include <deque>
#include <list>
#include <optional>

#include <microhttpd.h>

/// State of http_server per listening address, connection and request.
namespace endivelatch {

/// A listening address with its daemon.
struct http_server::listener {
    http_server* server = nullptr;
    endpoint address;
    MHD_Daemon* daemon = nullptr;
    std::unique_ptr<io_watcher> watcher;
    std::unique_ptr<timer> timeout;
    bool is_scheduled = false;
};

/// Connections without a complete request.
struct http_server::incomplete_requests {
    std::list<connection*> items;
};

/// An open connection.
struct http_server::connection {
    int fd = -1;
    bool is_hung_up = false; ///< The client closed its sending side.
    exchange* current = nullptr;
    time_point deadline;
    std::optional<std::list<connection*>::iterator> incomplete_entry;
};

/// Progress of an exchange.
enum class response_state {
    receiving, ///< The request is incomplete.
    pending,   ///< The request was reported; there is no response yet.
    ready,     ///< A response was created but not queued.
    queued,    ///< The response was queued for sending.
};

/// A request with its response.
struct http_server::exchange {
    exchange_id id;
    listener* acceptor = nullptr;
    MHD_Connection* handle = nullptr;
    connection* conn = nullptr;
    http_request request;
    response_state state = response_state::receiving;
    unsigned error_status = 0; ///< Status to reject the request with; zero for none.
    bool is_suspended = false;
    bool is_aborted = false;
    bool is_finished = false;
    bool was_above_threshold = false;
    bool is_delivering = false; ///< `on_request` is running.
    int status = 0;
    std::string body;                 ///< Body of a complete response.
    MHD_Response* response = nullptr; ///< The response, until it is queued.
    std::deque<payload> parts;        ///< Unsent parts of a stream.
    std::size_t offset = 0;           ///< Bytes of the first part that were already sent.
    std::size_t buffered = 0;         ///< Unsent bytes in `parts`.
};

/// Functions called by libmicrohttpd.
struct http_server::hooks {
    static void on_connection(void* server, MHD_Connection* handle, void** context,
                              MHD_ConnectionNotificationCode code);
    static MHD_Result on_access(void* acceptor, MHD_Connection* handle, const char* url,
                                const char* method, const char* version, const char* upload,
                                std::size_t* upload_size, void** context);
    static void on_completed(void* server, MHD_Connection* handle, void** context,
                             MHD_RequestTerminationCode code);
    static ssize_t on_read(void* user_data, std::uint64_t position, char* buf, std::size_t size);

    /// Creates the exchange for a new request.
    static MHD_Result begin(listener& acceptor, MHD_Connection* handle, const char* url,
                            const char* method, void** context);
    /// Reports a complete request.
    static MHD_Result deliver(exchange& it);
    /// Queues the response if there is one, or suspends the connection.
    static MHD_Result queue_or_suspend(exchange& it);
    /// Queues an error response with an empty body.
    static MHD_Result queue_error(exchange& it);
};

} // namespace endivelatch
