#include "endivelatch/entry/call_client.hpp"

#include "net/loopback.hpp"
#include "scripted_target.hpp"

#include <chrono>
#include <optional>
#include <string>

#include <gtest/gtest.h>

/// Peers that send bytes without end where an answer is due: in the status line, in a header, in
/// the number of headers, in the framing of chunks, in the body.
namespace endivelatch {
namespace {

/// Larger than any limit of the reader, small enough to be sent at once.
constexpr std::size_t endless = 8'388'608;
/// Time within which the connection must be closed.
constexpr duration close_limit = std::chrono::seconds{2};
constexpr std::string_view chunked_head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

/// Repeats the text up to the size of an endless answer.
std::string repeat(std::string_view text)
{
    std::string all;
    while (all.size() < endless) {
        all += text;
    }
    return all;
}

struct endless_answer : testing::Test {
    /// Calls a peer that answers with the bytes and keeps the connection open. Returns the outcome.
    call_outcome call(const std::string& answer)
    {
        scripted_target peer{loop, [&](int, const request_head&) {
                                 return scripted_target::scripted_response{answer};
                             }};
        std::optional<call_outcome> outcome;
        const auto begins_at = loop.now();
        client.call({peer.address(), "GET", "/", {}, close_limit * 2},
                    [&](call_outcome&& it) { outcome = std::move(it); });
        run_until(loop, [&] { return outcome.has_value(); });
        EXPECT_LT(loop.now() - begins_at, close_limit);
        run_until(loop, [&] { return peer.closed_by_peer == 1; });
        return std::move(*outcome);
    }

    void expect_failure(const std::string& answer)
    {
        EXPECT_TRUE(std::holds_alternative<call_failed>(call(answer)));
    }

    event_loop loop;
    call_client client{loop};
};

TEST_F(endless_answer, in_the_status_line_fails)
{
    expect_failure("HTTP/1.1 200 " + repeat("x"));
}

TEST_F(endless_answer, in_a_header_fails)
{
    expect_failure("HTTP/1.1 200 OK\r\n" + repeat("x"));
    expect_failure("HTTP/1.1 200 OK\r\nX: " + repeat("x"));
}

TEST_F(endless_answer, in_the_number_of_headers_fails)
{
    expect_failure("HTTP/1.1 200 OK\r\n" + repeat("X: y\r\n"));
}

TEST_F(endless_answer, in_the_size_of_a_chunk_fails)
{
    expect_failure(std::string{chunked_head} + repeat("0"));
}

TEST_F(endless_answer, in_the_extension_of_a_chunk_fails)
{
    expect_failure(std::string{chunked_head} + "5;" + repeat("x"));
}

TEST_F(endless_answer, in_the_trailer_fails)
{
    expect_failure(std::string{chunked_head} + "0\r\n" + repeat("X: y\r\n"));
}

TEST_F(endless_answer, with_interim_responses_fails)
{
    expect_failure(repeat("HTTP/1.1 100 Continue\r\n\r\n"));
}

TEST_F(endless_answer, with_a_body_above_the_limit_fails)
{
    const std::string filler(call_client::max_reply_size + 1, 'x');
    const auto outcome = call("HTTP/1.1 200 OK\r\n\r\n" + filler);
    ASSERT_TRUE(std::holds_alternative<call_failed>(outcome));
    EXPECT_EQ(std::get<call_failed>(outcome).reason, "the answer is too large");
}

TEST_F(endless_answer, with_a_body_at_the_limit_is_read)
{
    const std::string body(call_client::max_reply_size, 'x');
    const auto length = std::to_string(body.size());
    const auto outcome = call("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: " + length +
                              "\r\n\r\n" + body);
    ASSERT_TRUE(std::holds_alternative<call_reply>(outcome));
    EXPECT_EQ(std::get<call_reply>(outcome).body.size(), body.size());
}

} // namespace
} // namespace endivelatch
