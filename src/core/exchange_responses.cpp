#include "endivelatch/core/exchange_responses.hpp"

#include "endivelatch/base/overloaded.hpp"
#include "endivelatch/core/call.hpp"
#include "endivelatch/core/http_response.hpp"

namespace endivelatch {

namespace {

constexpr std::size_t max_buffered_response_bytes = 8'000'000;
constexpr int status_ok = 200;

} // namespace

void exchange_responses::on_output(exchange_number exchange, const sink_output& output, outbox& out)
{
    std::visit(overloaded{
                   [&](const answer_begin& part) { on_begin(exchange, output, part, out); },
                   [&](const answer_event& part) { on_event(exchange, part, out); },
                   [&](const answer_end& part) { on_end(exchange, part, out); },
               },
               output.part);
}

void exchange_responses::on_begin(exchange_number exchange, const sink_output& output,
                                  const answer_begin& part, outbox& out)
{
    auto& a = responses_[exchange];
    a.begin = part;
    a.token = request_token(output.request, output.owner);
    a.begun = true;
    a.streaming = output.streams && part.status == status_ok;
    if (a.streaming) {
        out.push(stream_response(exchange, a.token, part));
    }
}

void exchange_responses::on_event(exchange_number exchange, const answer_event& part, outbox& out)
{
    auto& a = responses_[exchange];
    if (a.streaming) {
        out.push(http_write{exchange, stream_event(part)});
        return;
    }
    if (a.body.size() + part.data->size() > max_buffered_response_bytes) {
        a.too_large = true;
        return;
    }
    a.body += *part.data;
}

void exchange_responses::on_end(exchange_number exchange, const answer_end& part, outbox& out)
{
    auto a = std::move(responses_[exchange]);
    responses_.erase(exchange);
    if (a.streaming) {
        out.push(http_write{exchange, stream_end(part)});
        if (part.result == outcome::complete) {
            out.push(http_finish{exchange});
        }
        else {
            out.push(http_abort{exchange});
        }
        return;
    }
    if (part.result == outcome::complete && !a.too_large) {
        out.push(buffered_response(exchange, a.token, a.begin, std::move(a.body)));
        return;
    }
    auto end = part;
    if (a.too_large) {
        end.result = outcome::failed;
        end.reason = "the answer is larger than 8000000 bytes";
    }
    out.push(outcome_response(exchange, end));
}

} // namespace endivelatch
