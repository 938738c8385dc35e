#pragma once

#include "endivelatch/entry/entry_process.hpp"

/// Requests, attempts and answers of entry_process.

namespace endivelatch {

template <entry_protocol Protocol>
void entry_process<Protocol>::on_request(exchange_number id, request_head&& head,
                                         std::string&& body)
{
    auto request = Protocol::read_request(std::move(head), std::move(body));
    if (!has_value(request)) {
        write(log_event{"request_unreadable"}.add("reason", to_string(findings_of(request))));
        requests_.respond(id, 400, {}, {});
        return;
    }
    deliver(request_arrived{id, std::get<caller_request>(std::move(request))});
}

template <entry_protocol Protocol>
void entry_process<Protocol>::deliver(traffic_event&& event)
{
    auto effects = router_.handle(std::move(event), loop_->now());
    for (auto& it : effects) {
        std::visit([this](auto& e) { this->act(e); }, it);
    }
    if (const auto next = router_.next_timer()) {
        constexpr duration shortest{1'000};
        wake_.start(std::max(*next - loop_->now(), shortest));
    }
}

template <entry_protocol Protocol>
void entry_process<Protocol>::act(start_attempt& e)
{
    outgoing_request out;
    out.to = e.address;
    out.bytes = Protocol::write_request(*e.request, e.parameters);
    out.is_idempotent = e.is_idempotent;
    out.is_head = e.request->method == "HEAD";
    const auto id = targets_.send(std::move(out));
    outgoing_.emplace(e.key, id);
    attempts_.emplace(id, e.key);
}

template <entry_protocol Protocol>
void entry_process<Protocol>::act(cancel_attempt& e)
{
    const auto it = outgoing_.find(e.key);
    if (it == outgoing_.end()) {
        return;
    }
    targets_.cancel(it->second);
    forget(it->second);
}

template <entry_protocol Protocol>
void entry_process<Protocol>::act(skip_answer& e)
{
    const auto it = outgoing_.find(e.key);
    if (it != outgoing_.end()) {
        targets_.skip_answer(it->second);
    }
}

template <entry_protocol Protocol>
void entry_process<Protocol>::act(begin_answer& e)
{
    requests_.begin(e.exchange, e.status, e.headers, e.length);
}

template <entry_protocol Protocol>
void entry_process<Protocol>::act(send_bytes& e)
{
    requests_.write(e.exchange, e.bytes);
    if (requests_.unsent(e.exchange) < most_unsent_bytes) {
        return;
    }
    const auto it = outgoing_.lower_bound(exchange_attempt{e.exchange, attempt{}});
    if (it != outgoing_.end() && it->first.exchange == e.exchange) {
        targets_.pause_reading(it->second, true);
        paused_[e.exchange] = it->second;
    }
}

template <entry_protocol Protocol>
void entry_process<Protocol>::on_drained(exchange_number id)
{
    const auto it = paused_.find(id);
    if (it != paused_.end()) {
        targets_.pause_reading(it->second, false);
        paused_.erase(it);
    }
}

template <entry_protocol Protocol>
void entry_process<Protocol>::act(end_answer& e)
{
    paused_.erase(e.exchange);
    requests_.finish(e.exchange);
}

template <entry_protocol Protocol>
void entry_process<Protocol>::act(abort_answer& e)
{
    paused_.erase(e.exchange);
    requests_.abort(e.exchange);
}

template <entry_protocol Protocol>
void entry_process<Protocol>::act(refuse_request& e)
{
    requests_.respond(e.exchange, e.status, Protocol::refusal_headers(e), {});
}

template <entry_protocol Protocol>
std::optional<exchange_attempt> entry_process<Protocol>::key_of(outgoing_id id) const
{
    const auto it = attempts_.find(id);
    return it == attempts_.end() ? std::nullopt : std::optional{it->second};
}

template <entry_protocol Protocol>
std::optional<exchange_attempt> entry_process<Protocol>::forget(outgoing_id id)
{
    const auto key = key_of(id);
    if (key) {
        outgoing_.erase(*key);
        attempts_.erase(id);
        paused_.erase(key->exchange);
    }
    return key;
}

} // namespace endivelatch
