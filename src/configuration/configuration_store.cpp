#include "endivelatch/configuration/configuration_store.hpp"

#include "endivelatch/configuration/check.hpp"
#include "endivelatch/configuration/object_names.hpp"

#include <algorithm>

namespace endivelatch {

namespace {

std::uint64_t digest_part(const config_object& object)
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
    for (const auto& it : update.objects) {
        if (const auto push = awaited_.find(it.name);
            push != awaited_.end() && it.version >= push->second.version) {
            awaited_.erase(push);
            out.emplace_back(object_confirmed{from, it.name, it.version});
        }
        if (it.document.empty()) {
            is_behind = should_ask(it, now) || is_behind;
            continue;
        }
        if (adopt(it, out)) {
            changed.push_back(it.name);
        }
        if (const auto* const now_held = held(it.name); now_held != nullptr) {
            confirmation.objects.push_back({it.name, now_held->version, {}});
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
        ask(from, out);
    }
    if (update.objects.empty()) {
        boot_answered(from, now, out);
    }
    return out;
}

bool configuration_store::should_ask(const config_object& announced, time_point now)
{
    const auto* const own = held(announced.name);
    const auto bad = rejected_.find(announced.name);
    const bool is_new = own == nullptr || announced.version > own->version;
    const bool is_bad = bad != rejected_.end() && announced.version <= bad->second;
    if (!is_new || is_bad) {
        return false;
    }
    auto& asked = asked_[announced.name];
    if (announced.version <= asked.version && now < asked.until) {
        return false;
    }
    asked = {announced.version, now + settings_.query_interval};
    return true;
}

configuration_effects configuration_store::on_config_query(const router_id& from,
                                                           const config_query& query,
                                                           time_point now)
{
    configuration_effects out;
    std::map<std::string_view, object_version> theirs;
    bool is_behind = false;
    for (const auto& [name, version] : query.have) {
        theirs.emplace(name, version);
        const auto* const own = held(name);
        is_behind = is_behind || own == nullptr || own->version < version;
    }
    std::vector<config_object> newer;
    for (const auto& [name, it] : objects_) {
        const auto found = theirs.find(name);
        if (found == theirs.end() || found->second < it.object.version) {
            newer.push_back(it.object);
        }
    }
    send_chunks(from, std::move(newer), out);
    if (is_behind && now >= next_query_) {
        next_query_ = now + settings_.query_interval;
        ask(from, out);
    }
    return out;
}

void configuration_store::send_chunks(const router_id& to, std::vector<config_object> objects,
                                      configuration_effects& out) const
{
    config_update chunk;
    std::size_t size = 0;
    for (auto& it : objects) {
        if (size + it.document.size() > settings_.chunk_size && !chunk.objects.empty()) {
            out.emplace_back(send_config{to, std::move(chunk)});
            chunk = {};
            size = 0;
        }
        size += it.document.size();
        chunk.objects.push_back(std::move(it));
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
    if (digest == digest_ || now < next_query_) {
        return out;
    }
    next_query_ = now + settings_.query_interval;
    ask(from, out);
    return out;
}

configuration_effects configuration_store::accept(const config_object& object, time_point now)
{
    configuration_effects out;
    if (adopt(object, out)) {
        out.emplace_back(configuration_changed{{object.name}});
    }
    const auto* const own = held(object.name);
    if (own == nullptr || peers_.empty()) {
        return out;
    }
    auto& awaited = awaited_[object.name];
    awaited = {own->version, now, 0};
    push(object.name, awaited, now, out);
    announce({object.name}, self_, out);
    return out;
}

void configuration_store::push(const std::string& name, awaited_push& push, time_point now,
                               configuration_effects& out)
{
    const auto* const own = held(name);
    for (const auto& it : some_peers(settings_.push_peers, {})) {
        out.emplace_back(send_config{it, {{*own}}});
    }
    ++push.rounds;
    push.repeat_at = now + settings_.push_interval;
}

void configuration_store::announce(const std::vector<std::string>& names, const router_id& except,
                                   configuration_effects& out)
{
    config_update news;
    for (const auto& it : names) {
        news.objects.push_back({it, held(it)->version, {}});
    }
    for (const auto& it : some_peers(settings_.announce_peers, {except})) {
        out.emplace_back(send_config{it, news});
    }
}

void configuration_store::ask(const router_id& peer, configuration_effects& out) const
{
    out.emplace_back(query_config{peer, config_query{versions()}});
}

std::vector<router_id> configuration_store::some_peers(std::size_t count,
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

bool configuration_store::adopt(const config_object& object, configuration_effects& out)
{
    const auto it = objects_.find(object.name);
    const auto version = it == objects_.end() ? object_version{} : it->second.object.version;
    const bool is_same = object.version == version;
    const bool is_older = object.version < version && settings_.refuse_older;
    if (is_same || is_older || object.document.empty()) {
        return false;
    }
    auto parsed = parse_object(object.name, object.document);
    if (!has_value(parsed)) {
        auto& bad = rejected_[object.name];
        if (object.version > bad) {
            bad = object.version;
            out.emplace_back(
                configuration_rejected{object.name, object.version, findings_of(parsed)});
        }
        return false;
    }
    auto& entries = std::get<parsed_object>(parsed);
    replace_entries(it == objects_.end() ? parsed_object{} : it->second.entries, entries);
    if (it != objects_.end()) {
        digest_ -= digest_part(it->second.object);
    }
    digest_ += digest_part(object);
    highest_ = std::max(highest_, object.version);
    objects_.insert_or_assign(object.name, held_object{object, std::move(entries)});
    return true;
}

void configuration_store::replace_entries(const parsed_object& before, const parsed_object& after)
{
    for (const auto& it : before.organisations) {
        current_.organisations.erase(it.id);
    }
    for (const auto& it : before.models) {
        current_.models.erase(it.name);
    }
    for (const auto& it : before.targets) {
        current_.targets.erase(it.id);
    }
    for (const auto& it : before.exceptions) {
        current_.exceptions.erase(it.id);
    }
    for (const auto& it : after.organisations) {
        current_.organisations.insert_or_assign(it.id, it);
    }
    for (const auto& it : after.models) {
        current_.models.insert_or_assign(it.name, it);
    }
    for (const auto& it : after.targets) {
        current_.targets.insert_or_assign(it.id, it);
    }
    for (const auto& it : after.exceptions) {
        current_.exceptions.insert_or_assign(it.id, it);
    }
    if (!before.defaults.empty() || !after.defaults.empty()) {
        current_.defaults = after.defaults.empty() ? fleet_defaults{} : after.defaults.front();
    }
    const auto touches = [](const parsed_object& it) {
        return !it.defaults.empty() || !it.exceptions.empty();
    };
    if (touches(before) || touches(after)) {
        rebuild_subjects();
    }
}

void configuration_store::rebuild_subjects()
{
    subjects_.clear();
    for (const auto& [id, it] : current_.exceptions) {
        if (!subjects_.contains(it.subject)) {
            subjects_.emplace(it.subject, effective_settings(current_, it.subject));
        }
    }
}

const fleet_defaults& configuration_store::settings_of(const std::string& subject) const
{
    const auto it = subjects_.find(subject);
    return it == subjects_.end() ? current_.defaults : it->second;
}

const config_object* configuration_store::held(const std::string& name) const
{
    const auto it = objects_.find(name);
    return it == objects_.end() ? nullptr : &it->second.object;
}

std::vector<std::pair<std::string, object_version>> configuration_store::versions() const
{
    std::vector<std::pair<std::string, object_version>> out;
    out.reserve(objects_.size());
    for (const auto& [name, it] : objects_) {
        out.emplace_back(name, it.object.version);
    }
    return out;
}

} // namespace endivelatch
