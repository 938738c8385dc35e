#include "engine_standin.hpp"

#include "endivelatch/base/hash.hpp"

#include <algorithm>
#include <array>
#include <cstdio>

namespace endivelatch::standins {

namespace {

/// Base path for exporting and importing cached prefixes.
const std::string kv_root = "/kv/";

/// Number of tokens if the request does not set `max_tokens`.
constexpr std::uint64_t default_max_tokens = 16;

/// Maximum number of samples in the load history.
constexpr std::size_t max_load_samples = 4'096;

/// Returns the text of one token: a hash of the prompt and the token's number.
std::string token_text(const std::string& prompt, std::uint64_t number)
{
    std::array<char, 16> buf{};
    const auto hash = stable_hash(prompt + ":" + std::to_string(number));
    std::snprintf(buf.data(), buf.size(), "%08x ", static_cast<unsigned>(hash));
    return buf.data();
}

/// Concatenates the contents of all messages, one per line.
std::string prompt_of(const json& body)
{
    std::string prompt;
    const json messages = body.value("messages", json::array());
    for (const auto& it : messages) {
        if (it.is_object() && it.contains("content") && it.at("content").is_string()) {
            prompt += it.at("content").get<std::string>() + "\n";
        }
    }
    return prompt;
}

} // namespace

engine_standin::engine_standin(event_loop& loop, const settings& given)
    : loop_{&loop}, settings_{given}, http_{loop,
                                            given.listen,
                                            {[this](http_request&& it) { handle(it); },
                                             [this](exchange_id id) {
                                                 if (streams_.erase(id) > 0) {
                                                     ++counts_["cancelled"];
                                                     record_load();
                                                 }
                                             },
                                             {}}},
      cache_{given.cache}
{
    record_load();
}

void engine_standin::handle(const http_request& request)
{
    const exchange_id id = request.id;
    if (request.path == "/control") {
        control(parse_json(request.body));
        http_.respond(id, 200, json::object());
    }
    else if (request.path == "/record") {
        http_.respond(id, 200, record());
    }
    else if (is_hanging_) {
        ++counts_["hung"];
    }
    else if (request.path == "/v1/chat/completions" && request.method == "POST") {
        handle_chat(request);
    }
    else if (request.path == "/load") {
        http_.respond(id, 200, load());
    }
    else if (request.path == "/cache-events") {
        const json events =
            cache_.events_after(numeric_value(request.query, "after"), loop_->now());
        http_.respond(id, 200, {{"run", settings_.run}, {"events", events}});
    }
    else if (request.path == "/orders" && request.method == "POST") {
        handle_order(request);
    }
    else if (request.path.starts_with(kv_root)) {
        handle_kv(request);
    }
    else if (request.path == "/health") {
        http_.respond(id, 200, {{"run", settings_.run}});
    }
    else {
        http_.respond(id, 404, {{"error", "no such path"}});
    }
}

void engine_standin::handle_chat(const http_request& request)
{
    const json body = json::parse(request.body, nullptr, false);
    if (!body.is_object()) {
        http_.respond(request.id, 400, {{"error", "the body is not a JSON object"}});
        return;
    }
    if (is_draining_) {
        ++counts_["after_drain"];
        const auto since_drain = loop_->now() - drained_at_;
        latest_request_after_drain_ms_ =
            std::chrono::duration_cast<std::chrono::milliseconds>(since_drain).count();
    }
    const bool is_full = settings_.refuse_above != 0 && streams_.size() >= settings_.refuse_above;
    if (is_refusing_ || is_full) {
        ++counts_["refused"];
        http_.respond(request.id, is_full ? 429 : 503, {{"error", "refused, not run"}}, {},
                      {{"retry-after", "1"}});
        return;
    }
    if (const std::string* name = find_header(request.headers, "x-request-id")) {
        ++attempts_by_request_[*name];
    }
    if (body.contains("priority")) {
        ++priorities_[body.at("priority").dump()];
    }
    stream it;
    it.prompt = prompt_of(body);
    it.last = body.value("max_tokens", default_max_tokens);
    it.next = numeric_value(request.headers, "last-event-id") + 1;
    it.is_streamed = body.value("stream", true);
    if (const std::string* prefix = find_header(request.headers, "x-prefix-hash")) {
        it.has_cached_prefix = cache_.use(*prefix, loop_->now());
    }
    ++counts_[it.has_cached_prefix ? "warm" : "cold"];
    const std::string cached_flag = it.has_cached_prefix ? "1" : "0";
    const duration first = it.has_cached_prefix ? settings_.warm_delay : settings_.cold_delay;
    if (it.is_streamed) {
        http_.server.begin_stream(
            request.id, 200, {{"content-type", "text/event-stream"}, {"x-cached", cached_flag}});
    }
    // Staggers streams that start at the same time over one token interval.
    const auto stagger =
        mix_bits(request.id.value()) %
        static_cast<std::uint64_t>(std::max(settings_.token_interval, duration{1}).count());
    it.next_token_at = loop_->now() + first + duration{stagger};
    const duration wait = it.next_token_at - loop_->now();
    streams_.emplace(request.id, std::move(it));
    record_load();
    http_.delays.after(wait, [this, id = request.id] { send_next_token(id); });
}

void engine_standin::send_next_token(exchange_id id)
{
    const auto found = streams_.find(id);
    if (found == streams_.end()) {
        return;
    }
    stream& it = found->second;
    if (it.next > it.last) {
        finish(id, it);
        return;
    }
    const std::string text = token_text(it.prompt, it.next);
    if (it.is_streamed) {
        const json chunk = {{"choices", {{{"index", 0}, {"delta", {{"content", text}}}}}},
                            {"sent_us", loop_->now().time_since_epoch().count()}};
        http_.server.write(id,
                           std::make_shared<const std::string>("id: " + std::to_string(it.next) +
                                                               "\ndata: " + chunk.dump() + "\n\n"));
    }
    else {
        it.full_text += text;
    }
    ++it.next;
    ++counts_["tokens"];
    it.next_token_at =
        std::max(it.next_token_at + settings_.token_interval, loop_->now() + duration{1});
    http_.delays.after(std::max(it.next_token_at - loop_->now(), duration{1}),
                       [this, id] { send_next_token(id); });
}

void engine_standin::finish(exchange_id id, stream& it)
{
    ++counts_["completed"];
    if (it.is_streamed) {
        http_.server.write(id, std::make_shared<const std::string>("data: [DONE]\n\n"));
        http_.server.finish(id);
    }
    else {
        const json message = {{"role", "assistant"}, {"content", it.full_text}};
        http_.respond(id, 200, {{"choices", {{{"index", 0}, {"message", message}}}}}, {},
                      {{"x-cached", it.has_cached_prefix ? "1" : "0"}});
    }
    streams_.erase(id);
    record_load();
}

void engine_standin::handle_order(const http_request& request)
{
    const json body = parse_json(request.body);
    const auto fencing = body.value("fencing", std::uint64_t{0});
    if (settings_.checks_fencing_numbers && fencing < highest_fencing_number_) {
        ++counts_["orders_refused"];
        http_.respond(
            request.id, 409,
            {{"error", "the fencing number is old"}, {"highest", highest_fencing_number_}});
        return;
    }
    highest_fencing_number_ = std::max(highest_fencing_number_, fencing);
    orders_.push_back(body);
    http_.respond(request.id, 200, {{"fencing", fencing}});
}

void engine_standin::handle_kv(const http_request& request)
{
    const std::string prefix = request.path.substr(kv_root.size());
    if (request.method == "PUT") {
        ++counts_["kv_imported"];
        cache_.use(prefix, loop_->now());
        http_.respond(request.id, 200, json::object());
        return;
    }
    if (!cache_.contains(prefix)) {
        http_.respond(request.id, 404, {{"error", "the prefix is not cached"}});
        return;
    }
    ++counts_["kv_exported"];
    http_.respond(request.id, 200, {{"prefix", prefix}});
}

void engine_standin::control(const json& change)
{
    const bool was_draining = is_draining_;
    is_draining_ = change.value("draining", is_draining_);
    if (is_draining_ && !was_draining) {
        drained_at_ = loop_->now();
    }
    is_hanging_ = change.value("hang", is_hanging_);
    is_refusing_ = change.value("refuse", is_refusing_);
    if (change.contains("token_ms")) {
        settings_.token_interval = std::chrono::milliseconds{change.value("token_ms", 0)};
    }
    const bool is_restart = change.value("restart", false);
    if (is_restart) {
        cache_.clear();
        ++settings_.run;
    }
    if (is_restart || change.value("cut_streams", false)) {
        for (const auto& [id, it] : streams_) {
            http_.server.abort(id);
            ++counts_["cut"];
        }
        streams_.clear();
        record_load();
    }
}

void engine_standin::record_load()
{
    max_in_flight_ = std::max(max_in_flight_, streams_.size());
    load_history_.emplace_back(loop_->now(), streams_.size());
    if (load_history_.size() > max_load_samples) {
        load_history_.pop_front();
    }
}

json engine_standin::load() const
{
    const time_point reported_at = loop_->now() - settings_.load_lag;
    std::size_t in_flight = 0;
    for (const auto& [at, count] : load_history_) {
        if (at <= reported_at) {
            in_flight = count;
        }
    }
    return {{"run", settings_.run}, {"in_flight", in_flight}, {"cached", cache_.size()}};
}

json engine_standin::record() const
{
    return {{"run", settings_.run},
            {"in_flight", streams_.size()},
            {"max_in_flight", max_in_flight_},
            {"attempts", attempts_by_request_},
            {"counts", counts_},
            {"priorities", priorities_},
            {"orders", orders_},
            {"latest_after_drain_ms", latest_request_after_drain_ms_}};
}

} // namespace endivelatch::standins
