#include "endivelatch/http1/request_reader.hpp"

#include "endivelatch/http1/head_check.hpp"

#include "header_collector.hpp"

#include <algorithm>
#include <optional>
#include <utility>

#include <http_parser.h>

namespace endivelatch {

namespace {

constexpr std::string_view head_end = "\r\n\r\n";

/// Returns whether host, path and message length are unambiguous.
bool is_unambiguous(const request_head& head)
{
    const auto& headers = head.headers;
    const auto hosts = std::count_if(headers.begin(), headers.end(), [](const auto& it) {
        return equals_ignoring_case(it.name, "host");
    });
    if (hosts != 1 || !has_unambiguous_length(headers)) {
        return false;
    }
    // Blanks after the value, which `has_unambiguous_length` allows, are refused in requests.
    const auto* coding = find_header_ignoring_case(headers, "transfer-encoding");
    if (coding != nullptr && !equals_ignoring_case(*coding, "chunked")) {
        return false;
    }
    const auto* length = find_header_ignoring_case(headers, "content-length");
    const auto is_digit = [](char c) { return c >= '0' && c <= '9'; };
    if (length != nullptr && !std::all_of(length->begin(), length->end(), is_digit)) {
        return false;
    }
    return !head.target.empty() && head.target.front() == '/';
}

} // namespace

struct request_reader::parser {
    explicit parser(request_limits l) : limits{l} { start(); }

    /// Resets the state for the next request.
    void start()
    {
        http_parser_init(&state, HTTP_REQUEST);
        state.data = this;
        head_bytes.clear();
        head = {};
        collector = header_collector{head.headers};
        std::string{}.swap(body);
        body_bytes = 0;
        announced = 0;
        has_head = false;
        is_complete = false;
        limits = next_limits.value_or(limits);
    }

    std::size_t feed_head(std::string_view bytes);
    std::size_t feed_body(std::string_view bytes);
    void parse_head(std::string_view bytes);
    void append_body(std::string_view bytes);

    static parser& of(http_parser* p) { return *static_cast<parser*>(p->data); }
    static const http_parser_settings& callbacks();

