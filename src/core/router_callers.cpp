#include "endivelatch/core/entry_list.hpp"
#include "endivelatch/core/http_response.hpp"
#include "endivelatch/core/router.hpp"

#include "endivelatch/base/digest.hpp"
#include "endivelatch/base/hash.hpp"

#include <charconv>
#include <nlohmann/json.hpp>

/// Handling of requests from callers and operators.
namespace endivelatch {

namespace {

using nlohmann::json;

constexpr int status_ok = 200;
constexpr int status_accepted = 202;
constexpr int status_unauthorized = 401;
constexpr int status_not_found = 404;
constexpr int status_unavailable = 503;
constexpr std::size_t max_entry_addresses = 3;

http_respond json_response(exchange_number exchange, int status, std::string body)
{
    return {exchange, status, {{"content-type", "application/json"}}, std::move(body)};
}

http_respond text_response(exchange_number exchange, int status, std::string body)
{
    return {exchange, status, {{"content-type", "text/plain; charset=utf-8"}}, std::move(body)};
}

std::optional<std::uint64_t> version_condition(const http_received& http)
{
    const auto it = http.query.find("if_version");
    if (it == http.query.end()) {
        return std::nullopt;
    }
    std::uint64_t n = 0;
    const auto& text = it->second;
    const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), n);
    return ec == std::errc{} ? std::optional{n} : std::nullopt;
}

} // namespace

void router::on(const http_received& e, const moment& at, outbox& out)
{
    const auto parsed = parse_call(e);
    if (const auto* refused = std::get_if<refused_call>(&parsed)) {
        out.count("requests_refused");
        out.push(refusal_response(e.exchange, refused->status, refused->errors));
        return;
    }
    std::visit([&](const auto& call) { handle(e, call, at, out); }, std::get<caller_call>(parsed));
}

void router::on(const http_closed& e, const moment& at, outbox& out)
{
    responses_.on_closed(e.exchange);
    entry_requests_.on_caller_closed(e.exchange, settings_.resume_grace, at, out);
}

void router::on(const http_drained& e, const moment& /*at*/, outbox& out)
{
    if (const auto request = entry_requests_.request_of(e.exchange)) {
        entry_requests_.on_sink_drained(*request, out);
    }
}

const organisation_document* router::authenticate(const http_received& http, outbox& out)
{
    const auto* organisation = access_.organisation_of(bearer_key(http.headers));
    if (organisation == nullptr) {
        out.count("requests_refused");
        out.push(refusal_response(http.exchange, status_unauthorized,
                                  one_finding("header authorization", "holds no valid key")));
    }
    return organisation;
}

bool router::accepts_requests(const http_received& http, const moment& at, outbox& out)
{
    const bool stopped = stopping_ && at.now >= stop_after_;
    if (ready() && !stopped) {
        return true;
    }
    auto response = refusal_response(
        http.exchange, status_unavailable,
        one_finding("router", stopped ? "is stopping; ask for entry addresses again"
                                      : "has no configuration yet; try another address"));
    response.headers.emplace_back("retry-after", "1");
    out.push(std::move(response));
    return false;
}

void router::start_or_refuse(const http_received& http,
                             std::variant<request_spec, refused_call> result, const moment& at,
                             outbox& out)
{
    if (const auto* refused = std::get_if<refused_call>(&result)) {
        out.count("requests_refused");
        out.push(refusal_response(http.exchange, refused->status, refused->errors));
        return;
    }
    retry_budget_.record_request(at.now);
    entry_requests_.start(exchange_sink{http.exchange}, std::get<request_spec>(std::move(result)),
                          at, out);
}

void router::handle(const http_received& http, const chat_call& call, const moment& at, outbox& out)
{
    if (!accepts_requests(http, at, out)) {
        return;
    }
    if (const auto* organisation = authenticate(http, out)) {
        start_or_refuse(http, access_.chat(*organisation, call, http, at.now), at, out);
    }
}

void router::handle(const http_received& http, const service_call& call, const moment& at,
                    outbox& out)
{
    if (!accepts_requests(http, at, out)) {
        return;
    }
    if (const auto* organisation = authenticate(http, out)) {
        start_or_refuse(http, access_.service(*organisation, call, http, at.now), at, out);
    }
}

void router::handle(const http_received& http, const entry_call& call, const moment& at,
                    outbox& out)
{
    const auto* organisation = authenticate(http, out);
    if (organisation == nullptr) {
        return;
    }
    std::optional<router_id> preferred;
    if (const auto hint = hints_.open(call.hint, organisation->id, call.chat, at.wall)) {
        preferred = ownership_.owner_of(hint->target);
    }
    std::vector<member> routers;
    for (const auto& [id, state] : members_) {
        routers.push_back(state);
    }
    const auto caller_hash =
        combine_hashes(stable_hash(organisation->id.str()),
                       stable_hash(call.chat.str() + to_hex(http.random_text)));
    const auto chosen =
        entry_routers(routers, settings_.self, preferred, caller_hash, max_entry_addresses);
    out.push(json_response(http.exchange, status_ok,
                           entry_response_body(chosen, store_.current().defaults.entry_lifetime)));
}

