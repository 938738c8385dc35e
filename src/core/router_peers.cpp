#include "endivelatch/core/router.hpp"

#include <variant>

/// Handling of messages and gossip from peers.
namespace endivelatch {

void router::on(const peer_received& e, const moment& at, outbox& out)
{
    clock_.received(at.wall, e.envelope.stamp);
    std::visit([&](const auto& message) { receive(e.envelope, message, at, out); },
               e.envelope.body);
}

void router::on(const peer_link_lost& e, const moment& at, outbox& out)
{
    out.count("links_lost");
    out.log(log_event{"link_lost"}.add("peer", e.peer));
    entry_requests_.on_link_lost(e.peer, at, out);
}

void router::on(const gossip_received& e, const moment& at, outbox& out)
{
    apply(membership_.handle(e.packet, e.from, at.now), at, out);
    if (const auto sent = membership_.last_acked_probe_at()) {
        apply(admission_.renew_lease(*sent, at.now), at, out);
    }
}

void router::receive(const peer_envelope& from, const forward_request& message, const moment& at,
                     outbox& out)
{
    if (!runs_.accept(from, message, at, out)) {
        return;
    }
    if (!admission_.owns(message.target)) {
        runs_.refuse(message.key, not_owner_reason, {}, at, out);
        return;
    }
    admission_request request;
    request.key = message.key;
    request.target = message.target;
    request.organisation = message.organisation;
    request.caller = message.caller;
    request.priority = message.priority;
    request.work_tokens = message.work_tokens;
    request.start_by = at.now + message.deadline;
    apply(admission_.submit(request, at.now), at, out);
}

void router::receive(const peer_envelope& from, const answer_begin& message, const moment& /*at*/,
                     outbox& out)
{
    entry_requests_.on_begin(from, message, out);
}

void router::receive(const peer_envelope& from, const answer_event& message, const moment& /*at*/,
                     outbox& out)
{
    entry_requests_.on_event(from, message, out);
}

void router::receive(const peer_envelope& from, const answer_end& message, const moment& at,
                     outbox& out)
{
    entry_requests_.on_end(from, message, at, out);
}

void router::receive(const peer_envelope& from, const cancel_request& message, const moment& at,
                     outbox& out)
{
    if (runs_.cancel(from, message, at, out)) {
        apply(admission_.cancel(message.key, at.now), at, out);
    }
}

void router::receive(const peer_envelope& from, const answer_credit& message, const moment& /*at*/,
                     outbox& out)
{
    runs_.credit(from, message, out);
}

void router::receive(const peer_envelope& from, const resume_request& message, const moment& /*at*/,
                     outbox& out)
{
    runs_.resume(from, message, out);
}

void router::receive(const peer_envelope& from, const status_query& message, const moment& at,
                     outbox& out)
{
    if (!bookings_.status(from, message, out)) {
        runs_.status(from, message, at, out);
    }
}

void router::receive(const peer_envelope& from, const status_answer& message, const moment& at,
                     outbox& out)
{
    entry_requests_.on_status(from, message, at, out);
}

void router::receive(const peer_envelope& from, const handover_query& message, const moment& at,
                     outbox& out)
{
    pending_handovers_[message.target] = {from.from, message.adoption};
    owned_.erase(message.target);
    apply(admission_.release(message.target, at.now), at, out);
}

void router::receive(const peer_envelope& from, const handover_answer& message, const moment& at,
                     outbox& out)
{
    out.log(log_event{"handover_answered"}
                .add("target", message.target)
                .add("former", from.from)
                .add("in_flight", message.in_flight));
    apply(admission_.handover_answered(message.target, message.adoption, message.in_flight, at.now),
          at, out);
}

void router::receive(const peer_envelope& from, const booking_request& message, const moment& at,
                     outbox& out)
{
    bookings_.book(from, message, at, out);
}

void router::receive(const peer_envelope& from, const config_query& message, const moment& at,
                     outbox& out)
{
    apply(store_.on_config_query(from.from, message, at.now), at, out);
}

void router::receive(const peer_envelope& from, const config_update& message, const moment& at,
                     outbox& out)
{
    apply(store_.on_config_update(from.from, message, at.now), at, out);
}

void router::receive(const peer_envelope& /*from*/, const heartbeat& /*message*/,
                     const moment& /*at*/, outbox& /*out*/)
{
}

} // namespace endivelatch
