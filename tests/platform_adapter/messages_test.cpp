#include "platform/protocol.hpp"

#include <string>

#include <gtest/gtest.h>

namespace endivelatch {
namespace {

using platform::protocol;

request_head make_request_head(http_headers headers)
{
    request_head head;
    head.method = "POST";
    head.target = "/a%20/b?c";
    head.headers = {{"Host", "Some.Example:80"}, {"Endivelatch-Attempt-Id", "9c41"}};
    head.headers.insert(head.headers.end(), headers.begin(), headers.end());
    return head;
}

caller_request read_request_with(http_headers headers, std::string body = {})
{
    auto request = protocol::read_request(make_request_head(std::move(headers)), std::move(body));
    return std::get<caller_request>(std::move(request));
}

TEST(platform_messages, reads_the_headers_of_a_model_request)
{
    const auto request =
        read_request_with({{"Endivelatch-Token-Usage", "1460,80"},
                           {"Endivelatch-Prefix-Hash", "5c1e07a2:800,91bd3f06:410"},
                           {"Endivelatch-Deadline-Ms", "6000"},
                           {"Last-Event-Id", "7"},
                           {"authorization", "token abc"}});
    EXPECT_EQ(request.id.str(), "9c41");
    EXPECT_EQ(request.host, "some.example");
    EXPECT_EQ(request.path(), "/a%20/b");
    EXPECT_EQ(request.timeout, std::chrono::seconds{6});
    EXPECT_EQ(request.api_key, "abc");
    EXPECT_EQ(request.last_event_id, 7U);
    ASSERT_TRUE(request.prompt);
    EXPECT_EQ(request.prompt->tokens, 1460U);
    EXPECT_EQ(request.prompt->output_limit, 80U);
    ASSERT_EQ(request.prompt->parts.size(), 2U);
    EXPECT_EQ(request.prompt->parts[1].id, 0x91bd3f06U);
    EXPECT_EQ(request.prompt->parts[1].tokens, 410U);
}

TEST(platform_messages, rejects_a_request_without_an_identifier_or_with_a_malformed_deadline)
{
    request_head head;
    head.headers = {{"Host", "h"}};
    EXPECT_FALSE(has_value(protocol::read_request(std::move(head), {})));
    EXPECT_FALSE(has_value(
        protocol::read_request(make_request_head({{"Endivelatch-Deadline-Ms", "soon"}}), {})));
}

TEST(platform_messages, does_not_forward_headers_that_callers_may_not_set)
{
    const auto request = read_request_with({{"Endivelatch-Model", "m"},
                                            {"X-Own", "1"},
                                            {"Connection", "X-Hop"},
                                            {"X-Hop", "1"},
                                            {"Endivelatch-Tenant", "forged"},
                                            {"Endivelatch-Expected-Instance", "forged"},
                                            {"Endivelatch-Request-Priority", "0"},
                                            {"Endivelatch-Retention", "forged"},
                                            {"Endivelatch-Pin-Ms", "1"},
                                            {"endivelatch-kv-backup", "forged"},
                                            {"Kv-From", "forged"},
                                            {"Kv-Fetch", "forged"},
                                            {"Authorization", "Token abc"}});
    attempt_parameters parameters;
    parameters.expected_target = target_id{"i-1"};
    parameters.organisation = organisation_id{"org"};
    parameters.time_left = std::chrono::milliseconds{1'234};
    const auto text = protocol::write_request_head(request, parameters);
    EXPECT_TRUE(text.starts_with("POST /a%20/b?c HTTP/1.1\r\n"));
    for (const char* part :
         {"Host: Some.Example:80\r\n", "Endivelatch-Model: m\r\n", "X-Own: 1\r\n",
          "Endivelatch-Tenant: org\r\n", "Endivelatch-Attempt-Id: 9c41\r\n",
          "Endivelatch-Expected-Instance: i-1\r\n", "Endivelatch-Deadline-Ms: 1234\r\n"}) {
        EXPECT_NE(text.find(part), std::string::npos) << part;
    }
    for (const char* part : {"forged", "abc", "X-Hop", "Pin-Ms", "Request-Priority"}) {
        EXPECT_EQ(text.find(part), std::string::npos) << part;
    }
}

TEST(platform_messages, writes_the_body_unchanged_with_its_content_length)
{
    auto head = make_request_head({});
    head.is_chunked = true;
    const auto chunked =
        std::get<caller_request>(protocol::read_request(std::move(head), std::string{"ab\r\n"}));
    const auto text = protocol::write_request_head(chunked, {});
    EXPECT_TRUE(text.ends_with("Content-Length: 4\r\n\r\n"));
    EXPECT_EQ(chunked.body, "ab\r\n");
    EXPECT_EQ(protocol::write_request_head(read_request_with({}), {}).find("Content-Length"),
              std::string::npos);
}

TEST(platform_messages, reads_the_headers_of_a_response)
{
    response_head head;
    head.status = 200;
    head.is_close_delimited = true;
    head.headers = {{"Endivelatch-Attempt-Id", "9c41"},
                    {"Endivelatch-Response-Signature", "s"},
                    {"Endivelatch-Instance-Load", "3,1,8"},
                    {"Connection", "close"},
                    {"Content-Type", "text/plain"}};
    const auto response = protocol::read_answer(std::move(head));
    EXPECT_EQ(response.answered_attempt.str(), "9c41");
    EXPECT_TRUE(response.is_signed);
    EXPECT_TRUE(response.ends_with_connection);
    EXPECT_FALSE(response.states_not_run);
    ASSERT_TRUE(response.load);
    EXPECT_EQ(response.load->running, 3U);
    EXPECT_EQ(response.load->waiting, 1U);
    const http_headers expected{{"Endivelatch-Attempt-Id", "9c41"},
                                {"Endivelatch-Response-Signature", "s"},
                                {"Content-Type", "text/plain"}};
    EXPECT_EQ(response.headers, expected);
}

TEST(platform_messages, reads_a_load_of_three_or_more_figures)
{
    const auto read = [](const std::string& value) {
        response_head head;
        head.status = 200;
        head.headers = {{"Endivelatch-Instance-Load", value}};
        return protocol::read_answer(std::move(head)).load;
    };
    EXPECT_FALSE(read("3,1,8")->slowdown);
    EXPECT_DOUBLE_EQ(*read("3, 1, 8, 250")->slowdown, 2.5);
    EXPECT_DOUBLE_EQ(*read("3,1,8,87.5,7")->slowdown, 0.875);
    EXPECT_FALSE(read("3,1"));
    for (const auto* slowdown : {"", "0", "-100", "nan", "inf", "1e999", "fast", "1", "99999999"}) {
        const auto load = read("3,1,8," + std::string{slowdown});
        ASSERT_TRUE(load) << slowdown;
        EXPECT_EQ(load->running, 3U) << slowdown;
        EXPECT_EQ(load->waiting, 1U) << slowdown;
        EXPECT_EQ(load->slots, 8U) << slowdown;
        EXPECT_FALSE(load->slowdown) << slowdown;
    }
}

TEST(platform_messages, reads_the_rate_limit_of_a_target)
{
    const auto read = [](const std::string& value) {
        response_head head;
        head.status = 200;
        head.headers = {{"Server-Limit", value}};
        return protocol::read_answer(std::move(head));
    };
    EXPECT_EQ(read("2.5").request_limit, request_rate{2.5});
    EXPECT_EQ(read("0").request_limit, request_rate{0});
    EXPECT_TRUE(read("2.5").headers.empty());
    for (const auto* value : {"", "-1", "abc", "2,5", "nan", "inf", "1e999"}) {
        EXPECT_TRUE(read(value).states_limit) << value;
        EXPECT_FALSE(read(value).request_limit) << value;
    }
    EXPECT_FALSE(protocol::read_answer({}).states_limit);
}

TEST(platform_messages, reads_how_long_a_target_wants_no_request)
{
    const auto read = [](const std::string& value, int status = 503) {
        response_head head;
        head.status = status;
        head.headers = {{"Retry-After", value}};
        return protocol::read_answer(std::move(head)).pause;
    };
    EXPECT_EQ(read("2"), std::chrono::seconds{2});
    EXPECT_EQ(read("0.25"), std::chrono::milliseconds{250});
    EXPECT_TRUE(read("1e300"));
    EXPECT_FALSE(read("2", 200));
    for (const auto* value : {"", "0", "-1", "nan", "soon", "Fri, 31 Dec 1999 23:59:59 GMT"}) {
        EXPECT_FALSE(read(value)) << value;
    }
}

TEST(platform_messages, reads_how_long_a_target_is_cold)
{
    const auto read = [](const std::string& value) {
        response_head head;
        head.status = 200;
        head.headers = {{"Endivelatch-Cold-Start-Ms", value}};
        return platform::protocol::read_answer(std::move(head)).cold_left;
    };
    EXPECT_EQ(read("1700"), std::chrono::milliseconds{1'700});
    EXPECT_EQ(read("0"), duration{});
    for (const char* odd : {"", "-1", "soon", "1.5 s", "99999999999"}) {
        EXPECT_EQ(read(odd), std::nullopt) << odd;
    }
}

TEST(platform_messages, reads_that_a_target_leaves)
{
    const auto read = [](const std::string& value) {
        response_head head;
        head.status = 200;
        head.headers = {{"Server-Leaving", value}};
        return protocol::read_answer(std::move(head));
    };
    EXPECT_TRUE(read("1").states_leaving);
    EXPECT_TRUE(read("1").headers.empty());
    EXPECT_FALSE(read("0").states_leaving);
    EXPECT_FALSE(read("").states_leaving);
}

TEST(platform_messages, recognises_responses_to_requests_that_were_not_run)
{
    response_head refusal_response;
    refusal_response.status = 503;
    refusal_response.headers = {{"Endivelatch-Not-Executed", "1"}};
    EXPECT_TRUE(protocol::read_answer(std::move(refusal_response)).states_not_run);
    response_head misdirected;
    misdirected.status = 421;
    EXPECT_TRUE(protocol::read_answer(std::move(misdirected)).states_not_run);
    response_head failed;
    failed.status = 503;
    EXPECT_FALSE(protocol::read_answer(std::move(failed)).states_not_run);
}

TEST(platform_messages, reads_entry_queries_and_writes_their_responses)
{
    const auto query = protocol::read_entry_query("/-/resolve?Name=h.example&Region=r&Zone=z");
    ASSERT_TRUE(query);
    EXPECT_EQ(query->host, "h.example");
    EXPECT_EQ(query->domain.str(), "z");
    EXPECT_FALSE(protocol::read_entry_query("/-/other"));
    EXPECT_EQ(protocol::write_entry_list({{"10.0.0.1", 80}}, std::chrono::milliseconds{1'500}),
              R"({"Addresses":["10.0.0.1:80"],"TtlS":1.5})");
    refuse_request refusal;
    refusal.retry_after = std::chrono::milliseconds{300};
    EXPECT_EQ(protocol::refusal_headers(refusal), (http_headers{{"Retry-After", "0.300"}}));
}

} // namespace
} // namespace endivelatch
