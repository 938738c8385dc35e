#include "endivelatch/http1/message_writer.hpp"
#include "endivelatch/http1/response_reader.hpp"

#include <optional>
#include <string>
#include <string_view>

#include <gtest/gtest.h>

namespace endivelatch {
namespace {

/// Records the callbacks of a reader.
struct recorder {
    std::optional<response_head> head;
    std::string body;
    int completed = 0;
    response_reader reader{{[this](response_head&& h) { head = std::move(h); },
                            [this](std::string_view bytes) { body += bytes; },
                            [this] { ++completed; }}};
};

TEST(answer_reader, reads_by_content_length_and_leaves_the_next_response)
{
    recorder it;
    const std::string_view bytes =
        "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nabHTTP/1.1 500 X\r\n";
    EXPECT_EQ(it.reader.feed(bytes), bytes.find("HTTP/1.1 500"));
    EXPECT_EQ(it.completed, 1);
    EXPECT_EQ(it.body, "ab");
    EXPECT_EQ(it.head->length, 2U);
    EXPECT_TRUE(it.head->keeps_alive);
}

TEST(answer_reader, skips_interim_responses)
{
    recorder it;
    it.reader.feed("HTTP/1.1 100 Continue\r\nA: b\r\n\r\nHTTP/1.1 204 No Content\r\n\r\n");
    EXPECT_EQ(it.completed, 1);
    EXPECT_EQ(it.head->status, 204);
    EXPECT_TRUE(it.head->headers.empty());
    EXPECT_FALSE(it.head->is_close_delimited);
}

TEST(answer_reader, fails_on_interim_responses_without_end)
{
    recorder it;
    std::string bytes;
    for (int n = 0; n < 100; ++n) {
        bytes += "HTTP/1.1 100 Continue\r\n\r\n";
    }
    it.reader.feed(bytes);
    EXPECT_TRUE(it.reader.has_failed());
}

TEST(answer_reader, response_without_length_ends_when_the_connection_closes)
{
    recorder it;
    it.reader.feed("HTTP/1.1 200 OK\r\n\r\nabc");
    EXPECT_TRUE(it.head->is_close_delimited);
    EXPECT_EQ(it.completed, 0);
    it.reader.end_of_input();
    EXPECT_EQ(it.completed, 1);
    EXPECT_EQ(it.body, "abc");
}

TEST(answer_reader, truncated_response_is_not_complete)
{
    for (const std::string_view bytes : {"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nabc",
                                         "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                                         "3\r\nabc\r\n"}) {
        recorder it;
        it.reader.feed(bytes);
        it.reader.end_of_input();
        EXPECT_EQ(it.completed, 0) << bytes;
    }
}

TEST(answer_reader, fails_on_bytes_that_are_not_http)
{
    recorder it;
    it.reader.feed("\x01\x02garbage\r\n\r\n");
    EXPECT_TRUE(it.reader.has_failed());
    EXPECT_FALSE(it.head);
}

TEST(answer_reader, response_to_head_request_has_no_body)
{
    recorder it;
    it.reader.next(true);
    it.reader.feed("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n");
    EXPECT_EQ(it.completed, 1);
}

/// Whether a reader reported a head, and the end of the response.
struct reading {
    bool has_head = false;
    bool is_complete = false;

    friend bool operator==(const reading&, const reading&) = default;
};

/// Reads a response and checks that the result does not depend on how its bytes are split in two.
reading read(const std::string& bytes)
{
    std::optional<reading> first;
    for (std::size_t n = 0; n < bytes.size(); ++n) {
        recorder it;
        it.reader.feed(std::string_view{bytes}.substr(0, n));
        it.reader.feed(std::string_view{bytes}.substr(n));
        it.reader.end_of_input();
        const reading result{it.head.has_value(), it.completed == 1};
        EXPECT_EQ(first.value_or(result), result) << bytes;
        first = result;
    }
    return first.value_or(reading{});
}

constexpr reading no_response{};
constexpr reading whole_response{true, true};

TEST(answer_reader, fails_on_an_invalid_status_line)
{
    const std::string rest = "\r\nContent-Length: 2\r\n\r\nok";
    for (const std::string line :
         {"HTTP/1.1 000 X", "HTTP/1.1 099 X", "HTTP/1.1 600 X", "HTTP/1.1 999 X", "HTTP/1.1 20 X",
          "HTTP/1.1 0200 X", "HTTP/1.1 2000 X", "HTTP/1.1 200OK", "HTTP/1.1 2 0 OK",
          "HTTP/1.1  200 OK", "HTTP/2.0 200 OK", "HTTP/0.9 200 OK", "HTTP/1.10 200 OK"}) {
        EXPECT_EQ(read(line + rest), no_response) << line;
    }
    for (const std::string line : {"HTTP/1.1 200 OK", "HTTP/1.1 200 ", "HTTP/1.1 200",
                                   "HTTP/1.0 599 \x80", "\r\nHTTP/1.1 200 OK"}) {
        EXPECT_EQ(read(line + rest), whole_response) << line;
    }
}

TEST(answer_reader, fails_on_an_unrequested_change_of_the_protocol)
{
    EXPECT_EQ(read("HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: x\r\n\r\n"
                   "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"),
              no_response);
}

/// Returns a response with the header line, and another one before it if given.
std::string response_with(const std::string& line, const std::string& before = {})
{
    return "HTTP/1.1 200 OK\r\n" + before + line + "\r\nContent-Length: 2\r\n\r\nok";
}

/// Returns a response after an interim one with the header line.
std::string interim_response_with(const std::string& line)
{
    return "HTTP/1.1 102 Processing\r\n" + line +
           "\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
}

TEST(answer_reader, fails_on_an_invalid_header)
{
    for (const std::string line :
         {"X Y: z", "X : z", "X\t: z", " X: z", "\tX: z", "X\x01Y: z", "X\x7fY: z", "X\x80: z",
          "X: a\x01z", ": z", "X", "Content-Length : 1", "Transfer-Encoding : chunked"}) {
        EXPECT_EQ(read(response_with(line)), no_response) << line;
        EXPECT_EQ(read(response_with(line, "A: b\r\n")), no_response) << line;
        EXPECT_EQ(read(interim_response_with(line)), no_response) << line;
    }
    EXPECT_EQ(read(response_with("X-!#$%&'*+.^_`|~9:  a\tb \x80 \r\nEmpty:")), whole_response);
}

TEST(answer_reader, fails_on_an_invalid_trailer_name)
{
    for (const std::string line : {"X Y: z", "X : z", " X: z", "X\x01Y: z", ": z", "X"}) {
        EXPECT_FALSE(read("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n" +
                          line + "\r\n\r\n")
                         .is_complete)
            << line;
    }
}

// The body was passed on coded, or with a length that it did not have.
TEST(answer_reader, fails_on_an_ambiguous_length)
{
    for (const std::string headers :
         {"Transfer-Encoding: gzip", "Transfer-Encoding: gzip, chunked",
          "Transfer-Encoding: chunked, gzip", "Transfer-Encoding: identity",
          "Transfer-Encoding: ", "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked",
          "Transfer-Encoding: chunked\r\nContent-Length: 2",
          "Content-Length: 2\r\nTransfer-Encoding: chunked",
          "Content-Length: ", "Content-Length: +2", "Content-Length: -2", "Content-Length: 2, 2",
          "Content-Length: 2\r\nContent-Length: 2", "Content-Length: 2\r\nContent-Length: 3",
          "Content-Length: 99999999999999999999"}) {
        EXPECT_EQ(read("HTTP/1.1 200 OK\r\n" + headers + "\r\n\r\n2\r\nok\r\n0\r\n\r\n"),
                  no_response)
            << headers;
    }
    EXPECT_EQ(read("HTTP/1.1 200 OK\r\nTransfer-Encoding: Chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"),
              whole_response);
}

// The bytes after the head of an interim response belong to the next response.
TEST(answer_reader, responses_without_a_body_end_with_their_head)
{
    const std::string rest = "abc";
    for (const std::string line : {"Content-Length: 3", "Transfer-Encoding: chunked"}) {
        recorder it;
        it.reader.feed(interim_response_with(line));
        EXPECT_EQ(it.body, "ok") << line;
        EXPECT_EQ(it.completed, 1) << line;
        for (std::string head : {"HTTP/1.1 204 No Content\r\n", "HTTP/1.1 304 Not Modified\r\n"}) {
            recorder empty;
            head.append(line).append("\r\n\r\n");
            EXPECT_EQ(empty.reader.feed(head + rest), head.size()) << head;
            EXPECT_EQ(empty.completed, 1) << head;
            EXPECT_EQ(empty.body, "") << head;
        }
    }
}

TEST(message_writer, removes_hop_by_hop_headers)
{
    http_headers headers{{"Connection", "close, X-Hop"},
                         {"x-hop", "1"},
                         {"Keep-Alive", "5"},
                         {"TE", "trailers"},
                         {"A", "b"},
                         {"Content-Length", "3"}};
    remove_hop_by_hop(headers);
    EXPECT_EQ(headers, (http_headers{{"A", "b"}}));
}

TEST(message_writer, writes_chunks_in_hexadecimal)
{
    std::string out;
    append_chunk(out, std::string(26, 'x'));
    append_chunk(out, "");
    EXPECT_EQ(out, "1a\r\n" + std::string(26, 'x') + "\r\n");
}

} // namespace
} // namespace endivelatch
