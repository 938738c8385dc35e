#include "endivelatch/http1/message_writer.hpp"

#include <algorithm>
#include <array>
#include <charconv>

#include <http_parser.h>

namespace endivelatch {

namespace {

constexpr std::array<std::string_view, 9> hop_by_hop_names{
    "connection",        "keep-alive", "proxy-authenticate", "proxy-authorization", "te", "trailer",
    "transfer-encoding", "upgrade",    "proxy-connection"};

} // namespace

bool is_hop_by_hop(std::string_view name)
{
    return std::any_of(hop_by_hop_names.begin(), hop_by_hop_names.end(),
                       [&](std::string_view it) { return equals_ignoring_case(it, name); });
}

void remove_hop_by_hop(http_headers& headers)
{
    std::vector<std::string> connection_options;
    for (const auto& it : headers) {
        if (equals_ignoring_case(it.name, "connection")) {
            for (const auto part : split_list(it.value)) {
                connection_options.emplace_back(part);
            }
        }
    }
    const auto is_removed = [&](const http_header& it) {
        return is_hop_by_hop(it.name) || equals_ignoring_case(it.name, "content-length") ||
               std::any_of(connection_options.begin(), connection_options.end(),
                           [&](const auto& n) { return equals_ignoring_case(n, it.name); });
    };
    std::erase_if(headers, is_removed);
}

std::string_view reason_phrase(int status)
{
    return http_status_str(static_cast<http_status>(status));
}

void append_header(std::string& out, std::string_view name, std::string_view value)
{
    out.append(name).append(": ").append(value).append("\r\n");
}

void append_headers(std::string& out, const http_headers& headers)
{
    for (const auto& it : headers) {
        append_header(out, it.name, it.value);
    }
}

void append_status_line(std::string& out, int status)
{
    out.append("HTTP/1.1 ").append(std::to_string(status)).append(" ");
    out.append(reason_phrase(status)).append("\r\n");
}

void append_chunk(std::string& out, std::string_view bytes)
{
    if (bytes.empty()) {
        return;
    }
    std::array<char, 16> size{};
    const auto end = std::to_chars(size.data(), size.data() + size.size(), bytes.size(), 16).ptr;
    out.append(size.data(), end).append("\r\n").append(bytes).append("\r\n");
}

} // namespace endivelatch