    request_limits limits;
    std::optional<request_limits> next_limits;
    http_parser state{};
    std::string head_bytes;
    request_head head;
    std::string body;
    std::size_t body_bytes = 0; ///< Bytes of the body as received, with the overhead of chunks.
    std::size_t announced = 0;  ///< `Content-Length`, or zero.
    std::size_t head_size = 0;
    bool has_head = false;
    bool is_complete = false;
    header_collector collector{head.headers};
    request_parse_error error = request_parse_error::none;
};

const http_parser_settings& request_reader::parser::callbacks()
{
    static const auto all = [] {
        http_parser_settings s{};
        http_parser_settings_init(&s);
        s.on_url = [](http_parser* p, const char* at, std::size_t n) {
            of(p).head.target.append(at, n);
            return 0;
        };
        collect_headers<parser>(s);
        s.on_headers_complete = [](http_parser* p) {
            auto& it = of(p);
            it.has_head = true;
            it.head.keeps_alive = http_should_keep_alive(p) != 0;
            return 0;
        };
        s.on_body = [](http_parser* p, const char* at, std::size_t n) {
            auto& it = of(p);
            if (it.body.size() + n > it.limits.body) {
                it.error = request_parse_error::body_too_large;
                return 1;
            }
            it.append_body({at, n});
            return 0;
        };
        s.on_message_complete = [](http_parser* p) {
            of(p).is_complete = true;
            http_parser_pause(p, 1);
            return 0;
        };
        return s;
    }();
    return all;
}

/// Appends to the body. The capacity at most doubles and never exceeds what the body may become.
void request_reader::parser::append_body(std::string_view bytes)
{
    const auto size = body.size() + bytes.size();
    if (size > body.capacity()) {
        const auto most = std::max(size, announced > 0 ? announced : limits.body);
        std::string larger; // The capacity of `body` itself could only be doubled.
        larger.reserve(std::min(most, std::max(size, body.capacity() * 2)));
        larger.append(body);
        body.swap(larger);
    }
    body.append(bytes);
}

std::size_t request_reader::parser::feed_head(std::string_view bytes)
{
    std::size_t skipped = 0;
    while (head_bytes.empty() && bytes.substr(0, 2) == "\r\n") {
        bytes.remove_prefix(2); // Empty lines before a request are allowed (RFC 9112, section 2.2).
        skipped += 2;
    }
    const auto known = head_bytes.size();
    if (known == 0) {
        const auto end = bytes.find(head_end);
        if (end != std::string_view::npos && end + head_end.size() <= limits.head) {
            const auto head_of_bytes = bytes.substr(0, end + head_end.size());
            parse_head(head_of_bytes);
            return skipped + head_of_bytes.size();
        }
    }
    // What exceeds the limit is not copied.
    bytes = bytes.substr(0, limits.head + 1 - known);
    head_bytes.append(bytes);
    const auto from = known < head_end.size() ? 0 : known - head_end.size();
    const auto end = head_bytes.find(head_end, from);
    const auto size = end == std::string::npos ? head_bytes.size() : end + head_end.size();
    if (size > limits.head) {
        error = request_parse_error::head_too_large;
        return 0;
    }
    if (end == std::string::npos) {
        return skipped + bytes.size();
    }
    head_bytes.resize(size);
    parse_head(head_bytes);
    std::string{}.swap(head_bytes);
    return skipped + size - known;
}

void request_reader::parser::parse_head(std::string_view bytes)
{
    if (!is_strict_head(bytes)) {
        error = request_parse_error::malformed;
        return;
    }
    const auto n = http_parser_execute(&state, &callbacks(), bytes.data(), bytes.size());
    const auto parser_errno = HTTP_PARSER_ERRNO(&state);
    if ((parser_errno != HPE_OK && parser_errno != HPE_PAUSED) || !has_head || n != bytes.size()) {
        error = request_parse_error::malformed;
        return;
    }
    head_size = bytes.size();
    head.method = http_method_str(static_cast<http_method>(state.method));
    head.is_chunked = find_header_ignoring_case(head.headers, "transfer-encoding") != nullptr;
    const auto* length = find_header_ignoring_case(head.headers, "content-length");
    if (!is_unambiguous(head)) {
        error = request_parse_error::malformed;
    }
    else if (length != nullptr && !is_complete && state.content_length > limits.body) {
        error = request_parse_error::body_too_large;
    }
    else if (length != nullptr && !is_complete) {
        announced = state.content_length;
    }
}

std::size_t request_reader::parser::feed_body(std::string_view bytes)
{
    const auto n = http_parser_execute(&state, &callbacks(), bytes.data(), bytes.size());
    const auto parser_errno = HTTP_PARSER_ERRNO(&state);
    body_bytes += n;
    if (is_complete) {
        return n;
    }
    if (parser_errno != HPE_OK && error == request_parse_error::none) {
        error = request_parse_error::malformed;
    }
    const auto overhead = body_bytes - body.size();
    if (overhead > free_chunk_overhead + body.size() * chunk_overhead_per_byte) {
        error = request_parse_error::body_too_large;
    }
    return n;
}

request_reader::request_reader(request_limits limits) : parser_{std::make_unique<parser>(limits)} {}

request_reader::~request_reader() = default;
request_reader::request_reader(request_reader&&) noexcept = default;
request_reader& request_reader::operator=(request_reader&&) noexcept = default;

std::size_t request_reader::feed(std::string_view bytes)
{
    std::size_t taken = 0;
    while (taken < bytes.size() && !is_complete() && error() == request_parse_error::none) {
        const auto rest = bytes.substr(taken);
        taken += has_head() ? parser_->feed_body(rest) : parser_->feed_head(rest);
    }
    return taken;
}

bool request_reader::has_started() const
{
    return parser_->has_head || !parser_->head_bytes.empty();
}

bool request_reader::has_head() const
{
    return parser_->has_head;
}

bool request_reader::is_complete() const
{
    return parser_->is_complete;
}

request_parse_error request_reader::error() const
{
    return parser_->error;
}

const request_head& request_reader::head() const
{
    return parser_->head;
}

std::size_t request_reader::payload() const
{
    return parser_->body.size();
}

std::size_t request_reader::announced() const
{
    return parser_->announced;
}

std::size_t request_reader::held() const
{
    const auto& it = *parser_;
    if (!it.has_head) {
        return it.head_bytes.empty() ? 0 : it.head_bytes.capacity();
    }
    const auto headers = it.head.headers.size() * sizeof(http_header);
    return it.head_size + headers + std::max(it.body.size(), it.announced);
}

request_head request_reader::take_head()
{
    return std::move(parser_->head);
}

std::string request_reader::take_body()
{
    return std::move(parser_->body);
}

void request_reader::next()
{
    parser_->start();
}

void request_reader::set_limits(request_limits limits)
{
    parser_->next_limits = limits;
}

} // namespace endivelatch
