#include "endivelatch/configuration/check.hpp"

#include "endivelatch/configuration/object_names.hpp"
#include "endivelatch/configuration/parse.hpp"
#include "settings_table.hpp"

#include <set>

namespace endivelatch {

namespace {

std::string location_of(config_kind kind, const std::string& id, std::string_view field)
{
    return config_object_name(kind, id) + "#/entries/" + id + "/" + std::string{field};
}

std::set<pool_id> pools_with_targets(const configuration& config)
{
    std::set<pool_id> out;
    for (const auto& [id, target] : config.targets) {
        out.insert(target.pool);
    }
    return out;
}

void check_model(const model_document& model, const std::set<pool_id>& pools, findings& out)
{
    if (!pools.contains(model.pool)) {
        out.push_back({location_of(config_kind::models, model.name, "pool"),
                       "pool \"" + model.pool.str() + "\" has no target"});
    }
}

void check_organisation(const organisation_document& organisation, const configuration& config,
                        const std::set<pool_id>& pools, findings& out)
{
    const auto& id = organisation.id.str();
    for (std::size_t n = 0; n < organisation.models.size(); ++n) {
        if (!config.models.contains(organisation.models[n])) {
            out.push_back(
                {location_of(config_kind::organisations, id, "models/" + std::to_string(n)),
                 "model \"" + organisation.models[n] + "\" does not exist"});
        }
    }
    for (std::size_t n = 0; n < organisation.services.size(); ++n) {
        if (!pools.contains(organisation.services[n])) {
            out.push_back(
                {location_of(config_kind::organisations, id, "services/" + std::to_string(n)),
                 "pool \"" + organisation.services[n].str() + "\" has no target"});
        }
    }
}

bool subject_exists(const std::string& subject, const configuration& config,
                    const std::set<pool_id>& pools)
{
    const auto slash = subject.find('/');
    const auto kind = subject.substr(0, slash);
    const auto id = slash == std::string::npos ? std::string{} : subject.substr(slash + 1);
    if (kind == "organisation") {
        return config.organisations.contains(organisation_id{id});
    }
    if (kind == "target") {
        return config.targets.contains(target_id{id});
    }
    return kind == "pool" && pools.contains(pool_id{id});
}

void check_exceptions(const configuration& config, const std::set<pool_id>& pools, findings& out)
{
    std::set<std::pair<std::string, std::string>> seen;
    for (const auto& [id, exception] : config.exceptions) {
        if (!subject_exists(exception.subject, config, pools)) {
            out.push_back({location_of(config_kind::exceptions, id, "subject"),
                           "subject \"" + exception.subject + "\" does not exist"});
        }
        if (!seen.insert({exception.subject, exception.setting}).second) {
            out.push_back({location_of(config_kind::exceptions, id, "setting"),
                           "another exception changes \"" + exception.setting + "\" of " +
                               exception.subject});
        }
    }
}

void add_entries(const parsed_object& object, configuration& out)
{
    for (const auto& organisation : object.organisations) {
        out.organisations.insert_or_assign(organisation.id, organisation);
    }
    for (const auto& model : object.models) {
        out.models.insert_or_assign(model.name, model);
    }
    for (const auto& target : object.targets) {
        out.targets.insert_or_assign(target.id, target);
    }
    for (const auto& exception : object.exceptions) {
        out.exceptions.insert_or_assign(exception.id, exception);
    }
    for (const auto& defaults : object.defaults) {
        out.defaults = defaults;
    }
}

} // namespace

findings check_references(const configuration& config)
{
    findings out;
    const auto pools = pools_with_targets(config);
    for (const auto& [name, model] : config.models) {
        check_model(model, pools, out);
    }
    for (const auto& [id, organisation] : config.organisations) {
        check_organisation(organisation, config, pools, out);
    }
    check_exceptions(config, pools, out);
    return out;
}

findings check_documents(const std::vector<std::pair<std::string, std::string>>& objects)
{
    findings out;
    configuration config;
    for (const auto& [name, document] : objects) {
        const auto parsed = parse_object(name, document);
        if (!has_value(parsed)) {
            const auto& errors = findings_of(parsed);
            out.insert(out.end(), errors.begin(), errors.end());
            continue;
        }
        add_entries(value_of(parsed), config);
    }
    const auto references = check_references(config);
    out.insert(out.end(), references.begin(), references.end());
    return out;
}

const std::vector<std::string_view>& setting_names()
{
    static const auto names = [] {
        std::vector<std::string_view> out;
        for (const auto& setting : settings_table()) {
            out.push_back(setting.name);
        }
        return out;
    }();
    return names;
}

result<double> setting_value(const fleet_defaults& settings, std::string_view name)
{
    const auto* const entry = find_setting(name);
    if (entry == nullptr) {
        return one_finding("setting", "setting \"" + std::string{name} + "\" does not exist");
    }
    return read_setting(settings, *entry);
}

findings check_settings(const fleet_defaults& settings, const std::string& place)
{
    findings out;
    for (const auto& setting : settings_table()) {
        const auto value = read_setting(settings, setting);
        if (!(value >= setting.minimum && value <= setting.maximum)) {
            out.push_back({place + "/" + std::string{setting.name}, "is outside its range"});
        }
    }
    return out;
}

fleet_defaults effective_settings(const configuration& config, std::string_view subject)
{
    auto out = config.defaults;
    for (const auto& [id, exception] : config.exceptions) {
        const auto* const definition = find_setting(exception.setting);
        if (exception.subject == subject && definition != nullptr) {
            write_setting(out, *definition, exception.value);
        }
    }
    return out;
}

result<double> effective_setting(const configuration& config, std::string_view setting,
                                 std::string_view subject)
{
    return setting_value(effective_settings(config, subject), setting);
}

} // namespace endivelatch
