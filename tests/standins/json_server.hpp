#pragma once

#include "delayed_calls.hpp"

#include "endivelatch/net/http_server.hpp"

#include <charconv>
#include <string>

#include <nlohmann/json.hpp>

/// Shared parts of the HTTP stand-ins.
namespace endivelatch::standins {

using nlohmann::json;

/// Parses a JSON object; returns an empty object if the body is not one.
inline json parse_json(const std::string& body)
{
    json parsed = json::parse(body, nullptr, false);
    return parsed.is_object() ? parsed : json::object();
}

/// Parses a decimal number; returns 0 if the text does not start with one.
inline std::uint64_t parse_uint(std::string_view text)
{
    std::uint64_t n = 0;
    std::from_chars(text.data(), text.data() + text.size(), n);
    return n;
}

/// Returns the value of a header or query parameter as a number, or the fallback if it is missing.
inline std::uint64_t numeric_value(const http_headers& values, std::string_view name,
                                   std::uint64_t fallback = 0)
{
    const std::string* text = find_header(values, name);
    return text == nullptr ? fallback : parse_uint(*text);
}

/// An HTTP server that listens on one address and sends JSON responses.
class json_server {
public:
    json_server(event_loop& loop, const endpoint& listen, http_server_callbacks callbacks)
        : server{loop, make_settings(listen), std::move(callbacks)}, delays{loop}
    {
    }

    /// Sends a JSON response after a delay.
    void respond(exchange_id id, int status, const json& body, duration delay = {},
                 http_headers headers = {})
    {
        headers.push_back({"content-type", "application/json"});
        delays.after(delay,
                     [this, id, status, text = body.dump(), all_headers = std::move(headers)] {
                         server.respond(id, status, all_headers, text);
                     });
    }

    http_server server;
    delayed_calls delays;

private:
    /// Returns the server settings for a listening address.
    static http_server_settings make_settings(const endpoint& listen)
    {
        http_server_settings settings;
        settings.listen = {listen};
        settings.request_timeout = std::chrono::hours{1};
        return settings;
    }
};

} // namespace endivelatch::standins
