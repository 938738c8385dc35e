#include "wire/message_structs.hpp"

#include <string>
#include <utility>

namespace endivelatch {
namespace {

/// Converts the number to an enumerator; throws when it is negative or above `last`.
template <class Enum>
Enum to_enum(std::int32_t n, Enum last)
{
    if (n < 0 || n > static_cast<std::int32_t>(last)) {
        throw invalid_encoding{"enumerator " + std::to_string(n) + " is out of range"};
    }
    return static_cast<Enum>(n);
}

/// Converts a request and the number of an attempt, which is zero when it is not used.
thrift_wire::attempt_key to_struct(const request_id& request, std::uint32_t number)
{
    thrift_wire::attempt_key out;
    out.entry = request.entry.str();
    out.entry_run = to_signed(request.entry_incarnation.value());
    out.sequence = to_signed(request.sequence);
    out.attempt = to_signed(number);
    return out;
}

thrift_wire::attempt_key to_struct(const attempt_key& key)
{
    return to_struct(key.request, key.attempt.value());
}

request_id request_from(thrift_wire::attempt_key&& it)
{
    return {router_id{std::move(it.entry)}, incarnation{to_unsigned(it.entry_run)},
            to_unsigned(it.sequence)};
}

attempt_key from_struct(thrift_wire::attempt_key&& it)
{
    const attempt number{to_unsigned(it.attempt)};
    return {request_from(std::move(it)), number};
}

/// Moves the bytes into a payload.
payload to_payload(std::string&& bytes)
{
    return std::make_shared<const std::string>(std::move(bytes));
}

} // namespace

thrift_wire::forward_request to_struct(const forward_request& it)
{
    thrift_wire::forward_request out;
    out.key = to_struct(it.key);
    out.target = it.target.str();
    out.organisation = it.organisation.str();
    out.caller = it.caller.str();
    out.chat = it.chat.str();
    out.prefix_hash = to_signed(it.prefix_hash);
    out.work_tokens = to_signed(it.work_tokens);
    out.priority = it.priority;
    out.deadline_us = it.deadline.count();
    out.repeat = static_cast<std::int32_t>(it.repeat);
    out.config_version = to_signed(it.config_version);
    out.method = it.method;
    out.idempotency_key = it.idempotency_key.str();
    out.path = it.path;
    out.content_type = it.content_type;
    out.streams = it.streams;
    if (it.body) {
        out.__set_body(*it.body);
    }
    return out;
}

forward_request from_struct(thrift_wire::forward_request&& it)
{
    forward_request out;
    out.key = from_struct(std::move(it.key));
    out.target = target_id{std::move(it.target)};
    out.organisation = organisation_id{std::move(it.organisation)};
    out.caller = caller_id{std::move(it.caller)};
    out.chat = chat_id{std::move(it.chat)};
    out.prefix_hash = to_unsigned(it.prefix_hash);
    out.work_tokens = to_unsigned(it.work_tokens);
    out.priority = it.priority;
    out.deadline = duration{it.deadline_us};
    out.repeat = to_enum(it.repeat, repeatability::non_idempotent);
    out.config_version = to_unsigned(it.config_version);
    out.method = std::move(it.method);
    out.idempotency_key = booking_key{std::move(it.idempotency_key)};
    out.path = std::move(it.path);
    out.content_type = std::move(it.content_type);
    out.streams = it.streams;
    if (it.__isset.body) {
        out.body = to_payload(std::move(it.body));
    }
    return out;
}

thrift_wire::answer_begin to_struct(const answer_begin& it)
{
    thrift_wire::answer_begin out;
    out.key = to_struct(it.key);
    out.status = it.status;
    out.content_type = it.content_type;
    out.hint = it.hint;
    return out;
}

answer_begin from_struct(thrift_wire::answer_begin&& it)
{
    return {from_struct(std::move(it.key)), it.status, std::move(it.content_type),
            std::move(it.hint)};
}

thrift_wire::answer_event to_struct(const answer_event& it)
{
    thrift_wire::answer_event out;
    out.key = to_struct(it.key);
    out.number = to_signed(it.number.value());
    if (it.data) {
        out.__set_data(*it.data);
    }
    return out;
}

answer_event from_struct(thrift_wire::answer_event&& it)
{
    answer_event out{from_struct(std::move(it.key)), event_number{to_unsigned(it.number)}, {}};
    if (it.__isset.data) {
        out.data = to_payload(std::move(it.data));
    }
    return out;
}

thrift_wire::answer_end to_struct(const answer_end& it)
{
    thrift_wire::answer_end out;
    out.key = to_struct(it.key);
    out.result = static_cast<std::int32_t>(it.result);
    out.last = to_signed(it.last.value());
    out.reason = it.reason;
    out.retry_after_us = it.retry_after.count();
    return out;
}

answer_end from_struct(thrift_wire::answer_end&& it)
{
    return {from_struct(std::move(it.key)), to_enum(it.result, outcome::unknown),
            event_number{to_unsigned(it.last)}, std::move(it.reason), duration{it.retry_after_us}};
}

thrift_wire::cancel_request to_struct(const cancel_request& it)
{
    thrift_wire::cancel_request out;
    out.key = to_struct(it.key);
    return out;
}

cancel_request from_struct(thrift_wire::cancel_request&& it)
{
    return {from_struct(std::move(it.key))};
}

thrift_wire::answer_credit to_struct(const answer_credit& it)
{
    thrift_wire::answer_credit out;
    out.key = to_struct(it.key);
    out.taken = to_signed(it.taken.value());
    return out;
}

answer_credit from_struct(thrift_wire::answer_credit&& it)
{
    return {from_struct(std::move(it.key)), event_number{to_unsigned(it.taken)}};
}

thrift_wire::resume_request to_struct(const resume_request& it)
{
    thrift_wire::resume_request out;
    out.request = to_struct(it.request, 0);
    out.organisation = it.organisation.str();
    out.target = it.target.str();
    out.after = to_signed(it.after.value());
    return out;
}

resume_request from_struct(thrift_wire::resume_request&& it)
{
    return {request_from(std::move(it.request)), organisation_id{std::move(it.organisation)},
            target_id{std::move(it.target)}, event_number{to_unsigned(it.after)}};
}

thrift_wire::status_query to_struct(const status_query& it)
{
    thrift_wire::status_query out;
    out.key = to_struct(it.key);
    return out;
}

status_query from_struct(thrift_wire::status_query&& it)
{
    return {from_struct(std::move(it.key))};
}

thrift_wire::status_answer to_struct(const status_answer& it)
{
    thrift_wire::status_answer out;
    out.key = to_struct(it.key);
    out.state = static_cast<std::int32_t>(it.state);
    out.result = static_cast<std::int32_t>(it.result);
    return out;
}

status_answer from_struct(thrift_wire::status_answer&& it)
{
    return {from_struct(std::move(it.key)), to_enum(it.state, attempt_state::ended),
            to_enum(it.result, outcome::unknown)};
}

thrift_wire::handover_query to_struct(const handover_query& it)
{
    thrift_wire::handover_query out;
    out.target = it.target.str();
    out.adoption = to_signed(it.adoption);
    return out;
}

handover_query from_struct(thrift_wire::handover_query&& it)
{
    return {target_id{std::move(it.target)}, to_unsigned(it.adoption)};
}

thrift_wire::handover_answer to_struct(const handover_answer& it)
{
    thrift_wire::handover_answer out;
    out.target = it.target.str();
    out.in_flight = to_signed(it.in_flight);
    out.adoption = to_signed(it.adoption);
    return out;
}

handover_answer from_struct(thrift_wire::handover_answer&& it)
{
    return {target_id{std::move(it.target)}, to_unsigned(it.in_flight), to_unsigned(it.adoption)};
}

thrift_wire::booking_request to_struct(const booking_request& it)
{
    thrift_wire::booking_request out;
    out.call = to_struct(it.call);
    out.key = it.key.str();
    out.body_digest = it.body_digest;
    return out;
}

booking_request from_struct(thrift_wire::booking_request&& it)
{
    return {from_struct(std::move(it.call)), booking_key{std::move(it.key)},
            std::move(it.body_digest)};
}

thrift_wire::config_query to_struct(const config_query& it)
{
    thrift_wire::config_query out;
    for (const auto& [name, version] : it.have) {
        auto& entry = out.have.emplace_back();
        entry.name = name;
        entry.version = to_signed(version.value());
    }
    return out;
}

config_query from_struct(thrift_wire::config_query&& it)
{
    config_query out;
    for (auto& entry : it.have) {
        out.have.emplace_back(std::move(entry.name), object_version{to_unsigned(entry.version)});
    }
    return out;
}

thrift_wire::config_update to_struct(const config_update& it)
{
    thrift_wire::config_update out;
    for (const auto& object : it.objects) {
        auto& entry = out.objects.emplace_back();
        entry.name = object.name;
        entry.version = to_signed(object.version.value());
        entry.document = object.document;
    }
    return out;
}

config_update from_struct(thrift_wire::config_update&& it)
{
    config_update out;
    for (auto& entry : it.objects) {
        out.objects.push_back({std::move(entry.name), object_version{to_unsigned(entry.version)},
                               std::move(entry.document)});
    }
    return out;
}

thrift_wire::heartbeat to_struct(const heartbeat& it)
{
    thrift_wire::heartbeat out;
    out.sequence = to_signed(it.sequence);
    out.is_reply = it.is_reply;
    return out;
}

heartbeat from_struct(thrift_wire::heartbeat&& it)
{
    return {to_unsigned(it.sequence), it.is_reply};
}

} // namespace endivelatch
