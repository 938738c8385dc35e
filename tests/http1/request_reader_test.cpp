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

} // namespace
} // namespace endivelatch
