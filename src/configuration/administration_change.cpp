#include "administration_state.hpp"
#include "endivelatch/base/digest.hpp"
#include "endivelatch/base/overloaded.hpp"
#include "endivelatch/configuration/parse.hpp"

#include <algorithm>

/// The steps of one operator's change.
namespace endivelatch {

namespace {

using nlohmann::json;

constexpr std::int32_t http_ok = 200;
constexpr std::int32_t http_accepted = 202;
constexpr std::int32_t http_not_found = 404;
constexpr std::int32_t http_conflict = 409;
constexpr std::int32_t http_unprocessable = 422;
constexpr std::int32_t http_unavailable = 503;
constexpr std::int32_t http_gateway_timeout = 504;
constexpr std::size_t random_text_size = 16;

} // namespace

void administration::state::step(change_iterator it, time_point now)
{
    auto& change = it->second;
    if (now >= change.deadline) {
        expire(it);
        return;
    }
    if (change.call && now >= change.call_timeout) {
        change.call.reset();
        change.call_timeout = time_point::max();
        call_failed(it, {true, "no answer in time"}, now);
        return;
    }
    if (change.call || change.stage != change_stage::reading || now < change.next_try) {
        return;
    }
    change.call = calls.next();
    change.call_timeout = now + settings.call_timeout;
    out->emplace_back(platform_call{read_object{*change.call, change.object}});
}

void administration::state::on_platform_answered(change_iterator it, const platform_answer& answer,
                                                 time_point now)
{
    auto& change = it->second;
    change.call_timeout = time_point::max();
    std::visit(overloaded{[&](const objects_found& found) { take_read(it, found, now); },
                          [&](const write_done& done) {
                              accepted(it, done.version, change.document, now);
                          },
                          [&](const write_conflict&) {
                              change.stage = change_stage::reading;
                              step(it, now);
                          },
                          [&](const platform_failed& failed) { call_failed(it, failed, now); }},
               answer.body);
}

void administration::state::take_read(change_iterator it, const objects_found& found,
                                      time_point now)
{
    auto& change = it->second;
    const auto same = [&](const platform_object& o) { return o.name == change.object; };
    const auto object = std::find_if(found.objects.begin(), found.objects.end(), same);
    const bool exists = object != found.objects.end();
    const auto version = exists ? object->version : object_version{};
    if (version < change.version) {
        change.next_try = now + settings.retry_delay;
        return;
    }
    auto document = exists ? object->document : std::string{};
    if (exists && !has_value(parse_object(change.object, document))) {
        const auto* const good = store.held(change.object);
        document = good == nullptr ? std::string{} : good->document;
    }
    change.stored = object_json(document);
    if (holds_change(change.stored, change.change.id)) {
        accepted(it, version, document, now);
        return;
    }
    if (version > change.version) {
        change.open_fate = false;
    }
    change.version = version;
    decide(it, now);
}

void administration::state::decide(change_iterator it, time_point now)
{
    auto& change = it->second;
    const auto current = entry_of(change.stored, change.id);
    if (!change.has_base) {
        change.base = current;
        change.has_base = true;
    }
    if (settings.detect_conflicts && is_conflict(change)) {
        answer_conflict(it);
        return;
    }
    change.base = current;
    if (make_entry(it)) {
        write(it, now);
    }
}

bool administration::state::is_conflict(const pending_change& change) const
{
    if (change.request.if_version) {
        return revision_of(change.stored, change.id) != *change.request.if_version;
    }
    return entry_of(change.stored, change.id) != change.base;
}

bool administration::state::make_entry(change_iterator it)
{
    auto& change = it->second;
    const auto& method = change.request.method;
    if (method != "PUT" && change.base.is_null()) {
        refuse(change.request.exchange, http_not_found,
               "\"" + change.id + "\" does not exist in " + std::string{to_string(change.kind)});
        changes.erase(it);
        return false;
    }
    change.entry = method == "DELETE" ? json{} : change.base;
    if (method == "PUT") {
        change.entry = json::parse(change.request.body);
    }
    if (method == "PATCH") {
        change.entry.merge_patch(json::parse(change.request.body));
    }
    const bool is_new = method == "PUT" && change.base.is_null();
    const bool makes_key = change.kind == config_kind::organisations && change.entry.is_object() &&
                           (method == "POST" || (is_new && !change.entry.contains("key_hashes")));
    if (makes_key && change.request.random_text.size() >= random_text_size) {
        change.key = to_base64url(change.request.random_text);
        change.entry["key_hashes"].push_back(to_hex(sha256(change.key)));
    }
    if (change.kind == config_kind::exceptions && change.entry.is_object()) {
        change.entry["author"] = change.request.operator_name;
        change.entry["created_us"] = change.change.at.time_since_epoch().count();
    }
    const auto place = change.object + "#/entries/" + change.id;
    auto faults = change.entry.is_null() ? findings{}
                                         : check_entry(change.kind, change.id, change.entry, place);
    if (faults.empty()) {
        faults = check_new_references(store.current(), change.kind, change.id, change.entry);
    }
    if (faults.empty()) {
        return true;
    }
    refuse(change.request.exchange, http_unprocessable, "the change has faults", faults);
    changes.erase(it);
    return false;
}

void administration::state::write(change_iterator it, time_point now)
{
    auto& change = it->second;
    auto object = change.stored;
    change.change.revision = change.version.value() + 1;
    apply_change(object, change.id, change.entry, change.change);
    change.document = object.dump();
    if (change.document.size() > max_object_size) {
        refuse(change.request.exchange, http_unprocessable,
               "object \"" + change.object + "\" would be larger than the platform stores");
        changes.erase(it);
        return;
    }
    change.stage = change_stage::writing;
    change.call = calls.next();
    change.call_timeout = now + settings.call_timeout;
    out->emplace_back(
        platform_call{write_object{*change.call, change.object, change.version, change.document}});
}

void administration::state::call_failed(change_iterator it, const platform_failed& failed,
                                        time_point now)
{
    auto& change = it->second;
    if (change.stage == change_stage::writing && failed.may_have_taken_effect) {
        change.open_fate = true;
    }
    if (change.open_fate && !settings.settle_lost_writes) {
        accepted(it, change.version.next(), change.document, now);
        return;
    }
    if (!change.open_fate) {
        refuse(change.request.exchange, http_unavailable,
               "not accepted, nothing was changed: the platform is not available (" +
                   failed.reason + ")");
        changes.erase(it);
        return;
    }
    change.stage = change_stage::reading;
    change.next_try = now + settings.retry_delay;
}

void administration::state::accepted(change_iterator it, object_version version,
                                     const std::string& document, time_point now)
{
    auto& change = it->second;
    change.stage = change_stage::confirming;
    change.accepted = version;
    change.deadline = now + settings.confirm_wait;
    auto effects = store.accept({change.object, version, document}, now);
    out->insert(out->end(), std::make_move_iterator(effects.begin()),
                std::make_move_iterator(effects.end()));
    if (store.peer_count() == 0 || !settings.wait_for_peer) {
        answer_accepted(it, !settings.wait_for_peer);
    }
}

void administration::state::answer_accepted(change_iterator it, bool confirmed)
{
    const auto& change = it->second;
    const bool is_alone = store.peer_count() == 0;
    json body{{"accepted", true},
              {"id", change.id},
              {"change", change.change.id},
              {"revision", change.entry.is_null() ? 0 : change.change.revision},
              {"object", change.object},
              {"object_version", change.accepted.value()},
              {"confirmed_by_peer", confirmed}};
    if (!change.key.empty()) {
        body["key"] = change.key;
    }
    if (!confirmed && !is_alone) {
        body["accepted"] = false;
        body["stored"] = true;
        body["message"] = "stored, but no other router has confirmed it yet";
    }
    answer(change.request.exchange, confirmed || is_alone ? http_ok : http_accepted, body);
    changes.erase(it);
}

void administration::state::answer_conflict(change_iterator it)
{
    const auto& change = it->second;
    const auto current = entry_of(change.stored, change.id);
    const auto stamp = stamp_of(change.stored, change.id);
    json body{{"error", "conflict"},
              {"accepted", false},
              {"message", "\"" + change.id + "\" was changed by another operator"},
              {"current", current},
              {"changed", stamp},
              {"revision", revision_of(change.stored, change.id)},
              {"differences", differences(change.base, current)}};
    answer(change.request.exchange, http_conflict, body);
    changes.erase(it);
}

void administration::state::expire(change_iterator it)
{
    const auto& change = it->second;
    if (change.stage == change_stage::confirming) {
        answer_accepted(it, false);
        return;
    }
    if (change.open_fate || change.stage == change_stage::writing) {
        refuse(change.request.exchange, http_gateway_timeout,
               "unknown whether change " + change.change.id +
                   " was stored: the platform did not answer; read \"" + change.id +
                   "\" before trying again");
        changes.erase(it);
        return;
    }
    refuse(change.request.exchange, http_unavailable,
           "not accepted, nothing was changed: the platform did not answer in time");
    changes.erase(it);
}

} // namespace endivelatch
