#include "endivelatch/configuration/parse.hpp"

#include "endivelatch/base/json_text.hpp"
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

void check_id(std::string_view id, const std::string& place, findings& errors)
{
    const bool valid = !id.empty() && id.size() <= max_id_size &&
                       std::all_of(id.begin(), id.end(), is_id_character);
    if (!valid) {
        errors.push_back(
            {place, "id \"" + std::string{id} +
                        "\" must consist of 1 to 128 letters, digits, '-', '_' and '.'"});
    }
}

bool is_hex_digest(const std::string& text)
{
    return text.size() == key_hash_size &&
           text.find_first_not_of("0123456789abcdef") == std::string::npos;
}

template <class Id>
std::vector<Id> to_ids(std::vector<std::string> strings)
{
    std::vector<Id> out;
    out.reserve(strings.size());
    for (auto& string : strings) {
        out.emplace_back(std::move(string));
    }
    return out;
}

template <class Id>
json to_string_array(const std::vector<Id>& ids)
{
    json out = json::array();
    for (const auto& id : ids) {
        out.push_back(id.str());
    }
    return out;
}

organisation_document read_organisation(std::string_view id, entry_reader& reader)
{
    organisation_document out;
    out.id = organisation_id{std::string{id}};
    out.key_hashes = reader.string_list("key_hashes");
    for (std::size_t n = 0; n < out.key_hashes.size(); ++n) {
        if (!is_hex_digest(out.key_hashes[n])) {
            reader.add_error("key_hashes/" + std::to_string(n),
                             "is not a SHA-256 digest in lower-case hexadecimal");
        }
    }
    out.models = reader.string_list("models");
    out.services = to_ids<pool_id>(reader.string_list("services"));
    out.weight = reader.count("weight", 1, 1);
    out.max_in_flight = reader.count("max_in_flight", 0, 0);
    return out;
}

model_document read_model(std::string_view id, entry_reader& reader)
{
    model_document out;
    out.name = std::string{id};
    out.pool = pool_id{reader.required_string("pool")};
    out.versions = reader.string_list("versions");
    out.adapters = reader.string_list("adapters");
    return out;
}

target_kind read_kind(entry_reader& reader)
{
    const auto kind = reader.required_string("kind");
    if (kind != "engine" && kind != "service" && !kind.empty()) {
        reader.add_error("kind", "kind \"" + kind + "\" is neither \"engine\" nor \"service\"");
    }
    return kind == "service" ? target_kind::service : target_kind::engine;
}

target_document read_target(std::string_view id, entry_reader& reader)
{
    target_document out;
    out.id = target_id{std::string{id}};
    out.pool = pool_id{reader.required_string("pool")};
    out.domain = domain_id{reader.required_string("domain")};
    out.region = region_id{reader.required_string("region")};
    out.kind = read_kind(reader);
    out.url = reader.required_string("url");
    if (!out.url.empty() && !out.url.starts_with("http://") && !out.url.starts_with("https://")) {
        reader.add_error("url", "url \"" + out.url + "\" starts with neither http:// nor https://");
    }
    out.contract.checks_fencing_number = reader.boolean("checks_fencing_number", false);
    out.contract.refusal_means_not_run = reader.boolean("refusal_means_not_run", false);
    out.contract.idempotent_calls = reader.boolean("idempotent_calls", true);
    out.max_in_flight = reader.count("max_in_flight", 0, 0);
    out.draining = reader.boolean("draining", false);
    return out;
}

void check_exception(const exception_document& out, entry_reader& reader)
{
    constexpr std::array<std::string_view, 3> subjects{"organisation/", "pool/", "target/"};
    const bool known = std::any_of(subjects.begin(), subjects.end(), [&](std::string_view prefix) {
        return out.subject.starts_with(prefix) && out.subject.size() > prefix.size();
    });
    if (!known && !out.subject.empty()) {
        reader.add_error("subject", "subject \"" + out.subject +
                                        "\" is not organisation/ID, pool/ID or target/ID");
    }
    const auto* const setting = find_setting(out.setting);
    if (setting == nullptr) {
        if (!out.setting.empty()) {
            reader.add_error("setting", "setting \"" + out.setting + "\" does not exist");
        }
        return;
    }
    if (!(out.value >= setting->minimum && out.value <= setting->maximum)) {
        reader.add_error("value", "is outside the range of \"" + out.setting + "\"");
    }
}

exception_document read_exception(std::string_view id, entry_reader& reader)
{
    constexpr double value_limit = 1e18;
    exception_document out;
    out.id = std::string{id};
    out.subject = reader.required_string("subject");
    out.setting = reader.required_string("setting");
    out.value = reader.number("value", -value_limit, -value_limit, value_limit);
    out.reason = reader.required_string("reason");
    out.author = reader.optional_string("author");
    out.created_us = static_cast<std::int64_t>(reader.number("created_us", 0, 0, value_limit));
    check_exception(out, reader);
    return out;
}

