#include "endivelatch/core/booking_runs.hpp"

#include "endivelatch/base/overloaded.hpp"

#include <memory>

namespace endivelatch {

booking_runs::booking_runs(const router_id& router, incarnation run, platform_call_id_source& calls,
                           booking_starter start)
    : ledger_{router, run, ledger_settings{}, calls}, start_{std::move(start)}
{
}

void booking_runs::book(const peer_envelope& from, const booking_request& message, const moment& at,
                        outbox& out)
{
    const auto request = message.call.key.request;
    auto& e = bookings_[request];
    e.key = message.call.key;
    e.subscriber = from.from;
    e.call = message.call;
    booking b;
    b.request = request;
    b.organisation = message.call.organisation;
    b.key = message.key;
    b.body_digest = message.body_digest;
    b.start_within = message.call.deadline;
    b.answer_within = message.call.deadline + run_timeout_;
    out.log(log_event{"booking_received"}
                .add("request", to_string(request))
                .add("organisation", b.organisation)
                .add("key", b.key));
    apply(ledger_.book(b, at.wall, at.now), at, out);
}

void booking_runs::apply(const ledger_effects& effects, const moment& at, outbox& out)
{
    for (const auto& effect : effects) {
        std::visit(overloaded{
                       [&](const platform_call& call) { out.push(call_platform{call}); },
                       [&](const start_booking& order) { start_run(order.request, at, out); },
                       [&](const booking_answer& a) { send_answer(a, out); },
                       [&](const query_target& unresolved) {
                           out.log(log_event{"booking_unresolved"}
                                       .add("organisation", unresolved.organisation)
                                       .add("key", unresolved.key)
                                       .add("started_by", unresolved.start_id));
                       },
                   },
                   effect);
    }
}

void booking_runs::start_run(const request_id& booking, const moment& at, outbox& out)
{
    const auto it = bookings_.find(booking);
    if (it == bookings_.end()) {
        apply(ledger_.run_refused(booking, "the booking is no longer known", at.now), at, out);
        return;
    }
    const auto& call = it->second.call;
    const auto slash = call.path.find('/');
    request_spec spec;
    spec.organisation = call.organisation;
    spec.caller = call.caller;
    spec.pool = pool_id{call.path.substr(0, slash)};
    spec.start_by = at.now + call.deadline;
    spec.run_timeout = run_timeout_;
    spec.repeat = repeatability::non_idempotent;
    spec.method = call.method;
    spec.path = call.path.substr(slash);
    spec.content_type = call.content_type;
    spec.body = call.body;
    spec.target_key = call.idempotency_key;
    out.log(log_event{"booking_recorded"}.add("request", to_string(booking)));
    start_(booking_sink{booking}, std::move(spec), at, out);
}

void booking_runs::on_output(const request_id& booking, const sink_output& output, const moment& at,
                             outbox& out)
{
    const auto it = bookings_.find(booking);
    if (it == bookings_.end()) {
        return;
    }
    auto& e = it->second;
    std::visit(overloaded{
                   [&](const answer_begin& part) {
                       e.result.status = part.status;
                       e.result.content_type = part.content_type;
                   },
                   [&](const answer_event& part) { e.body += *part.data; },
                   [&](const answer_end& part) { end_run(booking, part, at, out); },
               },
               output.part);
}

void booking_runs::end_run(const request_id& booking, const answer_end& end, const moment& at,
                           outbox& out)
{
    if (end.result == outcome::not_run) {
        apply(ledger_.run_refused(booking, end.reason, at.now), at, out);
        return;
    }
    auto& e = bookings_.at(booking);
    e.result.result = end.result;
    e.result.body = std::make_shared<const std::string>(std::move(e.body));
    const auto result = e.result;
    apply(ledger_.run_ended(booking, result, at.now), at, out);
}

void booking_runs::send_answer(const booking_answer& a, outbox& out)
{
    const auto it = bookings_.find(a.request);
    if (it == bookings_.end()) {
        return;
    }
    const auto e = std::move(it->second);
    bookings_.erase(it);
    out.log(log_event{"booking_ended"}
                .add("request", to_string(a.request))
                .add("organisation", e.call.organisation)
                .add("key", e.call.idempotency_key)
                .add("outcome", to_string(a.result.result))
                .add("reason", a.reason));
    event_number last;
    if (a.result.result == outcome::complete) {
        out.send(e.subscriber, answer_begin{e.key, a.result.status, a.result.content_type, {}});
        if (a.result.body && !a.result.body->empty()) {
            last = last.next();
            out.send(e.subscriber, answer_event{e.key, last, a.result.body});
        }
    }
    out.send(e.subscriber, answer_end{e.key, a.result.result, last, a.reason, a.retry_after});
}

void booking_runs::on_platform_answered(const platform_answer& answer, const moment& at,
                                        outbox& out)
{
    apply(ledger_.answered(answer, at.now), at, out);
}

bool booking_runs::status(const peer_envelope& from, const status_query& message, outbox& out) const
{
    const auto it = bookings_.find(message.key.request);
    if (it == bookings_.end() || it->second.key != message.key) {
        return false;
    }
    out.send(from.from, status_answer{message.key, attempt_state::running, outcome::unknown});
    return true;
}

void booking_runs::tick(const moment& at, outbox& out)
{
    apply(ledger_.tick(at.now), at, out);
}

} // namespace endivelatch
