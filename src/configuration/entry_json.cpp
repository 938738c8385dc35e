#include "entry_json.hpp"

#include "endivelatch/base/json_text.hpp"
#include "endivelatch/configuration/check.hpp"
#include "endivelatch/configuration/parse.hpp"
#include "object_fields.hpp"

#include <algorithm>
#include <set>

namespace endivelatch {

namespace {

using nlohmann::json;

constexpr std::size_t max_change_ids = 32; // Per object; the oldest are dropped first.

template <class Document>
findings errors_of(const result<Document>& parsed)
{
    return has_value(parsed) ? findings{} : findings_of(parsed);
}

/// Sets or removes one entry of a configuration.
class entry_setter {
public:
    entry_setter(configuration& config, std::string id, const json& entry)
        : config_{config}, id_{std::move(id)}, entry_{entry}
    {
    }

    void set(config_kind kind)
    {
        const auto text = entry_.dump();
        switch (kind) {
        case config_kind::organisations:
            replace(config_.organisations, organisation_id{id_},
                    parse_organisation(id_, text, id_));
            return;
        case config_kind::models:
            replace(config_.models, id_, parse_model(id_, text, id_));
            return;
        case config_kind::targets:
            replace(config_.targets, target_id{id_}, parse_target(id_, text, id_));
            return;
        case config_kind::exceptions:
            replace(config_.exceptions, id_, parse_exception(id_, text, id_));
            return;
        case config_kind::defaults:
            return;
        }
    }

private:
    template <class Map, class Key, class Document>
    void replace(Map& map, const Key& key, const result<Document>& parsed)
    {
        map.erase(key);
        if (!entry_.is_null() && has_value(parsed)) {
            map.emplace(key, value_of(parsed));
        }
    }

    configuration& config_;
    std::string id_;
    const json& entry_;
};

} // namespace

json object_json(const std::string& document)
{
    auto out = parse_json(document);
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
        out.erase(std::string{last_change_field});
    }
    return out;
}

json last_change_of(const json& object, const std::string& id)
{
    const auto& entries = object.at(std::string{entries_field});
    const auto it = entries.find(id);
    if (it == entries.end() || !it->is_object()) {
        return json::object();
    }
    return it->value(std::string{last_change_field}, json::object());
}

std::uint64_t revision_of(const json& object, const std::string& id)
{
    const auto last_change = last_change_of(object, id);
    const auto it = last_change.find("revision");
    return it != last_change.end() && it->is_number_unsigned() ? it->get<std::uint64_t>() : 0;
}

bool contains_change(const json& object, const std::string& change)
{
    const auto& changes = object.at(std::string{changes_field});
    return std::find(changes.begin(), changes.end(), change) != changes.end();
}

void apply_change(json& object, const std::string& id, const json& entry,
                  const change_record& change)
{
    auto& entries = object[entries_field];
    if (entry.is_null()) {
        entries.erase(id);
    }
    else {
        entries[id] = entry;
        entries[id][last_change_field] = {{"by", change.author},
                                          {"at_us", change.at.time_since_epoch().count()},
                                          {"change", change.id},
                                          {"revision", change.revision}};
    }
    auto& changes = object[changes_field];
    changes.push_back(change.id);
    if (changes.size() > max_change_ids) {
        changes.erase(changes.begin());
    }
}

json differences(const json& before, const json& now)
{
    std::set<std::string> fields;
    for (const auto* const entry : {&before, &now}) {
        if (entry->is_object()) {
            for (const auto& [field, value] : entry->items()) {
                fields.insert(field);
            }
        }
    }
    json out = json::array();
    for (const auto& field : fields) {
        const auto old_value = before.is_object() ? before.value(field, json{}) : json{};
        const auto new_value = now.is_object() ? now.value(field, json{}) : json{};
        if (old_value != new_value) {
            out.push_back({{"field", field}, {"before", old_value}, {"now", new_value}});
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
        return errors_of(parse_organisation(id, text, place));
    case config_kind::models:
        return errors_of(parse_model(id, text, place));
    case config_kind::targets:
        return errors_of(parse_target(id, text, place));
    case config_kind::exceptions:
        return errors_of(parse_exception(id, text, place));
    case config_kind::defaults:
        break;
    }
    if (id != defaults_entry) {
        return one_finding(place,
                           "the only permitted id is \"" + std::string{defaults_entry} + "\"");
    }
    return errors_of(parse_defaults(text, place));
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
    std::erase_if(out, [&](const finding& error) {
        return std::find(before.begin(), before.end(), error) != before.end();
    });
    return out;
}

json to_json(const findings& errors)
{
    json out = json::array();
    for (const auto& error : errors) {
        out.push_back({{"place", error.place}, {"message", error.message}});
    }
    return out;
}

} // namespace endivelatch
