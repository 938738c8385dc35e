#include "administration_state.hpp"
#include "endivelatch/base/digest.hpp"
#include "endivelatch/base/json_text.hpp"
#include "endivelatch/base/overloaded.hpp"
#include "endivelatch/configuration/parse.hpp"

#include <algorithm>

/// Processing of operators' changes: reading, conflict detection, writing and confirmation.
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
constexpr std::size_t min_random_text_size = 16;

} // namespace

void administration::state::advance(change_iterator it, time_point now)
{
    auto& change = it->second;
    if (now >= change.deadline) {
        on_deadline(it);
        return;
    }
    if (change.pending_call && now >= change.call_deadline) {
        change.pending_call.reset();
        change.call_deadline = time_point::max();
        on_call_failed(it, {true, "no answer in time"}, now);
        return;
    }
    if (change.pending_call || change.stage != change_stage::reading || now < change.next_read_at) {
        return;
    }
    change.pending_call = calls.next();
    change.call_deadline = now + settings.call_timeout;
    out->emplace_back(platform_call{read_object{*change.pending_call, change.object_name}});
}

void administration::state::on_platform_answered(change_iterator it, const platform_answer& answer,
                                                 time_point now)
{
    auto& change = it->second;
    change.call_deadline = time_point::max();
    std::visit(overloaded{[&](const objects_found& found) { on_object_read(it, found, now); },
                          [&](const write_done& done) {
                              on_stored(it, done.version, change.written_document, now);
                          },
                          [&](const write_conflict&) {
                              change.stage = change_stage::reading;
                              advance(it, now);
                          },
                          [&](const platform_failed& failed) { on_call_failed(it, failed, now); }},
               answer.body);
}

void administration::state::on_object_read(change_iterator it, const objects_found& found,
                                           time_point now)
{
    auto& change = it->second;
    const auto is_requested = [&](const platform_object& o) {
        return o.name == change.object_name;
    };
    const auto object = std::find_if(found.objects.begin(), found.objects.end(), is_requested);
    const bool exists = object != found.objects.end();
    const auto version = exists ? object->version : object_version{};
    if (version < change.read_version) {
        change.next_read_at = now + settings.retry_delay;
        return;
    }
    auto document = exists ? object->document : std::string{};
    if (exists && !has_value(parse_object(change.object_name, document))) {
        const auto* const valid_object = store.find_object(change.object_name);
        document = valid_object == nullptr ? std::string{} : valid_object->document;
    }
    change.current_object = object_json(document);
    if (contains_change(change.current_object, change.record.id)) {
        on_stored(it, version, document, now);
        return;
    }
    if (version > change.read_version) {
        change.write_uncertain = false;
    }
    change.read_version = version;
    validate_and_write(it, now);
}

void administration::state::validate_and_write(change_iterator it, time_point now)
{
    auto& change = it->second;
    const auto current = entry_of(change.current_object, change.id);
    if (!change.has_base) {
        change.base_entry = current;
        change.has_base = true;
    }
    if (settings.detect_conflicts && is_conflict(change)) {
        respond_conflict(it);
        return;
    }
    change.base_entry = current;
    if (build_entry(it)) {
        write(it, now);
    }
}

bool administration::state::is_conflict(const pending_change& change) const
{
    if (change.request.if_version) {
        return revision_of(change.current_object, change.id) != *change.request.if_version;
    }
    return entry_of(change.current_object, change.id) != change.base_entry;
}

bool administration::state::build_entry(change_iterator it)
{
    auto& change = it->second;
    const auto& method = change.request.method;
    if (method != "PUT" && change.base_entry.is_null()) {
        reject(change.request.exchange, http_not_found,
               "\"" + change.id + "\" does not exist in " + std::string{to_string(change.kind)});
        changes.erase(it);
        return false;
    }
    change.new_entry = method == "DELETE" ? json{} : change.base_entry;
    if (method == "PUT") {
        change.new_entry = parse_json(change.request.body);
    }
    if (method == "PATCH") {
        change.new_entry.merge_patch(parse_json(change.request.body));
    }
    const bool is_new = method == "PUT" && change.base_entry.is_null();
    const bool needs_new_key =
        change.kind == config_kind::organisations && change.new_entry.is_object() &&
        (method == "POST" || (is_new && !change.new_entry.contains("key_hashes")));
    if (needs_new_key && change.request.random_text.size() >= min_random_text_size) {
        change.new_key = to_base64url(change.request.random_text);
        change.new_entry["key_hashes"].push_back(to_hex(sha256(change.new_key)));
    }
    if (change.kind == config_kind::exceptions && change.new_entry.is_object()) {
        change.new_entry["author"] = change.request.operator_name;
        change.new_entry["created_us"] = change.record.at.time_since_epoch().count();
    }
    const auto place = change.object_name + "#/entries/" + change.id;
    auto errors = change.new_entry.is_null()
                      ? findings{}
                      : check_entry(change.kind, change.id, change.new_entry, place);
    if (errors.empty()) {
        errors = check_new_references(store.current(), change.kind, change.id, change.new_entry);
    }
    if (errors.empty()) {
        return true;
    }
    reject(change.request.exchange, http_unprocessable, "the change is not valid", errors);
    changes.erase(it);
    return false;
}

