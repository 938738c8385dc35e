#include "fleet.hpp"
#include "response_check.hpp"

#include <gtest/gtest.h>

namespace endivelatch::failures {
namespace {

TEST(bad_input, is_refused_with_a_clear_error_and_harms_nothing)
{
    fleet f;
    ASSERT_TRUE(f.wait_until_ready());
    const auto good = f.chat(1, 2, "good");
    struct bad_case {
        std::string name;
        http_question question;
        int status;
        std::string named_in_body;
    };
    auto changed = [&](const std::string& body) {
        auto question = good;
        question.body = body;
        return question;
    };
    auto with_header = [&](const std::string& name, const std::string& value) {
        auto question = good;
        question.headers[name] = value;
        return question;
    };
    auto at_path = [&](const std::string& method, const std::string& path) {
        auto question = good;
        question.method = method;
        question.url = f.router_url(1) + path;
        return question;
    };
    auto no_key = f.booking(1, "", "{}");
    no_key.headers.erase("idempotency-key");
    const std::string messages = R"(,"messages":[{"role":"user","content":"x"}]})";
    const std::vector<bad_case> cases{
        {"malformed JSON", changed("{"), 400, "JSON"},
        {"several faults", changed(R"({"stream":1,"max_tokens":0})"), 400, "/max_tokens"},
        {"unknown model", changed(R"({"model":"none")" + messages), 400, "none"},
        {"wrong content type", with_header("content-type", "text/plain"), 415, "content-type"},
        {"bad key", with_header("authorization", "Bearer nonsense"), 401, "authorization"},
        {"long chat name", with_header("x-endivelatch-chat", std::string(200, 'c')), 400, "128"},
        {"large body", changed(std::string(5'000'000, ' ')), 413, ""},
        {"wrong method", at_path("GET", "/v1/chat/completions"), 405, "POST"},
        {"unknown path", at_path("GET", "/v2"), 404, "/v2"},
        {"foreign service", at_path("GET", "/v1/services/other/x"), 403, "other"},
        {"unknown request", at_path("GET", "/v1/requests/x/events"), 404, "request"},
        {"caller at the administration", at_path("GET", "/admin/v1/status"), 401, "operator"},
        {"booking without key", no_key, 400, "idempotency-key"},
        {"malformed booking key", f.booking(1, "no-time", "{}"), 400, "no-time"},
    };
    for (const auto& it : cases) {
        const auto answer = f.http.ask(it.question);
        EXPECT_EQ(answer.status, it.status) << it.name << ": " << answer.body;
        EXPECT_NE(answer.body.find(it.named_in_body), std::string::npos)
            << it.name << ": " << answer.body;
    }
    EXPECT_EQ(told_outcome(f.http.ask(good)), "complete");
}

} // namespace
} // namespace endivelatch::failures
