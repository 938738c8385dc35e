#pragma once

#include "endivelatch/base/result.hpp"
#include "endivelatch/membership/member.hpp"

#include <string>
#include <utility>
#include <vector>

namespace endivelatch {

/// A complete HTTP response.
struct fetch_response {
    int status = 0;
    std::string body;
};

/// An HTTP request of a subcommand to a router.
struct fetch_request {
    endpoint router;
    std::string method = "GET";
    std::string path;
    std::string key; ///< Sent as a bearer token unless it is empty.
    std::string body;
    std::vector<std::pair<std::string, std::string>> headers;
};

/// Sends the request and waits for the response.
result<fetch_response> fetch(const fetch_request& request);

/// Sends the request to the first router that can be reached.
result<fetch_response> fetch_from_any(const std::vector<endpoint>& routers, fetch_request request);

/// Percent-encodes a text for use in the path or query of a URL.
std::string percent_encode(const std::string& text);

} // namespace endivelatch
