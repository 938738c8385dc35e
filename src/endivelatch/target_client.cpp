#include "target_client.hpp"

#include "endivelatch/base/json_text.hpp"

#include <charconv>
#include <memory>
#include <nlohmann/json.hpp>
#include <utility>

namespace endivelatch {

namespace {

using nlohmann::json;

constexpr duration attempt_idle_timeout = std::chrono::seconds{30};
constexpr duration probe_timeout = std::chrono::seconds{2};
constexpr int status_ok = 200;

std::uint64_t unsigned_field(const json& object, const char* name)
{
    const auto it = object.find(name);
    const bool is_number = it != object.end() && it->is_number_unsigned();
    return is_number ? it->get<std::uint64_t>() : 0;
}

/// Parses a cache event in the form `{"n":N,"kind":"stored"|"evicted","prefix":"HASH"}`; returns
/// nothing if it is malformed.
std::optional<cache_change> parse_cache_change(const json& value)
{
    if (!value.is_object() || !value.contains("prefix") || !value["prefix"].is_string()) {
        return std::nullopt;
    }
    const auto text = value["prefix"].get<std::string>();
    cache_change change{0, value.value("kind", "") == "stored"};
    const auto [end, ec] =
        std::from_chars(text.data(), text.data() + text.size(), change.prefix_hash);
    if (ec != std::errc{}) {
        return std::nullopt;
    }
    return change;
}

} // namespace

target_client::target_client(event_loop& loop, std::function<void(router_event&&)> on_event)
    : on_event_{std::move(on_event)},
      client_{loop,
              {[this](call_id id, int status, const http_headers& h) { on_head(id, status, h); },
               [this](call_id id, std::string_view data) { on_data(id, data); },
               [this](call_id id, call_end&& end) { on_done(id, std::move(end)); }}}
{
}

void target_client::start(const call_target& effect)
{
    http_call call;
    call.method = effect.method;
    call.url = effect.url;
    for (const auto& [name, value] : effect.headers) {
        call.headers.push_back({name, value});
    }
    call.body = effect.body;
    call.idle_timeout = attempt_idle_timeout;
    call.may_repeat = effect.may_repeat;
    const auto id = client_.start(std::move(call));
    attempt_call new_call{effect.key, std::nullopt, {}};
    if (effect.streams) {
        new_call.events.emplace();
    }
    attempt_calls_.emplace(id, std::move(new_call));
    call_ids_[effect.key] = id;
}

void target_client::cancel(const attempt_key& key)
{
    const auto it = call_ids_.find(key);
    if (it == call_ids_.end()) {
        return;
    }
    client_.cancel(it->second);
    attempt_calls_.erase(it->second);
    call_ids_.erase(it);
}

void target_client::pause(const attempt_key& key, bool paused)
{
    const auto it = call_ids_.find(key);
    if (it == call_ids_.end()) {
        return;
    }
    if (paused) {
        client_.pause(it->second);
    }
    else {
        client_.resume(it->second);
    }
}

void target_client::probe(const probe_target& effect)
{
    auto& state = probe_states_[effect.target];
    http_call call;
    call.connect_timeout = probe_timeout;
    call.idle_timeout = probe_timeout;
    call.may_repeat = true;
    if (!state.load_pending) {
        state.load_pending = true;
        call.url = effect.url + "/load";
        probes_[client_.start(call)] = {probe_kind::load, effect.target, {}, 0};
    }
    if (effect.has_cache && !state.cache_pending) {
        state.cache_pending = true;
        call.url = effect.url + "/cache-events?after=" + std::to_string(state.last_cache_event);
        probes_[client_.start(call)] = {probe_kind::cache, effect.target, {}, 0};
    }
}

void target_client::on_head(call_id id, int status, const http_headers& headers)
{
    if (const auto probe = probes_.find(id); probe != probes_.end()) {
        probe->second.status = status;
        return;
    }
    const auto it = attempt_calls_.find(id);
    if (it == attempt_calls_.end()) {
        return;
    }
    const auto* type = find_header(headers, "content-type");
    it->second.content_type = type == nullptr ? std::string{} : *type;
    const bool is_stream = it->second.content_type.starts_with("text/event-stream");
    if (!is_stream) {
        it->second.events.reset();
    }
    on_event_(target_answered{it->second.key, status, it->second.content_type});
}

void target_client::on_data(call_id id, std::string_view data)
{
    if (const auto probe = probes_.find(id); probe != probes_.end()) {
        probe->second.body += data;
        return;
    }
    const auto it = attempt_calls_.find(id);
    if (it == attempt_calls_.end()) {
        return;
    }
    if (it->second.events) {
        it->second.events->feed(data);
        report_stream_events(it->second);
        return;
    }
    on_event_(
        target_data_received{it->second.key, std::make_shared<const std::string>(data), false});
}

void target_client::report_stream_events(attempt_call& call)
{
    while (auto event = call.events->next()) {
        const bool is_end = event->is_end();
        auto data = std::make_shared<const std::string>(std::move(event->raw));
        on_event_(target_data_received{call.key, std::move(data), is_end});
    }
}

void target_client::on_done(call_id id, call_end&& end)
{
    const auto* failure = std::get_if<call_failure>(&end);
    if (const auto probe = probes_.find(id); probe != probes_.end()) {
        const auto call = std::move(probe->second);
        probes_.erase(probe);
        finish_probe(call, failure != nullptr);
        return;
    }
    const auto it = attempt_calls_.find(id);
    if (it == attempt_calls_.end()) {
        return;
    }
    target_closed closed{it->second.key, std::nullopt};
    if (failure != nullptr) {
        closed.failure =
            target_call_failure{failure->request_bytes_sent,
                                std::string{to_string(failure->kind)} + ": " + failure->reason};
    }
    call_ids_.erase(it->second.key);
    attempt_calls_.erase(it);
    on_event_(std::move(closed));
}

void target_client::finish_probe(const probe_call& call, bool failed)
{
    auto& state = probe_states_[call.target];
    const bool is_usable = !failed && call.status == status_ok;
    if (call.kind == probe_kind::cache) {
        state.cache_pending = false;
        if (is_usable) {
            report_cache_changes(call);
        }
        return;
    }
    state.load_pending = false;
    if (is_usable) {
        report_load(call);
        return;
    }
    on_event_(target_probe_failed{call.target});
}

void target_client::report_load(const probe_call& call)
{
    const auto body = parse_json(call.body);
    if (!body.is_object()) {
        on_event_(target_probe_failed{call.target});
        return;
    }
    on_event_(target_load_reported{call.target, incarnation{unsigned_field(body, "run")},
                                   static_cast<std::uint32_t>(unsigned_field(body, "in_flight"))});
}

void target_client::report_cache_changes(const probe_call& call)
{
    const auto body = parse_json(call.body);
    if (!body.is_object() || !body.contains("events") || !body["events"].is_array()) {
        return;
    }
    auto& state = probe_states_[call.target];
    const incarnation reported_incarnation{unsigned_field(body, "run")};
    if (reported_incarnation != state.cache_incarnation) {
        state.cache_incarnation = reported_incarnation;
        state.last_cache_event = 0;
    }
    target_cache_changed changed{call.target, reported_incarnation, {}, false};
    for (const auto& event : body["events"]) {
        const auto change = parse_cache_change(event);
        if (!change) {
            continue;
        }
        const auto number = unsigned_field(event, "n");
        changed.gap = changed.gap || number != state.last_cache_event + 1;
        state.last_cache_event = number;
        changed.changes.push_back(*change);
    }
    if (!changed.changes.empty()) {
        on_event_(std::move(changed));
    }
}

} // namespace endivelatch
