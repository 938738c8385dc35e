#include "fleet.hpp"
#include "response_check.hpp"

#include <gtest/gtest.h>

namespace endivelatch::failures {
namespace {

TEST(bad_input, is_rejected_with_a_specific_error_and_later_requests_succeed)
{
    fleet f;
    ASSERT_TRUE(f.wait_until_ready());
    const auto valid_request = f.chat_request(1, 2, "good");
    struct bad_case {
        std::string name;
        test_request request;
        int status;
        std::string expected_in_body;
    };
    auto with_body = [&](const std::string& body) {
        auto request = valid_request;
        request.body = body;
        return request;
    };
    auto with_header = [&](const std::string& name, const std::string& value) {
        auto request = valid_request;
        request.headers[name] = value;
        return request;
    };
    auto with_path = [&](const std::string& method, const std::string& path) {
        auto request = valid_request;
        request.method = method;
        request.url = f.router_url(1) + path;
        return request;
    };
    auto no_key = f.booking_request(1, "", "{}");
    no_key.headers.erase("idempotency-key");
    const std::string messages = R"(,"messages":[{"role":"user","content":"x"}]})";
    const std::vector<bad_case> cases{
        {"malformed JSON", with_body("{"), 400, "JSON"},
        {"several faults", with_body(R"({"stream":1,"max_tokens":0})"), 400, "/max_tokens"},
        {"unknown model", with_body(R"({"model":"none")" + messages), 400, "none"},
        {"wrong content type", with_header("content-type", "text/plain"), 415, "content-type"},
        {"bad key", with_header("authorization", "Bearer nonsense"), 401, "authorization"},
        {"long chat name", with_header("x-endivelatch-chat", std::string(200, 'c')), 400, "128"},
        {"large body", with_body(std::string(5'000'000, ' ')), 413, ""},
        {"wrong method", with_path("GET", "/v1/chat/completions"), 405, "POST"},
        {"unknown path", with_path("GET", "/v2"), 404, "/v2"},
        {"service not allowed for the organisation", with_path("GET", "/v1/services/other/x"), 403,
         "other"},
        {"unknown request", with_path("GET", "/v1/requests/x/events"), 404, "request"},
        {"caller key at the administration API", with_path("GET", "/admin/v1/status"), 401,
         "operator"},
        {"booking without key", no_key, 400, "idempotency-key"},
        {"malformed booking key", f.booking_request(1, "no-time", "{}"), 400, "no-time"},
    };
    for (const auto& it : cases) {
        const auto response = f.http.send_and_wait(it.request);
        EXPECT_EQ(response.status, it.status) << it.name << ": " << response.body;
        EXPECT_NE(response.body.find(it.expected_in_body), std::string::npos)
            << it.name << ": " << response.body;
    }
    EXPECT_EQ(reported_outcome(f.http.send_and_wait(valid_request)), "complete");
}

} // namespace
} // namespace endivelatch::failures
