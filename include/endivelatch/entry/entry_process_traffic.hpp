#pragma once

#include "endivelatch/entry/entry_process.hpp"
#include "endivelatch/entry/fatal_signal.hpp"

/// Members of entry_process for requests, attempts and answers.

namespace endivelatch {

template <entry_protocol Protocol>
void entry_process<Protocol>::on_request(exchange_number id, request_head&& head,
                                         std::string&& body)
{
    auto request = Protocol::read_request(std::move(head), std::move(body));
    if (!has_value(request)) {
        write(log_event{"request_unreadable"}.add("reason", to_string(findings_of(request))));
        caller_server_.respond(id, 400, {}, {});
        return;
    }
    deliver(request_arrived{id, std::get<caller_request>(std::move(request))});
}

template <entry_protocol Protocol>
void entry_process<Protocol>::deliver(traffic_event&& event)
{
    set_last_event(name_of(event));
    auto effects = router_.handle(std::move(event), loop_->now());
    for (auto& effect : effects) {
        std::visit([this](auto& e) { this->execute(e); }, effect);
    }
    if (const auto next = router_.next_timer()) {
        constexpr duration min_delay{1'000};
        router_timer_.start(std::max(*next - loop_->now(), min_delay));
    }
}

template <entry_protocol Protocol>
void entry_process<Protocol>::execute(start_attempt& e)
{
    outgoing_request out;
    out.to = e.address;
    out.bytes = Protocol::write_request_head(*e.request, e.parameters);
    if (e.request->body.size() <= max_copied_body) {
        out.bytes += e.request->body;
    }
    else {
        out.body = std::shared_ptr<const std::string>{e.request, &e.request->body};
    }
    out.is_idempotent = e.is_idempotent;
    out.is_head = e.request->method == "HEAD";
    const auto id = target_pool_.send(std::move(out));
    requests_by_attempt_.emplace(e.key, id);
    attempts_by_request_.emplace(id, e.key);
}

template <entry_protocol Protocol>
void entry_process<Protocol>::execute(cancel_attempt& e)
{
    const auto it = requests_by_attempt_.find(e.key);
    if (it == requests_by_attempt_.end()) {
        return;
    }
    target_pool_.cancel(it->second);
    remove_attempt(it->second);
}

template <entry_protocol Protocol>
void entry_process<Protocol>::execute(skip_answer& e)
{
    const auto it = requests_by_attempt_.find(e.key);
    if (it != requests_by_attempt_.end()) {
        target_pool_.skip_answer(it->second);
    }
}

template <entry_protocol Protocol>
void entry_process<Protocol>::execute(begin_answer& e)
{
    caller_server_.begin(e.exchange, e.status, e.headers, e.length);
}

template <entry_protocol Protocol>
void entry_process<Protocol>::execute(send_bytes& e)
{
    caller_server_.write(e.exchange, e.bytes);
    if (budget_.may_read_on(caller_server_.unsent_bytes(e.exchange))) {
        return;
    }
    const auto it = requests_by_attempt_.lower_bound(exchange_attempt{e.exchange, attempt{}});
    if (it != requests_by_attempt_.end() && it->first.exchange == e.exchange) {
        target_pool_.pause_reading(it->second, true);
        paused_requests_[e.exchange] = it->second;
    }
}

template <entry_protocol Protocol>
void entry_process<Protocol>::on_drained(exchange_number id)
{
    const auto it = paused_requests_.find(id);
    if (it != paused_requests_.end()) {
        target_pool_.pause_reading(it->second, false);
        paused_requests_.erase(it);
    }
}

template <entry_protocol Protocol>
void entry_process<Protocol>::execute(end_answer& e)
{
    paused_requests_.erase(e.exchange);
    caller_server_.finish(e.exchange);
}

template <entry_protocol Protocol>
void entry_process<Protocol>::execute(abort_answer& e)
{
    paused_requests_.erase(e.exchange);
    caller_server_.abort(e.exchange);
}

template <entry_protocol Protocol>
void entry_process<Protocol>::execute(refuse_request& e)
{
    caller_server_.respond(e.exchange, e.status, Protocol::refusal_headers(e), {});
}

template <entry_protocol Protocol>
std::optional<exchange_attempt> entry_process<Protocol>::find_attempt(outgoing_id id) const
{
    const auto it = attempts_by_request_.find(id);
    return it == attempts_by_request_.end() ? std::nullopt : std::optional{it->second};
}

template <entry_protocol Protocol>
std::optional<exchange_attempt> entry_process<Protocol>::remove_attempt(outgoing_id id)
{
    const auto key = find_attempt(id);
    if (key) {
        requests_by_attempt_.erase(*key);
        attempts_by_request_.erase(id);
        paused_requests_.erase(key->exchange);
    }
    return key;
}

} // namespace endivelatch