void administration::state::write(change_iterator it, time_point now)
{
    auto& change = it->second;
    auto object = change.current_object;
    change.record.revision = change.read_version.value() + 1;
    apply_change(object, change.id, change.new_entry, change.record);
    change.written_document = object.dump();
    if (change.written_document.size() > max_object_size) {
        reject(change.request.exchange, http_unprocessable,
               "object \"" + change.object_name + "\" would exceed the size limit of the platform");
        changes.erase(it);
        return;
    }
    change.stage = change_stage::writing;
    change.pending_call = calls.next();
    change.call_deadline = now + settings.call_timeout;
    out->emplace_back(platform_call{write_object{*change.pending_call, change.object_name,
                                                 change.read_version, change.written_document}});
}

void administration::state::on_call_failed(change_iterator it, const platform_failed& failed,
                                           time_point now)
{
    auto& change = it->second;
    if (change.stage == change_stage::writing && failed.may_have_taken_effect) {
        change.write_uncertain = true;
    }
    if (change.write_uncertain && !settings.resolve_lost_writes) {
        on_stored(it, change.read_version.next(), change.written_document, now);
        return;
    }
    if (!change.write_uncertain) {
        reject(change.request.exchange, http_unavailable,
               "not accepted, nothing was changed: the platform is not available (" +
                   failed.reason + ")");
        changes.erase(it);
        return;
    }
    change.stage = change_stage::reading;
    change.next_read_at = now + settings.retry_delay;
}

void administration::state::on_stored(change_iterator it, object_version version,
                                      const std::string& document, time_point now)
{
    auto& change = it->second;
    change.stage = change_stage::confirming;
    change.stored_version = version;
    change.deadline = now + settings.confirmation_timeout;
    auto effects = store.publish({change.object_name, version, document}, now);
    out->insert(out->end(), std::make_move_iterator(effects.begin()),
                std::make_move_iterator(effects.end()));
    if (store.peer_count() == 0 || !settings.wait_for_peer) {
        respond_accepted(it, !settings.wait_for_peer);
    }
}

void administration::state::respond_accepted(change_iterator it, bool confirmed)
{
    const auto& change = it->second;
    const bool has_no_peers = store.peer_count() == 0;
    json body{{"accepted", true},
              {"id", change.id},
              {"change", change.record.id},
              {"revision", change.new_entry.is_null() ? 0 : change.record.revision},
              {"object", change.object_name},
              {"object_version", change.stored_version.value()},
              {"confirmed_by_peer", confirmed}};
    if (!change.new_key.empty()) {
        body["key"] = change.new_key;
    }
    if (!confirmed && !has_no_peers) {
        body["accepted"] = false;
        body["stored"] = true;
        body["message"] = "stored, but no other router has confirmed it yet";
    }
    respond(change.request.exchange, confirmed || has_no_peers ? http_ok : http_accepted, body);
    changes.erase(it);
}

void administration::state::respond_conflict(change_iterator it)
{
    const auto& change = it->second;
    const auto current = entry_of(change.current_object, change.id);
    const auto last_change = last_change_of(change.current_object, change.id);
    json body{{"error", "conflict"},
              {"accepted", false},
              {"message", "\"" + change.id + "\" was changed by another operator"},
              {"current", current},
              {"changed", last_change},
              {"revision", revision_of(change.current_object, change.id)},
              {"differences", differences(change.base_entry, current)}};
    respond(change.request.exchange, http_conflict, body);
    changes.erase(it);
}

void administration::state::on_deadline(change_iterator it)
{
    const auto& change = it->second;
    if (change.stage == change_stage::confirming) {
        respond_accepted(it, false);
        return;
    }
    if (change.write_uncertain || change.stage == change_stage::writing) {
        reject(change.request.exchange, http_gateway_timeout,
               "unknown whether change " + change.record.id +
                   " was stored: the platform did not answer; read \"" + change.id +
                   "\" before trying again");
        changes.erase(it);
        return;
    }
    reject(change.request.exchange, http_unavailable,
           "not accepted, nothing was changed: the platform did not answer in time");
    changes.erase(it);
}

} // namespace endivelatch
