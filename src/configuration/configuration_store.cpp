#include "endivelatch/configuration/configuration_store.hpp"

#include "endivelatch/configuration/check.hpp"
#include "endivelatch/configuration/object_names.hpp"

#include <algorithm>

namespace endivelatch {

namespace {

std::uint64_t object_digest(const config_object& object)
{
    return combine_hashes(stable_hash(object.name), object.version.value());
}

} // namespace

configuration_store::configuration_store(router_id self, std::uint64_t seed,
                                         configuration_store_settings settings,
                                         platform_call_id_source& calls)
    : self_{std::move(self)}, random_{seed}, settings_{settings}, calls_{calls}
{
}

void configuration_store::set_peers(std::vector<router_id> peers)
{
    std::erase(peers, self_);
    peers_ = std::move(peers);
}

configuration_effects configuration_store::on_config_update(const router_id& from,
                                                            const config_update& update,
                                                            time_point now)
{
    configuration_effects out;
    std::vector<std::string> changed;
    config_update confirmation;
    bool is_behind = false;
    for (const auto& object : update.objects) {
        if (const auto push = pending_pushes_.find(object.name);
            push != pending_pushes_.end() && object.version >= push->second.version) {
            pending_pushes_.erase(push);
            out.emplace_back(object_confirmed{from, object.name, object.version});
        }
        if (object.document.empty()) {
            is_behind = should_query(object, now) || is_behind;
            continue;
        }
        if (apply_object(object, out)) {
            changed.push_back(object.name);
        }
        if (const auto* const local = find_object(object.name); local != nullptr) {
            confirmation.objects.push_back({object.name, local->version, {}});
        }
    }
    if (!changed.empty()) {
        if (ready_) {
            announce(changed, from, out);
        }
        out.emplace_back(configuration_changed{std::move(changed)});
    }
    if (!confirmation.objects.empty() && ready_) {
        out.emplace_back(send_config{from, std::move(confirmation)});
    }
    if (is_behind) {
        send_query(from, out);
    }
    if (update.objects.empty()) {
        on_boot_response(from, now, out);
    }
    return out;
}

bool configuration_store::should_query(const config_object& announced, time_point now)
{
    const auto* const local = find_object(announced.name);
    const auto rejected = rejected_.find(announced.name);
    const bool is_new = local == nullptr || announced.version > local->version;
    const bool is_rejected = rejected != rejected_.end() && announced.version <= rejected->second;
    if (!is_new || is_rejected) {
        return false;
    }
    auto& queried = queried_versions_[announced.name];
    if (announced.version <= queried.version && now < queried.expires_at) {
        return false;
    }
    queried = {announced.version, now + settings_.query_interval};
    return true;
}

configuration_effects configuration_store::on_config_query(const router_id& from,
                                                           const config_query& query,
                                                           time_point now)
{
    configuration_effects out;
    std::map<std::string_view, object_version> peer_versions;
    bool is_behind = false;
    for (const auto& [name, version] : query.have) {
        peer_versions.emplace(name, version);
        const auto* const local = find_object(name);
        is_behind = is_behind || local == nullptr || local->version < version;
    }
    std::vector<config_object> newer;
    for (const auto& [name, stored] : objects_) {
        const auto found = peer_versions.find(name);
        if (found == peer_versions.end() || found->second < stored.object.version) {
            newer.push_back(stored.object);
        }
    }
    send_chunks(from, std::move(newer), out);
    if (is_behind && now >= next_query_at_) {
        next_query_at_ = now + settings_.query_interval;
        send_query(from, out);
    }
    return out;
}

void configuration_store::send_chunks(const router_id& to, std::vector<config_object> objects,
                                      configuration_effects& out) const
{
    config_update chunk;
    std::size_t size = 0;
    for (auto& object : objects) {
        if (size + object.document.size() > settings_.chunk_size && !chunk.objects.empty()) {
            out.emplace_back(send_config{to, std::move(chunk)});
            chunk = {};
            size = 0;
        }
        size += object.document.size();
        chunk.objects.push_back(std::move(object));
    }
    if (!chunk.objects.empty()) {
        out.emplace_back(send_config{to, std::move(chunk)});
    }
    if (ready_) {
        out.emplace_back(send_config{to, {}});
    }
}

configuration_effects configuration_store::on_peer_digest(const router_id& from,
                                                          std::uint64_t digest, time_point now)
{
    configuration_effects out;
    if (digest == digest_ || now < next_query_at_) {
        return out;
    }
    next_query_at_ = now + settings_.query_interval;
    send_query(from, out);
    return out;
}

configuration_effects configuration_store::publish(const config_object& object, time_point now)
{
    configuration_effects out;
    if (apply_object(object, out)) {
        out.emplace_back(configuration_changed{{object.name}});
    }
    const auto* const local = find_object(object.name);
    if (local == nullptr || peers_.empty()) {
        return out;
    }
    auto& pending = pending_pushes_[object.name];
    pending = {local->version, now, 0};
    push(object.name, pending, now, out);
    announce({object.name}, self_, out);
    return out;
}

void configuration_store::push(const std::string& name, pending_push& push, time_point now,
                               configuration_effects& out)
{
    const auto* const local = find_object(name);
    for (const auto& peer : random_peers(settings_.push_peers, {})) {
        out.emplace_back(send_config{peer, {{*local}}});
    }
    ++push.pushes;
    push.next_push_at = now + settings_.push_interval;
}

void configuration_store::announce(const std::vector<std::string>& names, const router_id& except,
                                   configuration_effects& out)
{
    config_update announcement;
    for (const auto& name : names) {
        announcement.objects.push_back({name, find_object(name)->version, {}});
    }
    for (const auto& peer : random_peers(settings_.announce_peers, {except})) {
        out.emplace_back(send_config{peer, announcement});
    }
}

void configuration_store::send_query(const router_id& peer, configuration_effects& out) const
{
    out.emplace_back(query_config{peer, config_query{versions()}});
}

std::vector<router_id> configuration_store::random_peers(std::size_t count,
                                                         const std::set<router_id>& except)
{
    std::vector<router_id> out;
    std::set<std::size_t> seen;
    while (out.size() < count && seen.size() < peers_.size()) {
        auto n = random_.below(peers_.size());
        while (!seen.insert(n).second) {
            n = (n + 1) % peers_.size();
        }
        if (!except.contains(peers_[n])) {
            out.push_back(peers_[n]);
        }
    }
    return out;
}

bool configuration_store::apply_object(const config_object& object, configuration_effects& out)
{
    const auto it = objects_.find(object.name);
    const auto version = it == objects_.end() ? object_version{} : it->second.object.version;
    const bool is_same = object.version == version;
    const bool is_older = object.version < version && settings_.reject_older;
    if (is_same || is_older || object.document.empty()) {
        return false;
    }
    auto parsed = parse_object(object.name, object.document);
    if (!has_value(parsed)) {
        auto& rejected = rejected_[object.name];
        if (object.version > rejected) {
            rejected = object.version;
            out.emplace_back(
                configuration_rejected{object.name, object.version, findings_of(parsed)});
        }
        return false;
    }
    auto& entries = std::get<parsed_object>(parsed);
    replace_entries(it == objects_.end() ? parsed_object{} : it->second.entries, entries);
    if (it != objects_.end()) {
        digest_ -= object_digest(it->second.object);
    }
    digest_ += object_digest(object);
    highest_version_ = std::max(highest_version_, object.version);
    objects_.insert_or_assign(object.name, stored_object{object, std::move(entries)});
    return true;
}

void configuration_store::replace_entries(const parsed_object& before, const parsed_object& after)
{
    for (const auto& organisation : before.organisations) {
        current_.organisations.erase(organisation.id);
    }
    for (const auto& model : before.models) {
        current_.models.erase(model.name);
    }
    for (const auto& target : before.targets) {
        current_.targets.erase(target.id);
    }
    for (const auto& exception : before.exceptions) {
        current_.exceptions.erase(exception.id);
    }
    for (const auto& organisation : after.organisations) {
        current_.organisations.insert_or_assign(organisation.id, organisation);
    }
    for (const auto& model : after.models) {
        current_.models.insert_or_assign(model.name, model);
    }
    for (const auto& target : after.targets) {
        current_.targets.insert_or_assign(target.id, target);
    }
    for (const auto& exception : after.exceptions) {
        current_.exceptions.insert_or_assign(exception.id, exception);
    }
    if (!before.defaults.empty() || !after.defaults.empty()) {
        current_.defaults = after.defaults.empty() ? fleet_defaults{} : after.defaults.front();
    }
    const auto affects_settings = [](const parsed_object& object) {
        return !object.defaults.empty() || !object.exceptions.empty();
    };
    if (affects_settings(before) || affects_settings(after)) {
        rebuild_subject_settings();
    }
}

void configuration_store::rebuild_subject_settings()
{
    subject_settings_.clear();
    for (const auto& [id, exception] : current_.exceptions) {
        if (!subject_settings_.contains(exception.subject)) {
            subject_settings_.emplace(exception.subject,
                                      effective_settings(current_, exception.subject));
        }
    }
}

const fleet_defaults& configuration_store::settings_for(const std::string& subject) const
{
    const auto it = subject_settings_.find(subject);
    return it == subject_settings_.end() ? current_.defaults : it->second;
}

const config_object* configuration_store::find_object(const std::string& name) const
{
    const auto it = objects_.find(name);
    return it == objects_.end() ? nullptr : &it->second.object;
}

std::vector<std::pair<std::string, object_version>> configuration_store::versions() const
{
    std::vector<std::pair<std::string, object_version>> out;
    out.reserve(objects_.size());
    for (const auto& [name, stored] : objects_) {
        out.emplace_back(name, stored.object.version);
    }
    return out;
}

} // namespace endivelatch
