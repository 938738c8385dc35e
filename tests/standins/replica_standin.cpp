#include "replica_standin.hpp"

#include <utility>

namespace endivelatch::standins {

replica_standin::replica_standin(event_loop& loop, std::string id, std::string pool)
    : server_{loop,
              {[this](exchange_number n, request_head&& head, std::string&& body) {
                   on_request(n, head, body);
               },
               [this](exchange_number n) {
                   ++cancelled_requests_;
                   streams_.erase(n);
               },
               {}}},
      delays_{loop}, id_{std::move(id)}, pool_{std::move(pool)}
{
    server_.start({"127.0.0.1", 0});
}

nlohmann::json replica_standin::registration(const std::string& state) const
{
    const auto& listening_endpoint = server_.listening();
    return {{"Service", pool_},
            {"Address", listening_endpoint.address + ":" + std::to_string(listening_endpoint.port)},
            {"Zone", "zone"},
            {"Version", "v1"},
            {"Slots", 6},
            {"State", state},
            {"Sequence", 1},
            {"born", 1'700'000'000'000}};
}

/// Returns the headers of a refusal, with the id of the request if it has one.
http_headers replica_standin::echo_headers(const std::string* attempt)
{
    return attempt == nullptr ? http_headers{} : http_headers{{"Endivelatch-Attempt-Id", *attempt}};
}

http_headers replica_standin::response_headers(const std::string& attempt) const
{
    http_headers headers{{"Endivelatch-Attempt-Id", attempt},
                         {"Endivelatch-Response-Signature", "signed-by-" + id_},
                         {"Endivelatch-Instance-Load", "1,0,6"}};
    headers.insert(headers.end(), statements_.begin(), statements_.end());
    return headers;
}

void replica_standin::on_request(exchange_number id, const request_head& head,
                                 const std::string& body)
{
    last_headers_ = head.headers;
    const auto* attempt = find_header_ignoring_case(head.headers, "Endivelatch-Attempt-Id");
    const auto* expected = find_header_ignoring_case(head.headers, "Endivelatch-Expected-Instance");
    if (expected != nullptr && *expected != id_) {
        server_.respond(id, 421, echo_headers(attempt), {});
        return;
    }
    if (is_down_) {
        server_.abort(id);
        return;
    }
    if (attempt == nullptr || fault_ == fault::reject) {
        auto headers = echo_headers(attempt);
        headers.push_back({"Endivelatch-Not-Executed", "1"});
        server_.respond(id, 503, headers, {});
        return;
    }
    ++runs_[*attempt];
    const auto* parts = find_header_ignoring_case(head.headers, "Endivelatch-Prefix-Hash");
    if (!deadly_part_.empty() && parts != nullptr &&
        parts->find(deadly_part_ + ":") != std::string::npos) {
        waiting_.insert(id);
        delays_.after(event_interval, [this, id] {
            if (waiting_.contains(id)) {
                crash();
            }
        });
        return;
    }
    auto headers = response_headers(*attempt);
    const bool is_stream = head.target.find("/stream/") != std::string::npos;
    switch (fault_) {
    case fault::drop_response:
        server_.abort(id);
        return;
    case fault::hang:
        return;
    case fault::server_error:
        server_.respond(id, 500, headers, "error");
        return;
    case fault::unsigned_success:
        server_.respond(id, 200, {{"Endivelatch-Attempt-Id", *attempt}}, "not mine");
        return;
    case fault::truncate:
        if (!is_stream) {
            server_.begin(id, 200, headers, 100);
            server_.write(id, "only a part");
            delays_.after(event_interval, [this, id] { server_.abort(id); });
            return;
        }
        break;
    case fault::none:
    case fault::reject:
        break;
    }
    if (!is_stream) {
        server_.respond(id, 200, headers,
                        body_.empty() ? head.method + " " + head.target + " " + body : body_);
        return;
    }
    headers.push_back({"Content-Type", "text/event-stream"});
    server_.begin(id, 200, headers, std::nullopt);
    streams_[id] = true;
    const auto* last = find_header_ignoring_case(head.headers, "Last-Event-Id");
    send_event(id, last == nullptr ? 1 : std::stoi(*last) + 1);
}

void replica_standin::crash()
{
    ++crashes_;
    is_down_ = true;
    for (const auto id : std::exchange(waiting_, {})) {
        server_.abort(id);
    }
    for (const auto& [id, is_active] : std::exchange(streams_, {})) {
        server_.abort(id);
    }
    delays_.after(restart_time, [this] { is_down_ = false; });
}

void replica_standin::send_event(exchange_number id, int next)
{
    if (!streams_.contains(id)) {
        return;
    }
    if (fault_ == fault::truncate && next == 3) {
        server_.write(id, "id: 3\nda");
        delays_.after(event_interval, [this, id] { server_.abort(id); });
        streams_.erase(id);
        return;
    }
    if (next > event_count) {
        server_.finish(id);
        streams_.erase(id);
        return;
    }
    const auto n = std::to_string(next);
    server_.write(id, "id: " + n + "\ndata: event " + n + "\n\n");
    delays_.after(event_interval, [this, id, next] { send_event(id, next + 1); });
}

} // namespace endivelatch::standins
