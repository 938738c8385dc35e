#include "endivelatch/core/caller_access.hpp"

#include "endivelatch/base/digest.hpp"
#include "endivelatch/ledger/booking_key_time.hpp"
#include "endivelatch/routing/route.hpp"

#include <algorithm>

namespace endivelatch {

namespace {

constexpr int status_forbidden = 403;
constexpr int status_bad_request = 400;

template <class List, class Item>
bool contains(const List& list, const Item& item)
{
    return std::find(list.begin(), list.end(), item) != list.end();
}

refused_call refuse(int status, std::string place, std::string message)
{
    return {status, one_finding(std::move(place), std::move(message))};
}

std::string content_type_of(const http_received& http)
{
    const auto it = http.headers.find("content-type");
    return it == http.headers.end() ? std::string{} : it->second;
}

} // namespace

void caller_access::configure(const configuration& config)
{
    config_ = &config;
    by_key_hash_.clear();
    for (const auto& [id, organisation] : config.organisations) {
        for (const auto& key_hash : organisation.key_hashes) {
            by_key_hash_.emplace(key_hash, id);
        }
    }
    idempotent_pools_.clear();
    for (const auto& [id, target] : config.targets) {
        const auto [it, added] =
            idempotent_pools_.emplace(target.pool, target.contract.idempotent_calls);
        it->second = it->second && target.contract.idempotent_calls;
    }
}

const organisation_document* caller_access::organisation_of(const std::string& key) const
{
    if (config_ == nullptr || key.empty()) {
        return nullptr;
    }
    const auto it = by_key_hash_.find(to_hex(sha256(key)));
    if (it == by_key_hash_.end()) {
        return nullptr;
    }
    const auto found = config_->organisations.find(it->second);
    return found == config_->organisations.end() ? nullptr : &found->second;
}

bool caller_access::is_idempotent(const pool_id& pool) const
{
    const auto it = idempotent_pools_.find(pool);
    return it != idempotent_pools_.end() && it->second;
}

std::variant<request_spec, refused_call>
caller_access::chat(const organisation_document& organisation, const chat_call& call,
                    const http_received& http, time_point now) const
{
    const auto model = config_->models.find(call.model);
    if (model == config_->models.end()) {
        return refuse(status_bad_request, "/model", "model \"" + call.model + "\" does not exist");
    }
    if (!contains(organisation.models, call.model)) {
        return refuse(status_forbidden, "/model",
                      "organisation \"" + organisation.id.str() + "\" may not use model \"" +
                          call.model + "\"");
    }
    request_spec spec;
    spec.organisation = organisation.id;
    spec.caller = call.caller;
    spec.chat = call.chat;
    spec.pool = model->second.pool;
    spec.hint = call.hint;
    const auto prefix_name = call.chat.empty() ? chat_id{call.caller.str()} : call.chat;
    spec.prefix_hash = chat_prefix_hash(organisation.id, prefix_name);
    spec.work_tokens = call.work_tokens;
    spec.priority = call.priority;
    spec.start_by = now + call.deadline.value_or(config_->defaults.queue_deadline);
    spec.run_timeout = config_->defaults.request_timeout;
    spec.path = "/v1/chat/completions";
    spec.content_type = content_type_of(http);
    spec.body = http.body;
    spec.streams = call.streams;
    return spec;
}

std::variant<request_spec, refused_call>
caller_access::service(const organisation_document& organisation, const service_call& call,
                       const http_received& http, time_point now) const
{
    if (!contains(organisation.services, call.service)) {
        return refuse(status_forbidden, "path",
                      "organisation \"" + organisation.id.str() + "\" may not use service \"" +
                          call.service.str() + "\"");
    }
    const bool repeatable = call.method == "GET" || is_idempotent(call.service);
    if (!repeatable && call.key.empty()) {
        return refuse(status_bad_request, "header idempotency-key",
                      "is required because calls to service \"" + call.service.str() +
                          "\" may not be repeated");
    }
    if (!repeatable && !booking_key_time(call.key)) {
        return refuse(status_bad_request, "header idempotency-key",
                      "\"" + call.key.str() + "\" has the wrong form; expected UNIX_SECONDS-TEXT");
    }
    request_spec spec;
    spec.organisation = organisation.id;
    spec.caller = call.caller;
    spec.pool = call.service;
    spec.start_by = now + call.deadline.value_or(config_->defaults.queue_deadline);
    spec.run_timeout = config_->defaults.request_timeout;
    spec.repeat = repeatable ? repeatability::idempotent : repeatability::non_idempotent;
    spec.method = call.method;
    spec.path = call.path;
    spec.content_type = content_type_of(http);
    spec.body = http.body;
    spec.key = repeatable ? booking_key{} : call.key;
    return spec;
}

} // namespace endivelatch
