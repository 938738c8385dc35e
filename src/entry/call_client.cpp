#include "endivelatch/entry/call_client.hpp"

#include "endivelatch/http1/message_writer.hpp"

#include <utility>

namespace endivelatch {

call_client::call_client(event_loop& loop)
    : pool_{loop,
            {[this](outgoing_id id, response_head&& head) {
                 calls_[id].reply.status = head.status;
                 calls_[id].reply.headers = std::move(head.headers);
             },
             [this](outgoing_id id, std::string_view bytes) { calls_[id].reply.body += bytes; },
             [this](outgoing_id id) { finish(id, std::move(calls_[id].reply)); },
             [this](outgoing_id id, request_failure&& failure) {
                 finish(id, call_failed{std::move(failure.reason)});
             }}}
{
}

outgoing_id call_client::call(const outgoing_call& request,
                              std::function<void(call_outcome&&)> on_outcome)
{
    ++calls_made_;
    outgoing_request out;
    out.to = request.to;
    out.is_idempotent = true;
    out.timeout = request.timeout;
    out.max_body_size = max_reply_size;
    out.bytes = request.method + " " + request.target + " HTTP/1.1\r\n";
    append_header(out.bytes, "Host", request.to.address + ":" + std::to_string(request.to.port));
    append_headers(out.bytes, request.headers);
    if (!request.body.empty()) {
        append_header(out.bytes, "Content-Type", "application/json");
        append_header(out.bytes, "Content-Length", std::to_string(request.body.size()));
    }
    out.bytes += "\r\n" + request.body;
    const auto id = pool_.send(std::move(out));
    calls_[id].on_outcome = std::move(on_outcome);
    return id;
}

void call_client::cancel(outgoing_id id)
{
    pool_.cancel(id);
    calls_.erase(id);
}

void call_client::finish(outgoing_id id, call_outcome&& outcome)
{
    const auto it = calls_.find(id);
    if (it == calls_.end()) {
        return;
    }
    const auto on_outcome = std::move(it->second.on_outcome);
    calls_.erase(it);
    on_outcome(std::move(outcome));
}

} // namespace endivelatch
