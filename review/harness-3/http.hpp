#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

/// Blocking HTTP/1.1 over loopback sockets, for stand-ins with one thread per connection.
namespace endivelatch::review {

/// Returns the milliseconds since the start of the program.
std::int64_t now_ms();

void sleep_ms(std::int64_t ms);

/// Writes the lines of record.txt. Thread-safe.
class recorder {
public:
    explicit recorder(const std::string& path);
    ~recorder();
    recorder(const recorder&) = delete;
    recorder(recorder&&) = delete;
    recorder& operator=(const recorder&) = delete;
    recorder& operator=(recorder&&) = delete;

    void write(const std::string& line);

private:
    std::mutex mutex_;
    int fd_ = -1;
};

using header_list = std::vector<std::pair<std::string, std::string>>;

struct http_message {
    std::string start_line;
    header_list headers;
    std::string body;

    /// Returns the value of the header, or an empty string.
    std::string header(std::string_view name) const;
    bool has_header(std::string_view name) const;
};

/// A blocking TCP connection.
class connection {
public:
    explicit connection(int fd) : fd_{fd} {}
    ~connection();
    connection(connection&& other) noexcept;
    connection(const connection&) = delete;
    connection& operator=(const connection&) = delete;
    connection& operator=(connection&&) = delete;

    /// Connects to a loopback address. A receive buffer of zero leaves the system's default.
    static std::optional<connection> open(const std::string& ip, int port, int receive_buffer = 0);

    bool send(std::string_view bytes) const;

    /// Reads a message with its body, which has a length, chunks or, for answers, ends with the
    /// connection. Returns nothing if the connection ends before.
    std::optional<http_message> read_message(bool is_answer);

    /// Reads up to `size` bytes that were not read yet into the message buffer. Returns false at
    /// the end of the connection.
    bool read_more(std::size_t size = 65'536);

    /// Returns the bytes that were received and not consumed yet.
    std::string& buffer() { return buffer_; }

    /// Sets the time after which a read gives up; zero for none.
    void set_read_timeout(std::int64_t ms) const;

    /// Returns whether the peer has closed or reset the connection by now.
    bool has_ended() const;

    /// Returns whether the last read ended with a reset.
    bool was_reset() const { return was_reset_; }

    /// Ends both directions; reads in other threads return.
    void shutdown() const;
    void close();
    /// Closes with a reset.
    void reset();

private:
    std::optional<http_message> read_head();
    bool read_exactly(std::size_t size);
    bool read_chunks(std::string& body);

    int fd_ = -1;
    bool was_reset_ = false;
    std::string buffer_;
};

/// Accepts connections on a loopback address and serves each in a thread of its own.
class server {
public:
    /// Listens at once; a port of zero selects a free one.
    server(const std::string& ip, int port, std::function<void(connection&)> serve);
    ~server();
    server(const server&) = delete;
    server(server&&) = delete;
    server& operator=(const server&) = delete;
    server& operator=(server&&) = delete;

    int port() const { return port_; }

private:
    struct state;

    int port_ = 0;
    state* state_; ///< Shared with the threads, which end with the program.
};

/// Returns a port that is free at present.
int free_port();

std::string lower(std::string_view text);

/// Returns a message with a `Content-Length`.
std::string format_message(const std::string& start_line, const header_list& headers,
                           std::string_view body);

/// Returns a head without any statement of the body's length.
std::string format_head(const std::string& start_line, const header_list& headers);

std::string format_chunk(std::string_view bytes);

} // namespace endivelatch::review
