#include "endivelatch/core/router.hpp"

#include <variant>

/// The router's handling of its peers' messages.
namespace endivelatch {

void router::on(const peer_received& e, const moment& at, outbox& out)
{
    clock_.received(at.wall, e.envelope.stamp);
    std::visit([&](const auto& it) { take(e.envelope, it, at, out); }, e.envelope.body);
}

void router::on(const peer_link_lost& e, const moment& at, outbox& out)
{
    out.count("links_lost");
    out.log(log_event{"link_lost"}.add("peer", e.peer));
    entries_.on_peer_doubt(e.peer, at, out);
}

void router::on(const gossip_received& e, const moment& at, outbox& out)
{
    apply(membership_.handle(e.packet, e.from, at.now), at, out);
    if (const auto sent = membership_.vouched_at()) {
        apply(admission_.renew_lease(*sent, at.now), at, out);
    }
}

void router::take(const peer_envelope& from, const forward_request& m, const moment& at,
                  outbox& out)
{
    if (!runs_.accept(from, m, at, out)) {
        return;
    }
    if (!admission_.owns(m.target)) {
        runs_.refuse(m.key, not_owner_reason, {}, at, out);
        return;
    }
    admission_request request;
    request.key = m.key;
    request.target = m.target;
    request.organisation = m.organisation;
    request.caller = m.caller;
    request.priority = m.priority;
    request.work_tokens = m.work_tokens;
    request.start_by = at.now + m.deadline;
    apply(admission_.submit(request, at.now), at, out);
}

void router::take(const peer_envelope& from, const answer_begin& m, const moment& /*at*/,
                  outbox& out)
{
    entries_.on_begin(from, m, out);
}

void router::take(const peer_envelope& from, const answer_event& m, const moment& /*at*/,
                  outbox& out)
{
    entries_.on_event(from, m, out);
}

void router::take(const peer_envelope& from, const answer_end& m, const moment& at, outbox& out)
{
    entries_.on_end(from, m, at, out);
}

void router::take(const peer_envelope& from, const cancel_request& m, const moment& at, outbox& out)
{
    if (runs_.cancel(from, m, at, out)) {
        apply(admission_.cancel(m.key, at.now), at, out);
    }
}

void router::take(const peer_envelope& from, const answer_credit& m, const moment& /*at*/,
                  outbox& out)
{
    runs_.credit(from, m, out);
}

void router::take(const peer_envelope& from, const resume_request& m, const moment& /*at*/,
                  outbox& out)
{
    runs_.resume(from, m, out);
}

void router::take(const peer_envelope& from, const status_query& m, const moment& at, outbox& out)
{
    if (!bookings_.status(from, m, out)) {
        runs_.status(from, m, at, out);
    }
}

void router::take(const peer_envelope& from, const status_answer& m, const moment& at, outbox& out)
{
    entries_.on_status(from, m, at, out);
}

void router::take(const peer_envelope& from, const handover_query& m, const moment& at, outbox& out)
{
    handover_to_[m.target] = {from.from, m.adoption};
    owned_.erase(m.target);
    apply(admission_.release(m.target, at.now), at, out);
}

void router::take(const peer_envelope& from, const handover_answer& m, const moment& at,
                  outbox& out)
{
    out.log(log_event{"handover_answered"}
                .add("target", m.target)
                .add("former", from.from)
                .add("in_flight", m.in_flight));
    apply(admission_.handover_answered(m.target, m.adoption, m.in_flight, at.now), at, out);
}

void router::take(const peer_envelope& from, const booking_request& m, const moment& at,
                  outbox& out)
{
    bookings_.book(from, m, at, out);
}

void router::take(const peer_envelope& from, const config_query& m, const moment& at, outbox& out)
{
    apply(store_.peer_asked(from.from, m, at.now), at, out);
}

void router::take(const peer_envelope& from, const config_update& m, const moment& at, outbox& out)
{
    apply(store_.peer_updated(from.from, m, at.now), at, out);
}

void router::take(const peer_envelope& /*from*/, const heartbeat& /*m*/, const moment& /*at*/,
                  outbox& /*out*/)
{
}

} // namespace endivelatch
