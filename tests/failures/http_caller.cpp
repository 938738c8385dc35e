#include "http_caller.hpp"

#include "endivelatch/net/timer.hpp"

namespace endivelatch::failures {

namespace {

constexpr duration response_timeout = std::chrono::seconds{40};
constexpr duration poll_interval = std::chrono::milliseconds{20};

} // namespace

http_caller::http_caller()
    : client_{
          loop_,
          {[this](call_id id, int status, const http_headers& headers) {
               auto& r = *responses_by_call_.at(id);
               r.status = status;
               for (const auto& it : headers) {
                   r.headers[it.name] = it.value;
               }
           },
           [this](call_id id, std::string_view data) { responses_by_call_.at(id)->body += data; },
           [this](call_id id, call_end&& end) {
               auto& r = *responses_by_call_.at(id);
               r.has_ended = true;
               r.is_complete = std::holds_alternative<call_finished>(end);
           }}}
{
}

test_response& http_caller::start(const test_request& request)
{
    http_call call;
    call.method = request.method;
    call.url = request.url;
    for (const auto& [name, value] : request.headers) {
        call.headers.push_back({name, value});
    }
    if (!request.body.empty()) {
        call.body = std::make_shared<const std::string>(request.body);
    }
    auto& r = responses_[++last_response_];
    responses_by_call_[client_.start(std::move(call))] = &r;
    return r;
}

test_response http_caller::send_and_wait(const test_request& request)
{
    const auto& r = start(request);
    run_until([&] { return r.has_ended; }, response_timeout);
    return r;
}

bool http_caller::run_until(const std::function<bool()>& condition, duration limit)
{
    const auto end = loop_.now() + limit;
    timer wake{loop_, [] {}};
    while (!condition()) {
        if (loop_.now() >= end) {
            return false;
        }
        wake.start(poll_interval);
        loop_.run_once();
    }
    return true;
}

} // namespace endivelatch::failures
