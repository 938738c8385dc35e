#include "http_fetch.hpp"

#include "endivelatch/net/event_loop.hpp"
#include "endivelatch/net/http_client.hpp"

#include <memory>
#include <optional>

namespace endivelatch {

namespace {

std::string request_url(const fetch_request& request)
{
    const bool is_ipv6 = request.router.address.find(':') != std::string::npos;
    const auto host = is_ipv6 ? "[" + request.router.address + "]" : request.router.address;
    return "http://" + host + ':' + std::to_string(request.router.port) + request.path;
}

http_call to_http_call(const fetch_request& request)
{
    http_call http;
    http.method = request.method;
    http.url = request_url(request);
    if (!request.key.empty()) {
        http.headers.push_back({"authorization", "Bearer " + request.key});
    }
    for (const auto& [name, value] : request.headers) {
        http.headers.push_back({name, value});
    }
    if (!request.body.empty()) {
        http.headers.push_back({"content-type", "application/json"});
        http.body = std::make_shared<const std::string>(request.body);
    }
    return http;
}

} // namespace

result<fetch_response> fetch(const fetch_request& request)
{
    event_loop loop;
    fetch_response response;
    std::optional<call_failure> failure;
    http_client_callbacks callbacks;
    callbacks.on_head = [&](call_id, int status, const http_headers&) { response.status = status; };
    callbacks.on_data = [&](call_id, std::string_view data) { response.body += data; };
    callbacks.on_done = [&](call_id, call_end&& end) {
        if (auto* error = std::get_if<call_failure>(&end)) {
            failure = std::move(*error);
        }
        loop.stop();
    };
    http_client client{loop, std::move(callbacks)};
    client.start(to_http_call(request));
    loop.run();
    if (failure) {
        return one_finding(request_url(request), failure->reason);
    }
    return response;
}

result<fetch_response> fetch_from_any(const std::vector<endpoint>& routers, fetch_request request)
{
    findings errors;
    for (const auto& router : routers) {
        request.router = router;
        auto response = fetch(request);
        if (has_value(response)) {
            return response;
        }
        const auto& found = findings_of(response);
        errors.insert(errors.end(), found.begin(), found.end());
    }
    return errors;
}

std::string percent_encode(const std::string& text)
{
    constexpr std::string_view unreserved = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz"
                                            "0123456789-._~";
    constexpr std::string_view digits = "0123456789ABCDEF";
    constexpr unsigned low_nibble_mask = 15;
    std::string encoded;
    for (const char character : text) {
        const auto byte = static_cast<unsigned char>(character);
        if (unreserved.find(character) != std::string_view::npos) {
            encoded += character;
            continue;
        }
        encoded += '%';
        encoded += digits[byte >> 4U];
        encoded += digits[byte & low_nibble_mask];
    }
    return encoded;
}

} // namespace endivelatch
