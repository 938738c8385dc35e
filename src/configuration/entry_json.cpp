#include "entry_json.hpp"

#include "endivelatch/configuration/check.hpp"
#include "endivelatch/configuration/parse.hpp"
#include "object_fields.hpp"

#include <algorithm>
#include <set>

namespace endivelatch {

namespace {

using nlohmann::json;

constexpr std::size_t remembered_changes = 32;

template <class Document>
findings faults_of(const result<Document>& parsed)
{
    return has_value(parsed) ? findings{} : findings_of(parsed);
}

/// Sets or removes one entry in a copy of the configuration.
class entry_setter {
public:
    entry_setter(configuration& all, std::string id, const json& entry)
        : all_{all}, id_{std::move(id)}, entry_{entry}
    {
    }

    void set(config_kind kind)
    {
        const auto text = entry_.dump();
        switch (kind) {
        case config_kind::organisations:
            put(all_.organisations, organisation_id{id_}, parse_organisation(id_, text, id_));
            return;
        case config_kind::models:
            put(all_.models, id_, parse_model(id_, text, id_));
            return;
        case config_kind::targets:
            put(all_.targets, target_id{id_}, parse_target(id_, text, id_));
            return;
        case config_kind::exceptions:
            put(all_.exceptions, id_, parse_exception(id_, text, id_));
            return;
        case config_kind::defaults:
            return;
        }
    }

private:
    template <class Map, class Key, class Document>
    void put(Map& map, const Key& key, const result<Document>& parsed)
    {
        map.erase(key);
        if (!entry_.is_null() && has_value(parsed)) {
            map.emplace(key, value_of(parsed));
        }
    }

    configuration& all_;
    std::string id_;
    const json& entry_;
};

} // namespace

json object_json(const std::string& document)
{
    auto out = json::parse(document, nullptr, false);
    if (!out.is_object()) {
        out = json::object();
    }
    if (!out[entries_field].is_object()) {
        out[entries_field] = json::object();
    }
    if (!out[changes_field].is_array()) {
        out[changes_field] = json::array();
    }
    return out;
}

json entry_of(const json& object, const std::string& id)
{
    const auto& entries = object.at(std::string{entries_field});
    const auto it = entries.find(id);
    if (it == entries.end()) {
        return nullptr;
    }
    auto out = *it;
    if (out.is_object()) {
        out.erase(std::string{stamp_field});
    }
    return out;
}

json stamp_of(const json& object, const std::string& id)
{
    const auto& entries = object.at(std::string{entries_field});
    const auto it = entries.find(id);
    if (it == entries.end() || !it->is_object()) {
        return json::object();
    }
    return it->value(std::string{stamp_field}, json::object());
}

std::uint64_t revision_of(const json& object, const std::string& id)
{
    const auto stamp = stamp_of(object, id);
    const auto it = stamp.find("revision");
    return it != stamp.end() && it->is_number_unsigned() ? it->get<std::uint64_t>() : 0;
}

bool holds_change(const json& object, const std::string& change)
{
    const auto& changes = object.at(std::string{changes_field});
    return std::find(changes.begin(), changes.end(), change) != changes.end();
}

void apply_change(json& object, const std::string& id, const json& entry,
                  const entry_change& change)
{
    auto& entries = object[entries_field];
    if (entry.is_null()) {
        entries.erase(id);
    }
    else {
        entries[id] = entry;
        entries[id][stamp_field] = {{"by", change.author},
                                    {"at_us", change.at.time_since_epoch().count()},
                                    {"change", change.id},
                                    {"revision", change.revision}};
    }
    auto& changes = object[changes_field];
    changes.push_back(change.id);
    if (changes.size() > remembered_changes) {
        changes.erase(changes.begin());
    }
}

json differences(const json& before, const json& now)
{
    std::set<std::string> fields;
    for (const auto* const it : {&before, &now}) {
        if (it->is_object()) {
            for (const auto& [field, value] : it->items()) {
                fields.insert(field);
            }
        }
    }
    json out = json::array();
    for (const auto& it : fields) {
        const auto old = before.is_object() ? before.value(it, json{}) : json{};
        const auto fresh = now.is_object() ? now.value(it, json{}) : json{};
        if (old != fresh) {
            out.push_back({{"field", it}, {"before", old}, {"now", fresh}});
        }
    }
    return out;
}

findings check_entry(config_kind kind, const std::string& id, const json& entry,
                     const std::string& place)
{
    const auto text = entry.dump();
    switch (kind) {
    case config_kind::organisations:
        return faults_of(parse_organisation(id, text, place));
    case config_kind::models:
        return faults_of(parse_model(id, text, place));
    case config_kind::targets:
        return faults_of(parse_target(id, text, place));
    case config_kind::exceptions:
        return faults_of(parse_exception(id, text, place));
    case config_kind::defaults:
        break;
    }
    if (id != defaults_entry) {
        return one_finding(place, "the only id is \"" + std::string{defaults_entry} + "\"");
    }
    return faults_of(parse_defaults(text, place));
}

findings check_new_references(const configuration& current, config_kind kind, const std::string& id,
                              const json& entry)
{
    if (kind == config_kind::defaults) {
        return {};
    }
    auto changed = current;
    entry_setter{changed, id, entry}.set(kind);
    const auto before = check_references(current);
    auto out = check_references(changed);
    std::erase_if(out, [&](const finding& it) {
        return std::find(before.begin(), before.end(), it) != before.end();
    });
    return out;
}

json to_json(const findings& all)
{
    json out = json::array();
    for (const auto& it : all) {
        out.push_back({{"place", it.place}, {"message", it.message}});
    }
    return out;
}

} // namespace endivelatch
