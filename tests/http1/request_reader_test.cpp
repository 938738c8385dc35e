#include "endivelatch/http1/request_reader.hpp"

#include <string>
#include <string_view>
#include <vector>

#include <gtest/gtest.h>

namespace endivelatch {
namespace {

constexpr request_limits small_limits{512, 64};

request_parse_error parse_error_of(std::string_view bytes)
{
    request_reader reader{small_limits};
    reader.feed(bytes);
    return reader.error();
}

TEST(request_reader, preserves_the_bytes_of_path_query_and_headers)
{
    request_reader reader{small_limits};
    const std::string_view bytes = "GET /a%2Fb/../c?x=%41&x= HTTP/1.1\r\nHost: H.example:80\r\n"
                                   "X-One: a\r\nx-one:\r\n\r\n";
    EXPECT_EQ(reader.feed(bytes), bytes.size());
    ASSERT_TRUE(reader.is_complete());
    EXPECT_EQ(reader.head().method, "GET");
    EXPECT_EQ(reader.head().target, "/a%2Fb/../c?x=%41&x=");
    const http_headers expected{{"Host", "H.example:80"}, {"X-One", "a"}, {"x-one", ""}};
    EXPECT_EQ(reader.head().headers, expected);
    EXPECT_TRUE(reader.head().keeps_alive);
}

TEST(request_reader, parses_byte_by_byte_and_leaves_the_next_request_unread)
{
    const std::string first = "POST /p HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc";
    const std::string second = "GET /q HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n";
    request_reader reader{small_limits};
    for (const char it : first) {
        EXPECT_EQ(reader.feed({&it, 1}), 1U);
    }
    ASSERT_TRUE(reader.is_complete());
    EXPECT_EQ(reader.take_body(), "abc");
    reader.next();
    const auto both = first + second;
    EXPECT_EQ(reader.feed(both), first.size());
    reader.next();
    EXPECT_EQ(reader.feed(second), second.size());
    ASSERT_TRUE(reader.is_complete());
    EXPECT_EQ(reader.head().target, "/q");
    EXPECT_FALSE(reader.head().keeps_alive);
}

TEST(request_reader, joins_chunks_and_drops_trailers)
{
    request_reader reader{small_limits};
    const std::string bytes = "POST /p HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
                              "3\r\nabc\r\n2;x=y\r\nde\r\n0\r\nAuthorization: Token k\r\n\r\n";
    EXPECT_EQ(reader.feed(bytes), bytes.size());
    ASSERT_TRUE(reader.is_complete());
    EXPECT_TRUE(reader.head().is_chunked);
    EXPECT_EQ(reader.take_body(), "abcde");
    EXPECT_EQ(find_header_ignoring_case(reader.head().headers, "authorization"), nullptr);
}

TEST(request_reader, rejects_ambiguous_requests)
{
    const std::vector<std::string> requests{
        "POST /p HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n",
        "POST /p HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabcd",
        "POST /p HTTP/1.1\r\nHost: h\r\nContent-Length: 3, 3\r\n\r\nabc",
        "POST /p HTTP/1.1\r\nHost: h\r\nContent-Length : 3\r\n\r\nabc",
        "POST /p HTTP/1.1\r\nHost: h\r\nContent-Length: +3\r\n\r\nabc",
        "POST /p HTTP/1.1\r\nHost: h\r\nContent-Length: -3\r\n\r\nabc",
        "POST /p HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
        "POST /p HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: unknown\r\n\r\n",
        "POST /p HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\nxyz\r\n",
        "GET /p HTTP/1.1\r\nHost: h\r\nA: b\r\n c\r\n\r\n",
        "GET /p HTTP/1.1\r\nHost: h\r\nA b: c\r\n\r\n",
        "GET /p HTTP/1.1\r\nHost: h\nA: b\r\n\r\n",
        "GET /p HTTP/1.1\nHost: h\n\r\n\r\n",
        "GET /p HTTP/1.1\r\nHost: h\r\nHost: i\r\n\r\n",
        "GET /p HTTP/1.1\r\nA: b\r\n\r\n",
        "GET http://h/p HTTP/1.1\r\nHost: h\r\n\r\n",
        "CONNECT h:80 HTTP/1.1\r\nHost: h\r\n\r\n",
        "GET /p HTTP/1.1\r\nHost: h\r\n: b\r\n\r\n",
        "nonsense\r\n\r\n",
    };
    for (const auto& it : requests) {
        EXPECT_EQ(parse_error_of(it), request_parse_error::malformed) << it;
    }
}

TEST(request_reader, enforces_limits_of_head_and_body)
{
    const std::string long_head = "GET /p HTTP/1.1\r\nHost: h\r\nA: " + std::string(600, 'x');
    EXPECT_EQ(parse_error_of(long_head), request_parse_error::head_too_large);
    EXPECT_EQ(parse_error_of("POST /p HTTP/1.1\r\nHost: h\r\nContent-Length: 65\r\n\r\n"),
              request_parse_error::body_too_large);
    EXPECT_EQ(
        parse_error_of("POST /p HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n41\r\n" +
                       std::string(65, 'x')),
        request_parse_error::body_too_large);
}

TEST(request_reader, new_limits_apply_from_the_next_request)
{
    request_reader reader{small_limits};
    const std::string request = "POST /p HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc";
    reader.feed(request.substr(0, 5));
    reader.set_limits({512, 2});
    reader.feed(request.substr(5));
    EXPECT_TRUE(reader.is_complete());
    reader.next();
    reader.feed(request);
    EXPECT_EQ(reader.error(), request_parse_error::body_too_large);
}

TEST(request_reader, refuses_chunks_whose_overhead_has_no_end)
{
    request_reader reader{request_limits{}};
    reader.feed("POST /p HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n");
    const auto piece = "1;" + std::string(1'000, 'e') + "\r\nx\r\n";
    std::size_t fed = 0;
    while (reader.error() == request_parse_error::none && fed < 4 * free_chunk_overhead) {
        fed += reader.feed(piece);
    }
    EXPECT_EQ(reader.error(), request_parse_error::body_too_large);
    EXPECT_GE(fed, free_chunk_overhead);
}

TEST(request_reader, takes_the_largest_body_in_chunks_of_one_byte)
{
    constexpr std::size_t size = 4'194'304;
    request_reader reader{request_limits{}};
    reader.feed("POST /p HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n");
    std::string block;
    for (int n = 0; n < 4'096; ++n) {
        block += "1\r\nx\r\n";
    }
    for (std::size_t n = 0; n < size / 4'096; ++n) {
        ASSERT_EQ(reader.feed(block), block.size());
    }
    EXPECT_EQ(reader.payload(), size);
    reader.feed("0\r\n\r\n");
    ASSERT_TRUE(reader.is_complete());
    const auto body = reader.take_body();
    EXPECT_EQ(body.size(), size);
    EXPECT_LE(body.capacity(), size);
}

TEST(request_reader, states_what_a_request_holds)
{
    request_reader reader{request_limits{}};
    const std::string head = "POST /p HTTP/1.1\r\nHost: h\r\nContent-Length: 1000\r\n\r\n";
    EXPECT_EQ(reader.held(), 0U);
    reader.feed(head + "x");
    EXPECT_EQ(reader.announced(), 1'000U);
    EXPECT_EQ(reader.payload(), 1U);
    EXPECT_EQ(reader.held(), head.size() + 2 * sizeof(http_header) + 1'000);
}

} // namespace
} // namespace endivelatch
