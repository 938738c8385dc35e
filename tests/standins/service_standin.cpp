#include "service_standin.hpp"

#include <algorithm>

namespace endivelatch::standins {

namespace {

/// Base path for querying bookings.
const std::string booking_root = "/bookings/";

/// Decrements a counter unless it is 0; returns whether it was decremented.
bool decrement_if_positive(std::uint64_t& count)
{
    if (count == 0) {
        return false;
    }
    --count;
    return true;
}

} // namespace

service_standin::service_standin(event_loop& loop, const settings& given)
    : settings_{given}, http_{
                            loop, given.listen, {[this](http_request&& it) { handle(it); }, {}, {}}}
{
}

void service_standin::handle(const http_request& request)
{
    if (request.path == "/control") {
        control(parse_json(request.body));
        http_.respond(request.id, 200, json::object());
        return;
    }
    if (request.path == "/record") {
        http_.respond(request.id, 200, record());
        return;
    }
    if (request.path == "/load") {
        http_.respond(request.id, 200, {{"run", settings_.run}, {"in_flight", in_flight_}});
        return;
    }
    if (request.method == "POST" && request.path == "/bookings") {
        book(request);
        return;
    }
    if (request.path.starts_with(booking_root)) {
        report_run(request.id, request.path.substr(booking_root.size()));
        return;
    }
    ++other_requests_;
    http_.respond(request.id, 200, {{"path", request.path}, {"status", "ok"}},
                  std::chrono::milliseconds{faults_.delay_ms});
}

void service_standin::book(const http_request& request)
{
    const std::string* key = find_header(request.headers, "idempotency-key");
    if (key == nullptr) {
        http_.respond(request.id, 400, {{"error", "the Idempotency-Key header is missing"}});
        return;
    }
    if (decrement_if_positive(faults_.refuse)) {
        http_.respond(request.id, 503, {{"error", "refused, not run"}});
        return;
    }
    const std::uint64_t runs = ++runs_[*key];
    if (decrement_if_positive(faults_.hang)) {
        return;
    }
    if (decrement_if_positive(faults_.cut)) {
        http_.server.abort(request.id);
        return;
    }
    ++in_flight_;
    max_in_flight_ = std::max(max_in_flight_, in_flight_);
    const int status = decrement_if_positive(faults_.fail) ? 500 : 200;
    const json response_body = {{"booking", "b-" + *key}, {"run", runs}};
    http_.delays.after(std::chrono::milliseconds{faults_.delay_ms},
                       [this, id = request.id, status, response_body] {
                           --in_flight_;
                           http_.respond(id, status, response_body);
                       });
}

void service_standin::report_run(exchange_id id, const std::string& key)
{
    if (!settings_.reports_runs) {
        http_.respond(id, 404, {{"error", "no such path"}});
        return;
    }
    const auto it = runs_.find(key);
    const bool has_run = it != runs_.end();
    json response_body = {{"ran", has_run}};
    if (has_run) {
        response_body["answer"] = {{"booking", "b-" + key}, {"run", it->second}};
    }
    http_.respond(id, 200, response_body);
}

void service_standin::control(const json& change)
{
    faults_.delay_ms = change.value("delay_ms", faults_.delay_ms);
    faults_.fail = change.value("fail", faults_.fail);
    faults_.hang = change.value("hang", faults_.hang);
    faults_.cut = change.value("cut", faults_.cut);
    faults_.refuse = change.value("refuse", faults_.refuse);
}

json service_standin::record() const
{
    return {{"bookings", runs_},
            {"in_flight", in_flight_},
            {"max_in_flight", max_in_flight_},
            {"plain_calls", other_requests_}};
}

} // namespace endivelatch::standins
