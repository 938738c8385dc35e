#include "endivelatch/core/http_response.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace endivelatch {

namespace {

using nlohmann::json;

constexpr int status_bad_gateway = 502;
constexpr int status_unavailable = 503;
constexpr int status_gateway_timeout = 504;
constexpr int status_server_error = 500;

int status_of(outcome o)
{
    switch (o) {
    case outcome::not_run:
        return status_unavailable;
    case outcome::failed:
        return status_bad_gateway;
    case outcome::unknown:
        return status_gateway_timeout;
    case outcome::complete:
        break;
    }
    return status_server_error;
}

std::string whole_seconds(duration d)
{
    const auto n = std::chrono::ceil<std::chrono::seconds>(d).count();
    return std::to_string(std::max<std::int64_t>(n, 1));
}

} // namespace

http_respond refusal_response(exchange_number exchange, int status, const findings& errors)
{
    json error{{"outcome", "not_run"}, {"findings", json::array()}};
    for (const auto& validation_error : errors) {
        error["findings"].push_back(
            {{"place", validation_error.place}, {"message", validation_error.message}});
    }
    return {exchange,
            status,
            {{"content-type", "application/json"}, {"x-endivelatch-outcome", "not_run"}},
            json{{"error", error}}.dump(-1, ' ', false, json::error_handler_t::replace)};
}

http_respond outcome_response(exchange_number exchange, const answer_end& end)
{
    const json error{{"outcome", to_string(end.result)},
                     {"reason", end.reason},
                     {"request", to_string(end.key.request)}};
    http_respond response{
        exchange,
        status_of(end.result),
        {{"content-type", "application/json"},
         {"x-endivelatch-outcome", std::string{to_string(end.result)}},
         {"x-endivelatch-request", to_string(end.key.request)}},
        json{{"error", error}}.dump(-1, ' ', false, json::error_handler_t::replace)};
    if (end.result == outcome::not_run) {
        response.headers.emplace_back("retry-after", whole_seconds(end.retry_after));
    }
    return response;
}

http_begin_stream stream_response(exchange_number exchange, const std::string& token,
                                  const answer_begin& begin)
{
    http_begin_stream stream{exchange,
                             begin.status,
                             {{"content-type", begin.content_type},
                              {"cache-control", "no-store"},
                              {"x-endivelatch-request", token}}};
    if (!begin.hint.empty()) {
        stream.headers.emplace_back("x-endivelatch-hint", begin.hint);
    }
    return stream;
}

payload stream_event(const answer_event& event)
{
    const std::string_view data = *event.data;
    std::string text = "id: " + std::to_string(event.number.value()) + '\n';
    text.reserve(text.size() + data.size());
    std::size_t position = 0;
    while (position < data.size()) {
        const auto end = std::min(data.find('\n', position), data.size() - 1);
        const auto line = data.substr(position, end - position + 1);
        if (!line.starts_with("id:")) {
            text += line;
        }
        position = end + 1;
    }
    return std::make_shared<const std::string>(std::move(text));
}

payload stream_end(const answer_end& end)
{
    const json body{
        {"outcome", to_string(end.result)}, {"events", end.last.value()}, {"reason", end.reason}};
    auto text =
        "event: end\ndata: " + body.dump(-1, ' ', false, json::error_handler_t::replace) + "\n\n";
    if (end.result == outcome::complete) {
        text += "data: [DONE]\n\n";
    }
    return std::make_shared<const std::string>(std::move(text));
}

http_respond buffered_response(exchange_number exchange, const std::string& token,
                               const answer_begin& begin, std::string body)
{
    http_respond response{exchange,
                          begin.status,
                          {{"content-type", begin.content_type},
                           {"x-endivelatch-outcome", "complete"},
                           {"x-endivelatch-request", token}},
                          std::move(body)};
    if (!begin.hint.empty()) {
        response.headers.emplace_back("x-endivelatch-hint", begin.hint);
    }
    return response;
}

} // namespace endivelatch