fleet_defaults read_defaults(entry_reader& reader)
{
    fleet_defaults out;
    for (const auto& setting : settings_table()) {
        const auto value = reader.number(setting.name, read_setting(out, setting), setting.minimum,
                                         setting.maximum);
        write_setting(out, setting, value);
    }
    return out;
}

/// Parses one entry with `read(reader)`. Returns the entry or all its errors.
template <class Document, class Read>
result<Document> read_entry(const json& value, const std::string& place, Read read)
{
    findings errors;
    if (!value.is_object()) {
        return one_finding(place, "is not an object");
    }
    entry_reader reader{value, place, errors};
    auto out = read(reader);
    reader.report_unknown_fields();
    if (!errors.empty()) {
        return errors;
    }
    return out;
}

/// Parses one entry with `read(id, reader)` and validates its identifier.
template <class Document, class Read>
result<Document> read_identified_entry(std::string_view id, const json& value,
                                       const std::string& place, Read read)
{
    findings errors;
    check_id(id, place, errors);
    auto out =
        read_entry<Document>(value, place, [&](entry_reader& reader) { return read(id, reader); });
    if (!has_value(out)) {
        const auto& entry_errors = findings_of(out);
        errors.insert(errors.end(), entry_errors.begin(), entry_errors.end());
    }
    if (!errors.empty()) {
        return errors;
    }
    return out;
}

template <class Document>
void add_result(result<Document> from, std::vector<Document>& to, findings& errors)
{
    if (has_value(from)) {
        to.push_back(std::move(std::get<Document>(from)));
        return;
    }
    const auto& new_errors = findings_of(from);
    errors.insert(errors.end(), new_errors.begin(), new_errors.end());
}

void add_entry(config_kind kind, std::string_view id, const json& value, const std::string& place,
               parsed_object& out, findings& errors)
{
    switch (kind) {
    case config_kind::organisations:
        add_result(
            read_identified_entry<organisation_document>(id, value, place, read_organisation),
            out.organisations, errors);
        return;
    case config_kind::models:
        add_result(read_identified_entry<model_document>(id, value, place, read_model), out.models,
                   errors);
        return;
    case config_kind::targets:
        add_result(read_identified_entry<target_document>(id, value, place, read_target),
                   out.targets, errors);
        return;
    case config_kind::exceptions:
        add_result(read_identified_entry<exception_document>(id, value, place, read_exception),
                   out.exceptions, errors);
        return;
    case config_kind::defaults:
        add_result(read_entry<fleet_defaults>(value, place, read_defaults), out.defaults, errors);
        return;
    }
}

} // namespace

result<organisation_document> parse_organisation(std::string_view id, const std::string& text,
                                                 const std::string& place)
{
    return read_identified_entry<organisation_document>(id, parse_json(text), place,
                                                        read_organisation);
}

result<model_document> parse_model(std::string_view id, const std::string& text,
                                   const std::string& place)
{
    return read_identified_entry<model_document>(id, parse_json(text), place, read_model);
}

result<target_document> parse_target(std::string_view id, const std::string& text,
                                     const std::string& place)
{
    return read_identified_entry<target_document>(id, parse_json(text), place, read_target);
}

result<exception_document> parse_exception(std::string_view id, const std::string& text,
                                           const std::string& place)
{
    return read_identified_entry<exception_document>(id, parse_json(text), place, read_exception);
}

result<fleet_defaults> parse_defaults(const std::string& text, const std::string& place)
{
    return read_entry<fleet_defaults>(parse_json(text), place, read_defaults);
}

std::string to_json_text(const organisation_document& document)
{
    return json{{"key_hashes", document.key_hashes},
                {"models", document.models},
                {"services", to_string_array(document.services)},
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
    for (const auto& setting : settings_table()) {
        out[std::string{setting.name}] = read_setting(document, setting);
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
        return one_finding(name, "is not valid JSON");
    }
    if (!root.is_object() || !root.contains(entries_field) || !root[entries_field].is_object()) {
        return one_finding(name + "#/entries", "is not an object");
    }
    parsed_object out;
    findings errors;
    for (const auto& [id, value] : root[entries_field].items()) {
        auto place = name + "#/entries/";
        place += id;
        if (*kind == config_kind::defaults && id != defaults_entry) {
            errors.push_back(
                {place, "the only permitted id is \"" + std::string{defaults_entry} + "\""});
        }
        if (name != config_object_name(*kind, id)) {
            errors.push_back({place, "belongs in " + config_object_name(*kind, id)});
        }
        add_entry(*kind, id, value, place, out, errors);
    }
    if (!errors.empty()) {
        return errors;
    }
    return out;
}

} // namespace endivelatch
