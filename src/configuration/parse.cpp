#include "endivelatch/configuration/parse.hpp"

#include "endivelatch/configuration/object_names.hpp"
#include "entry_reader.hpp"
#include "object_fields.hpp"
#include "settings_table.hpp"

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>

namespace endivelatch {

namespace {

using nlohmann::json;

constexpr std::size_t max_id_size = 128;
constexpr std::size_t key_hash_size = 64;

bool is_id_character(char c)
{
    const bool letter = (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z');
    const bool digit = c >= '0' && c <= '9';
    return letter || digit || c == '-' || c == '_' || c == '.';
}

void check_id(std::string_view id, const std::string& place, findings& faults)
{
    const bool valid = !id.empty() && id.size() <= max_id_size &&
                       std::all_of(id.begin(), id.end(), is_id_character);
    if (!valid) {
        faults.push_back({place, "id \"" + std::string{id} +
                                     "\" may only hold letters, digits, '-', '_' and '.'"});
    }
}

bool is_hex_digest(const std::string& text)
{
    return text.size() == key_hash_size &&
           text.find_first_not_of("0123456789abcdef") == std::string::npos;
}

template <class Id>
std::vector<Id> to_ids(std::vector<std::string> texts)
{
    std::vector<Id> out;
    out.reserve(texts.size());
    for (auto& it : texts) {
        out.emplace_back(std::move(it));
    }
    return out;
}

template <class Id>
json to_texts(const std::vector<Id>& ids)
{
    json out = json::array();
    for (const auto& it : ids) {
        out.push_back(it.str());
    }
    return out;
}

organisation_document read_organisation(std::string_view id, entry_reader& reader)
{
    organisation_document out;
    out.id = organisation_id{std::string{id}};
    out.key_hashes = reader.texts("key_hashes");
    for (std::size_t n = 0; n < out.key_hashes.size(); ++n) {
        if (!is_hex_digest(out.key_hashes[n])) {
            reader.report("key_hashes/" + std::to_string(n), "is not a SHA-256 in hexadecimal");
        }
    }
    out.models = reader.texts("models");
    out.services = to_ids<pool_id>(reader.texts("services"));
    out.weight = reader.count("weight", 1, 1);
    out.max_in_flight = reader.count("max_in_flight", 0, 0);
    return out;
}

model_document read_model(std::string_view id, entry_reader& reader)
{
    model_document out;
    out.name = std::string{id};
    out.pool = pool_id{reader.required_text("pool")};
    out.versions = reader.texts("versions");
    out.adapters = reader.texts("adapters");
    return out;
}

target_kind read_kind(entry_reader& reader)
{
    const auto kind = reader.required_text("kind");
    if (kind != "engine" && kind != "service" && !kind.empty()) {
        reader.report("kind", "kind \"" + kind + "\" is neither \"engine\" nor \"service\"");
    }
    return kind == "service" ? target_kind::service : target_kind::engine;
}

target_document read_target(std::string_view id, entry_reader& reader)
{
    target_document out;
    out.id = target_id{std::string{id}};
    out.pool = pool_id{reader.required_text("pool")};
    out.domain = domain_id{reader.required_text("domain")};
    out.region = region_id{reader.required_text("region")};
    out.kind = read_kind(reader);
    out.url = reader.required_text("url");
    if (!out.url.empty() && !out.url.starts_with("http://") && !out.url.starts_with("https://")) {
        reader.report("url", "url \"" + out.url + "\" starts with neither http:// nor https://");
    }
    out.contract.checks_fencing_number = reader.flag("checks_fencing_number", false);
    out.contract.refusal_means_not_run = reader.flag("refusal_means_not_run", false);
    out.contract.idempotent_calls = reader.flag("idempotent_calls", true);
    out.max_in_flight = reader.count("max_in_flight", 0, 0);
    out.draining = reader.flag("draining", false);
    return out;
}

void check_exception(const exception_document& out, entry_reader& reader)
{
    constexpr std::array<std::string_view, 3> subjects{"organisation/", "pool/", "target/"};
    const bool known = std::any_of(subjects.begin(), subjects.end(), [&](std::string_view it) {
        return out.subject.starts_with(it) && out.subject.size() > it.size();
    });
    if (!known && !out.subject.empty()) {
        reader.report("subject", "subject \"" + out.subject +
                                     "\" is not organisation/ID, pool/ID or target/ID");
    }
    const auto* const setting = find_setting(out.setting);
    if (setting == nullptr) {
        if (!out.setting.empty()) {
            reader.report("setting", "setting \"" + out.setting + "\" does not exist");
        }
        return;
    }
    if (!(out.value >= setting->lowest && out.value <= setting->highest)) {
        reader.report("value", "is outside the range of \"" + out.setting + "\"");
    }
}

exception_document read_exception(std::string_view id, entry_reader& reader)
{
    constexpr double any = 1e18;
    exception_document out;
    out.id = std::string{id};
    out.subject = reader.required_text("subject");
    out.setting = reader.required_text("setting");
    out.value = reader.number("value", -any, -any, any);
    out.reason = reader.required_text("reason");
    out.author = reader.text("author");
    out.created_us = static_cast<std::int64_t>(reader.number("created_us", 0, 0, any));
    check_exception(out, reader);
    return out;
}

fleet_defaults read_defaults(entry_reader& reader)
{
    fleet_defaults out;
    for (const auto& it : settings_table()) {
        const auto value = reader.number(it.name, read_setting(out, it), it.lowest, it.highest);
        write_setting(out, it, value);
    }
    return out;
}

/// Reads one entry with `read(reader)` and reports all faults.
template <class Document, class Read>
result<Document> read_entry(const json& value, const std::string& place, Read read)
{
    findings faults;
    if (!value.is_object()) {
        return one_finding(place, "is not an object");
    }
    entry_reader reader{value, place, faults};
    auto out = read(reader);
    reader.report_unread();
    if (!faults.empty()) {
        return faults;
    }
    return out;
}

template <class Document, class Read>
result<Document> read_named(std::string_view id, const json& value, const std::string& place,
                            Read read)
{
    findings faults;
    check_id(id, place, faults);
    auto out =
        read_entry<Document>(value, place, [&](entry_reader& reader) { return read(id, reader); });
    if (!has_value(out)) {
        const auto& more = findings_of(out);
        faults.insert(faults.end(), more.begin(), more.end());
    }
    if (!faults.empty()) {
        return faults;
    }
    return out;
}

json parse_json(const std::string& text)
{
    return json::parse(text, nullptr, false);
}

template <class Document>
void take(result<Document> from, std::vector<Document>& to, findings& faults)
{
    if (has_value(from)) {
        to.push_back(std::move(std::get<Document>(from)));
        return;
    }
    const auto& more = findings_of(from);
    faults.insert(faults.end(), more.begin(), more.end());
}

void take_entry(config_kind kind, std::string_view id, const json& value, const std::string& place,
                parsed_object& out, findings& faults)
{
    switch (kind) {
    case config_kind::organisations:
        take(read_named<organisation_document>(id, value, place, read_organisation),
             out.organisations, faults);
        return;
    case config_kind::models:
        take(read_named<model_document>(id, value, place, read_model), out.models, faults);
        return;
    case config_kind::targets:
        take(read_named<target_document>(id, value, place, read_target), out.targets, faults);
        return;
    case config_kind::exceptions:
        take(read_named<exception_document>(id, value, place, read_exception), out.exceptions,
             faults);
        return;
    case config_kind::defaults:
        take(read_entry<fleet_defaults>(value, place, read_defaults), out.defaults, faults);
        return;
    }
}

} // namespace

result<organisation_document> parse_organisation(std::string_view id, const std::string& text,
                                                 const std::string& place)
{
    return read_named<organisation_document>(id, parse_json(text), place, read_organisation);
}

result<model_document> parse_model(std::string_view id, const std::string& text,
                                   const std::string& place)
{
    return read_named<model_document>(id, parse_json(text), place, read_model);
}

result<target_document> parse_target(std::string_view id, const std::string& text,
                                     const std::string& place)
{
    return read_named<target_document>(id, parse_json(text), place, read_target);
}

result<exception_document> parse_exception(std::string_view id, const std::string& text,
                                           const std::string& place)
{
    return read_named<exception_document>(id, parse_json(text), place, read_exception);
}

result<fleet_defaults> parse_defaults(const std::string& text, const std::string& place)
{
    return read_entry<fleet_defaults>(parse_json(text), place, read_defaults);
}

std::string to_json_text(const organisation_document& document)
{
    return json{{"key_hashes", document.key_hashes},
                {"models", document.models},
                {"services", to_texts(document.services)},
                {"weight", document.weight},
                {"max_in_flight", document.max_in_flight}}
        .dump();
}

std::string to_json_text(const model_document& document)
{
    return json{{"pool", document.pool.str()},
                {"versions", document.versions},
                {"adapters", document.adapters}}
        .dump();
}

std::string to_json_text(const target_document& document)
{
    return json{{"pool", document.pool.str()},
                {"domain", document.domain.str()},
                {"region", document.region.str()},
                {"kind", document.kind == target_kind::service ? "service" : "engine"},
                {"url", document.url},
                {"checks_fencing_number", document.contract.checks_fencing_number},
                {"refusal_means_not_run", document.contract.refusal_means_not_run},
                {"idempotent_calls", document.contract.idempotent_calls},
                {"max_in_flight", document.max_in_flight},
                {"draining", document.draining}}
        .dump();
}

std::string to_json_text(const exception_document& document)
{
    return json{{"subject", document.subject}, {"setting", document.setting},
                {"value", document.value},     {"reason", document.reason},
                {"author", document.author},   {"created_us", document.created_us}}
        .dump();
}

std::string to_json_text(const fleet_defaults& document)
{
    json out = json::object();
    for (const auto& it : settings_table()) {
        out[std::string{it.name}] = read_setting(document, it);
    }
    return out.dump();
}

result<parsed_object> parse_object(const std::string& name, const std::string& document)
{
    const auto kind = kind_of_object(name);
    if (!kind) {
        return one_finding(name, "is not the name of a configuration object");
    }
    const auto root = parse_json(document);
    if (root.is_discarded()) {
        return one_finding(name, "is not a JSON document");
    }
    if (!root.is_object() || !root.contains(entries_field) || !root[entries_field].is_object()) {
        return one_finding(name + "#/entries", "is not an object");
    }
    parsed_object out;
    findings faults;
    for (const auto& [id, value] : root[entries_field].items()) {
        auto place = name + "#/entries/";
        place += id;
        if (*kind == config_kind::defaults && id != defaults_entry) {
            faults.push_back({place, "is not \"" + std::string{defaults_entry} + "\""});
        }
        if (name != config_object_name(*kind, id)) {
            faults.push_back({place, "belongs into " + config_object_name(*kind, id)});
        }
        take_entry(*kind, id, value, place, out, faults);
    }
    if (!faults.empty()) {
        return faults;
    }
    return out;
}

} // namespace endivelatch
