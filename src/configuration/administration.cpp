#include "endivelatch/configuration/administration.hpp"

#include "administration_state.hpp"
#include "endivelatch/base/digest.hpp"
#include "endivelatch/base/json_text.hpp"
#include "endivelatch/configuration/object_names.hpp"
#include "object_fields.hpp"

#include <algorithm>

namespace endivelatch {

namespace {

using nlohmann::json;

constexpr std::string_view api_prefix = "/admin/v1/";
/// Deepest nesting of a body. Less than `max_json_depth`, as entries are nested in their object.
constexpr std::size_t max_entry_depth = max_json_depth / 2;
constexpr std::int32_t http_ok = 200;
constexpr std::int32_t http_bad_request = 400;
constexpr std::int32_t http_not_found = 404;
constexpr std::int32_t http_method_not_allowed = 405;

/// Components of a path below `api_prefix`: `KIND[/ID[/ACTION]]`.
struct admin_path {
    std::optional<config_kind> kind;
    std::string id;
    std::string action;
};

admin_path split_path(std::string_view path)
{
    path.remove_prefix(std::min(path.size(), api_prefix.size()));
    admin_path out;
    const auto slash = path.find('/');
    out.kind = parse_config_kind(path.substr(0, slash));
    if (slash == std::string_view::npos) {
        return out;
    }
    path.remove_prefix(slash + 1);
    const auto second = path.find('/');
    out.id = std::string{path.substr(0, second)};
    if (second != std::string_view::npos) {
        out.action = std::string{path.substr(second + 1)};
    }
    return out;
}

json shown_entry(const json& object, const std::string& id, object_version version)
{
    return {{"id", id},
            {"entry", entry_of(object, id)},
            {"changed", last_change_of(object, id)},
            {"revision", revision_of(object, id)},
            {"object_version", version.value()}};
}

} // namespace

administration::administration(std::string run_name, administration_settings settings,
                               configuration_store& store, platform_call_id_source& calls)
    : state_{std::make_unique<state>(std::move(run_name), settings, store, calls)}
{
}

administration::~administration() = default;
administration::administration(administration&&) noexcept = default;

bool administration::handles(std::string_view path)
{
    return path.starts_with(api_prefix) && split_path(path).kind.has_value();
}

configuration_effects administration::request(const admin_request& request, wall_time wall,
                                              time_point now)
{
    configuration_effects out;
    state_->out = &out;
    const auto path = split_path(request.path);
    if (!path.kind) {
        state_->reject(request.exchange, http_not_found,
                       "path \"" + request.path + "\" does not exist");
        return out;
    }
    if (request.method == "GET") {
        if (path.id.empty()) {
            state_->list_entries(request.exchange, *path.kind);
        }
        else {
            state_->show_entry(request.exchange, *path.kind, path.id);
        }
        return out;
    }
    const bool adds_key = request.method == "POST" && path.action == "keys" &&
                          *path.kind == config_kind::organisations;
    const bool is_change =
        path.action.empty() &&
        (request.method == "PUT" || request.method == "PATCH" || request.method == "DELETE");
    if (path.id.empty() || (!adds_key && !is_change)) {
        state_->reject(request.exchange, http_method_not_allowed,
                       "method " + request.method + " is not allowed for \"" + request.path + "\"");
        return out;
    }
    state_->start_change(request, *path.kind, path.id, wall, now);
    return out;
}

configuration_effects administration::on_platform_answered(const platform_answer& answer,
                                                           time_point now)
{
    configuration_effects out;
    state_->out = &out;
    const auto it =
        std::find_if(state_->changes.begin(), state_->changes.end(),
                     [&](const auto& c) { return c.second.pending_call == answer.call; });
    if (it != state_->changes.end()) {
        it->second.pending_call.reset();
        state_->on_platform_answered(it, answer, now);
    }
    return out;
}

configuration_effects administration::on_object_confirmed(const object_confirmed& confirmation,
                                                          time_point)
{
    configuration_effects out;
    state_->out = &out;
    for (auto it = state_->changes.begin(); it != state_->changes.end();) {
        const auto next = std::next(it);
        const auto& change = it->second;
        const bool is_confirmed = change.stage == change_stage::confirming &&
                                  change.object_name == confirmation.name &&
                                  change.stored_version <= confirmation.version;
        if (is_confirmed) {
            state_->respond_accepted(it, true);
        }
        it = next;
    }
    return out;
}

configuration_effects administration::tick(time_point now)
{
    configuration_effects out;
    state_->out = &out;
    for (auto it = state_->changes.begin(); it != state_->changes.end();) {
        const auto next = std::next(it);
        state_->advance(it, now);
        it = next;
    }
    return out;
}

time_point administration::next_timer() const
{
    auto out = time_point::max();
    for (const auto& [exchange, change] : state_->changes) {
        out = std::min({out, change.deadline, change.call_deadline});
        if (!change.pending_call && change.stage != change_stage::confirming) {
            out = std::min(out, change.next_read_at);
        }
    }
    return out;
}

void administration::state::respond(admin_exchange exchange, std::int32_t status, const json& body)
{
    out->emplace_back(admin_response{exchange, status, body.dump()});
}

void administration::state::reject(admin_exchange exchange, std::int32_t status,
                                   const std::string& message, const findings& errors)
{
    json body{{"error", message}, {"accepted", false}};
    if (!errors.empty()) {
        body["findings"] = to_json(errors);
    }
    respond(exchange, status, body);
}

void administration::state::show_entry(admin_exchange exchange, config_kind kind,
                                       const std::string& id)
{
    const auto* const stored = store.find_object(config_object_name(kind, id));
    const auto object = object_json(stored == nullptr ? std::string{} : stored->document);
    if (entry_of(object, id).is_null()) {
        reject(exchange, http_not_found,
               "\"" + id + "\" does not exist in " + std::string{to_string(kind)});
        return;
    }
    respond(exchange, http_ok, shown_entry(object, id, stored->version));
}

void administration::state::list_entries(admin_exchange exchange, config_kind kind)
{
    json entries = json::array();
    for (const auto& [name, version] : store.versions()) {
        if (kind_of_object(name) != kind) {
            continue;
        }
        const auto object = object_json(store.find_object(name)->document);
        for (const auto& [id, entry] : object.at(std::string{entries_field}).items()) {
            entries.push_back(shown_entry(object, id, version));
        }
    }
    respond(exchange, http_ok, {{"kind", to_string(kind)}, {"entries", std::move(entries)}});
}

void administration::state::start_change(const admin_request& request, config_kind kind,
                                         const std::string& id, wall_time wall, time_point now)
{
    pending_change change;
    change.request = request;
    change.kind = kind;
    change.id = id;
    change.object_name = config_object_name(kind, id);
    change.record = {run_name + "." + std::to_string(++change_count), request.operator_name, wall,
                     0};
    change.deadline = now + settings.change_timeout;
    const bool has_body = request.method == "PUT" || request.method == "PATCH";
    if (has_body &&
        (json_depth(request.body) > max_entry_depth || parse_json(request.body).is_discarded())) {
        reject(request.exchange, http_bad_request, "the body is not valid JSON");
        return;
    }
    const auto* const current = store.find_object(change.object_name);
    if (current != nullptr) {
        change.base_entry = entry_of(object_json(current->document), id);
        change.read_version = current->version;
        change.has_base = true;
    }
    const auto it = changes.insert_or_assign(request.exchange, std::move(change)).first;
    advance(it, now);
}

} // namespace endivelatch
