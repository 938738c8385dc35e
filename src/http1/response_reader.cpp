#include "endivelatch/http1/response_reader.hpp"

#include "endivelatch/http1/head_check.hpp"

#include "header_collector.hpp"
#include "response_head_scanner.hpp"

#include <utility>

#include <http_parser.h>

namespace endivelatch {

namespace {

constexpr int first_final_status = 200;
constexpr int switching_protocols = 101;
constexpr int no_content = 204;
constexpr int not_modified = 304;

/// Interim responses before a final one; more are taken for bytes without end.
constexpr int max_interim_responses = 16;

} // namespace

struct response_reader::parser {
    explicit parser(response_callbacks c) : callbacks{std::move(c)} { start(); }

    /// Resets the state for the next response.
    void start()
    {
        http_parser_init(&state, HTTP_RESPONSE);
        state.data = this;
        begin_head();
        is_complete = false;
        interim_responses = 0;
    }

    /// Discards the head parsed so far.
    void begin_head()
    {
        head = {};
        collector = header_collector{head.headers};
        scanner = {};
        has_head = false;
    }

    bool is_interim() const { return state.status_code < first_final_status; }
    bool has_body() const
    {
        return !to_head_request && !is_interim() && state.status_code != no_content &&
               state.status_code != not_modified;
    }
    void report_head();
    std::size_t feed_part(std::string_view bytes);

    static parser& of(http_parser* p) { return *static_cast<parser*>(p->data); }
    static const http_parser_settings& settings();

    response_callbacks callbacks;
    http_parser state{};
    response_head head;
    header_collector collector{head.headers};
    response_head_scanner scanner;
    int interim_responses = 0;
    bool to_head_request = false;
    bool has_head = false;
    bool is_complete = false;
    bool has_failed = false;
};

void response_reader::parser::report_head()
{
    head.status = static_cast<int>(state.status_code);
    head.keeps_alive = http_should_keep_alive(&state) != 0;
    const bool is_chunked = find_header_ignoring_case(head.headers, "transfer-encoding") != nullptr;
    const bool has_length = find_header_ignoring_case(head.headers, "content-length") != nullptr;
    head.is_close_delimited = has_body() && !is_chunked && !has_length;
    if (has_length && !is_chunked) {
        head.length = state.content_length;
    }
    callbacks.on_head(std::move(head));
}

const http_parser_settings& response_reader::parser::settings()
{
    /// Results of `on_headers_complete` other than zero.
    constexpr int fault = -1;
    constexpr int no_body = 1;
    static const auto all = [] {
        http_parser_settings s{};
        http_parser_settings_init(&s);
        collect_headers<parser>(s);
        s.on_header_field = [](http_parser* p, const char* at, std::size_t n) {
            // http_parser accepts blanks. Names of trailers are checked, too.
            if (!is_token({at, n})) {
                return 1;
            }
            if (!of(p).has_head) {
                of(p).collector.add_name(at, n);
            }
            return 0;
        };
        s.on_headers_complete = [](http_parser* p) {
            auto& it = of(p);
            it.has_head = true;
            if (p->status_code == switching_protocols) {
                return fault; // No request asks for it, and no HTTP follows.
            }
            if (!has_unambiguous_length(it.head.headers)) {
                return fault;
            }
            if (!it.is_interim()) {
                it.report_head();
            }
            return it.has_body() ? 0 : no_body;
        };
        s.on_body = [](http_parser* p, const char* at, std::size_t n) {
            of(p).callbacks.on_body({at, n});
            return 0;
        };
        s.on_message_complete = [](http_parser* p) {
            auto& it = of(p);
            if (it.is_interim()) {
                it.begin_head();
                return ++it.interim_responses > max_interim_responses ? 1 : 0;
            }
            it.is_complete = true;
            http_parser_pause(p, 1);
            return 0;
        };
        return s;
    }();
    return all;
}

response_reader::response_reader(response_callbacks callbacks)
    : parser_{std::make_unique<parser>(std::move(callbacks))}
{
}

response_reader::~response_reader() = default;

/// Feeds the rest of a head or, after the head, all bytes. Returns how many were consumed.
std::size_t response_reader::parser::feed_part(std::string_view bytes)
{
    const auto part = has_head ? bytes : bytes.substr(0, scanner.scan(bytes));
    if (scanner.has_failed()) {
        has_failed = true;
        return 0;
    }
    const auto n = http_parser_execute(&state, &settings(), part.data(), part.size());
    has_failed = !is_complete && (HTTP_PARSER_ERRNO(&state) != HPE_OK || n < part.size());
    return n;
}

std::size_t response_reader::feed(std::string_view bytes)
{
    std::size_t taken = 0;
    while (taken < bytes.size() && !parser_->is_complete && !parser_->has_failed) {
        taken += parser_->feed_part(bytes.substr(taken));
    }
    if (taken > 0 && parser_->is_complete) {
        parser_->callbacks.on_complete();
    }
    return taken;
}

void response_reader::end_of_input()
{
    if (parser_->is_complete || parser_->has_failed) {
        return;
    }
    http_parser_execute(&parser_->state, &parser::settings(), nullptr, 0);
    if (parser_->is_complete) {
        parser_->callbacks.on_complete();
    }
}

bool response_reader::has_failed() const
{
    return parser_->has_failed;
}

bool response_reader::is_complete() const
{
    return parser_->is_complete;
}

void response_reader::next(bool to_head_request)
{
    parser_->start();
    parser_->to_head_request = to_head_request;
}

} // namespace endivelatch
