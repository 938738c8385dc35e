#include "endivelatch/http1/request_reader.hpp"
#include "endivelatch/http1/response_reader.hpp"

#include <array>
#include <optional>
#include <string>
#include <string_view>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

/// Mutated messages, split at random: the parsers never crash, and their output does not depend on
/// how the bytes were split.
namespace endivelatch {
namespace {

constexpr request_limits limits{512, 64};

constexpr std::array<std::string_view, 4> requests{
    "GET /a%2Fb?x=1 HTTP/1.1\r\nHost: h.example\r\nX-One: a\r\n\r\n",
    "POST /p HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabcGET / HTTP/1.1\r\nHost: h\r\n\r\n",
    "POST /p HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
    "PUT /p HTTP/1.1\r\nHost: h\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"};

constexpr std::array<std::string_view, 3> responses{
    "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nX: y\r\n\r\nabHTTP/1.1 204 No Content\r\n\r\n",
    "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
    "2\r\nab\r\n0\r\n\r\n",
    "HTTP/1.1 503 Busy\r\nConnection: close\r\n\r\nuntil the end"};

/// Returns one of the texts with some bytes replaced, duplicated or removed.
template <std::size_t Count>
std::string mutated_text(const std::array<std::string_view, Count>& texts)
{
    std::string text{texts.at(*rc::gen::inRange<std::size_t>(0, Count))};
    constexpr std::string_view delimiters = "\r\n :,;\t\0%0aA";
    const auto mutations = *rc::gen::inRange(0, 4);
    for (int n = 0; n < mutations && !text.empty(); ++n) {
        const auto at = *rc::gen::inRange<std::size_t>(0, text.size());
        switch (*rc::gen::inRange(0, 4)) {
        case 0:
            text[at] = *rc::gen::arbitrary<char>();
            break;
        case 1:
            text[at] = delimiters[*rc::gen::inRange<std::size_t>(0, delimiters.size())];
            break;
        case 2:
            text.insert(at, text.substr(at, *rc::gen::inRange<std::size_t>(1, 12)));
            break;
        default:
            text.erase(at, *rc::gen::inRange<std::size_t>(1, 6));
        }
    }
    return text;
}

/// The result of parsing all bytes of a connection.
struct request_outcome {
    std::string read; ///< Heads and bodies of all requests.
    request_parse_error error = request_parse_error::none;

    friend bool operator==(const request_outcome&, const request_outcome&) = default;
};

/// Feeds the bytes in pieces of up to `max_piece` bytes.
request_outcome read_requests(std::string_view bytes, std::size_t max_piece)
{
    request_reader reader{limits};
    request_outcome outcome;
    while (!bytes.empty() && outcome.error == request_parse_error::none) {
        const auto taken = reader.feed(bytes.substr(0, max_piece));
        bytes.remove_prefix(taken);
        outcome.error = reader.error();
        if (outcome.error == request_parse_error::none && reader.is_complete()) {
            const auto& head = reader.head();
            outcome.read += head.method + ' ' + head.target + '\n';
            for (const auto& it : head.headers) {
                outcome.read += it.name + ':' + it.value + '\n';
            }
            outcome.read += reader.take_body() + '\n';
            reader.next();
        }
    }
    return outcome;
}

struct response_outcome {
    std::string read;
    bool has_failed = false;
};

response_outcome read_responses(std::string_view bytes, std::size_t max_piece)
{
    response_outcome outcome;
    response_reader reader{{[&](response_head&& head) {
                                outcome.read += std::to_string(head.status) + '\n';
                                for (const auto& it : head.headers) {
                                    outcome.read += it.name + ':' + it.value + '\n';
                                }
                            },
                            [&](std::string_view body) { outcome.read += body; },
                            [&] { outcome.read += "\nend\n"; }}};
    while (!bytes.empty() && !reader.has_failed()) {
        bytes.remove_prefix(reader.feed(bytes.substr(0, max_piece)));
        if (!reader.has_failed() && reader.is_complete()) {
            reader.next(false);
        }
    }
    if (!reader.has_failed()) {
        reader.end_of_input();
    }
    outcome.has_failed = reader.has_failed();
    return outcome;
}

RC_GTEST_PROP(request_reader, reads_damaged_requests_alike_however_they_are_cut, ())
{
    const auto bytes = mutated_text(requests);
    const auto max_piece = *rc::gen::inRange<std::size_t>(1, 40);
    RC_ASSERT(read_requests(bytes, max_piece) == read_requests(bytes, bytes.size() + 1));
}

RC_GTEST_PROP(answer_reader, reads_damaged_answers_alike_however_they_are_cut, ())
{
    const auto bytes = mutated_text(responses);
    const auto max_piece = *rc::gen::inRange<std::size_t>(1, 40);
    const auto pieces = read_responses(bytes, max_piece);
    const auto whole = read_responses(bytes, bytes.size() + 1);
    RC_ASSERT(pieces.has_failed == whole.has_failed);
    // Parts of an invalid response may have been reported before the error was found.
    RC_ASSERT(pieces.has_failed || pieces.read == whole.read);
}

} // namespace
} // namespace endivelatch