void router::handle(const http_received& http, const resume_call& call, const moment& at,
                    outbox& out)
{
    const auto* organisation = authenticate(http, out);
    if (organisation == nullptr) {
        return;
    }
    const auto owner = route_to({}, call.owner);
    const bool resumed = owner && entry_requests_.resume(http.exchange, call.request, *owner,
                                                         organisation->id, call.after, at, out);
    if (!resumed) {
        answer_end lost{
            {call.request, {}}, outcome::unknown, {}, "the answer is no longer kept", {}};
        out.push(outcome_response(http.exchange, lost));
    }
}

void router::handle(const http_received& http, const cancel_call& call, const moment& /*at*/,
                    outbox& out)
{
    const auto* organisation = authenticate(http, out);
    if (organisation == nullptr) {
        return;
    }
    if (!entry_requests_.cancel(call.request, organisation->id, out)) {
        out.push(refusal_response(http.exchange, status_not_found,
                                  one_finding("request", "is not in progress at this router")));
        return;
    }
    out.push(json_response(http.exchange, status_accepted, R"({"cancelled":true})"));
}

void router::handle(const http_received& http, const admin_call& call, const moment& at,
                    outbox& out)
{
    const auto hash = to_hex(sha256(bearer_key(http.headers)));
    if (!equal_in_constant_time(hash, settings_.operator_key_hash)) {
        out.count("requests_refused");
        out.push(refusal_response(http.exchange, status_unauthorized,
                                  one_finding("header authorization", "holds no operator's key")));
        return;
    }
    if (handle_local_admin(http, call, at, out)) {
        return;
    }
    if (!administration::handles(http.path)) {
        out.push(refusal_response(http.exchange, status_not_found,
                                  one_finding("path", "\"" + http.path + "\" does not exist")));
        return;
    }
    admin_request request;
    request.exchange = admin_exchange{http.exchange.value()};
    const auto name = http.headers.find("x-endivelatch-operator");
    request.operator_name = name == http.headers.end() ? "operator" : name->second;
    request.method = http.method;
    request.path = http.path;
    request.body = http.body ? *http.body : std::string{};
    request.if_version = version_condition(http);
    request.random_text = http.random_text;
    apply(administration_.request(request, at.wall, at.now), at, out);
}

bool router::handle_local_admin(const http_received& http, const admin_call& call, const moment& at,
                                outbox& out)
{
    if (call.method == "GET" && call.path == "status") {
        out.push(json_response(http.exchange, status_ok, status_json(at)));
        return true;
    }
    if (call.method == "GET" && call.path == "timeline") {
        out.push(text_response(http.exchange, status_ok, time_line_.to_text()));
        return true;
    }
    if (call.method == "POST" && call.path == "drain") {
        out.push(json_response(http.exchange, status_accepted,
                               json{{"draining", settings_.self.id.str()}}.dump()));
        on(stop_requested{}, at, out);
        return true;
    }
    return false;
}

void router::handle(const http_received& http, const probe_call& call, const moment& /*at*/,
                    outbox& out)
{
    if (call == probe_call::metrics) {
        counters_.set("requests_in_progress", static_cast<std::int64_t>(entry_requests_.size()));
        counters_.set("runs_in_progress", static_cast<std::int64_t>(runs_.running()));
        counters_.set("targets_owned", static_cast<std::int64_t>(owned_.size()));
        counters_.set("routers_known", static_cast<std::int64_t>(members_.size()));
        out.push(text_response(http.exchange, status_ok, counters_.to_text()));
        return;
    }
    const bool healthy = ready() && !stopping_;
    out.push(text_response(http.exchange, healthy ? status_ok : status_unavailable,
                           stopping_ ? "stopping\n"
                           : healthy ? "ready\n"
                                     : "starting\n"));
}

std::string router::status_json(const moment& at)
{
    json status{{"router", settings_.self.id.str()},
                {"incarnation", run_.value()},
                {"ready", ready()},
                {"stopping", stopping_},
                {"configuration_version", store_.highest_version().value()},
                {"configuration_digest", store_.digest()},
                {"requests_in_progress", entry_requests_.size()},
                {"routers", json::object()},
                {"targets", json::object()}};
    for (const auto& [id, state] : members_) {
        status["routers"][id.str()] = {{"status", to_string(state.status)},
                                       {"incarnation", state.run.value()},
                                       {"failure_domain", state.domain.str()},
                                       {"region", state.region.str()}};
    }
    for (const auto& [id, document] : store_.current().targets) {
        const auto owner = ownership_.owner_of(id);
        const auto* state = directory_.find(id);
        status["targets"][id.str()] = {
            {"owner", owner ? owner->str() : ""},
            {"takes_work", state != nullptr && state->takes_work()},
            {"draining", document.draining},
            {"in_flight", state == nullptr ? 0 : state->in_flight},
            {"run", state == nullptr ? 0 : state->run.value()},
        };
        if (admission_.owns(id)) {
            status["targets"][id.str()]["cap"] = admission_.cap(id, at.now);
            status["targets"][id.str()]["queued"] = admission_.queued(id);
        }
    }
    return status.dump();
}

} // namespace endivelatch
